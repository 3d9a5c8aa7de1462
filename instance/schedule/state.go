package schedule

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

type role int

const (
	roleNone role = iota
	// roleScheduler runs the domain's scheduler.
	roleScheduler
	// roleFollower sends its tickets to the scheduler.
	roleFollower
	// roleAlone schedules for itself, as neither the scheduler nor its deputy answers.
	roleAlone
)

func (r role) String() string {
	return [...]string{"none", "scheduler", "follower", "alone"}[r]
}

// request is a request of this instance.
type request struct {
	ticket  sched.Ticket
	reply   chan reply
	flying  bool
	grant   sched.Grant
	tokens  int
	started bool
	// watch learns from the request while no scheduler runs here.
	watch *sched.Observation
}

type reply struct {
	grant sched.Grant
	err   error
}

// state is owned by the service's goroutine.
type state struct {
	cfg   Config
	peers Peers
	self  string
	rnd   *rand.Rand

	role role
	// scheduler is the elected instance; lastHeard when it last answered.
	scheduler string
	lastHeard time.Time
	nextBeat  time.Time
	// deposed is the winner of the election while it is silent here; empty else.
	deposed string
	// local is the scheduler that runs here; nil for followers. known is what
	// was learned, whoever schedules.
	local *sched.Scheduler
	known *sched.Estimator

	requests map[string]*request
	draining bool
	idle     []chan struct{}

	doc       *intent.Document
	upstreams []sched.Upstream

	// up collects what goes to the scheduler, down what goes to instances.
	up   upMessage
	down map[string]*downMessage
	// due says that up must go out, urgent or not.
	due bool
	// heard says when the scheduler here last heard each other instance.
	heard map[string]time.Time
}

func (s *state) setIntent(now time.Time, doc *intent.Document) {
	s.doc = doc
	if s.local == nil {
		return
	}
	s.local.SetClasses(doc)
	s.local.SetOrganisations(doc)
	s.apply(now, s.local.Tick(now))
}

func (s *state) setUpstreams(now time.Time, list []sched.Upstream) {
	s.upstreams = list
	if s.local == nil {
		s.known.Retain(list)
		return
	}
	s.apply(now, s.local.SetUpstreams(now, list))
}

func (s *state) submit(now time.Time, r *request) {
	t := &r.ticket
	if t.Arrived.IsZero() {
		t.Arrived = now
	}
	switch {
	case s.draining:
		r.reply <- reply{err: fault.New(fault.Draining, "this instance is shutting down; nothing was run")}
		return
	case s.requests[t.ID] != nil:
		r.reply <- reply{err: fault.New(fault.Conflict, "ticket %s is known already", t.ID)}
		return
	}
	s.requests[t.ID] = r
	if s.local != nil {
		s.apply(now, s.local.Submit(now, *t))
		return
	}
	s.up.Submits = append(s.up.Submits, packTicket(*t, now))
}

// giveUp ends a request whose caller stopped waiting. The grant may have come at
// the same moment; the caller will never see it, so its slot is freed here.
func (s *state) giveUp(now time.Time, r *request) {
	if s.requests[r.ticket.ID] != r {
		return
	}
	if r.flying {
		s.note(now, event{Kind: eventFinish, ID: r.ticket.ID, Outcome: sched.Outcome{Unused: true}})
		return
	}
	s.note(now, event{Kind: eventCancel, ID: r.ticket.ID})
}

// note takes in an event of this instance's request and passes it on.
func (s *state) note(now time.Time, e event) {
	r := s.requests[e.ID]
	if r == nil {
		return
	}
	switch e.Kind {
	case eventStarted:
		r.started = true
	case eventProgress:
		r.tokens = e.Tokens
	default:
		s.forget(e.ID)
	}
	if s.local == nil && r.watch != nil {
		learn(now, r.watch, e)
	}
	s.tell(now, e)
}

func learn(now time.Time, w *sched.Observation, e event) {
	switch e.Kind {
	case eventStarted:
		w.Started(now)
	case eventProgress:
		w.Progress(now, e.Tokens)
	case eventFinish:
		w.Finish(now, e.Outcome)
	}
}

func (s *state) tell(now time.Time, e event) {
	e.at = now
	if s.local != nil {
		s.take(now, e)
		return
	}
	s.up.Events = append(s.up.Events, e)
}

// take gives an event to the scheduler that runs here.
func (s *state) take(now time.Time, e event) {
	switch e.Kind {
	case eventCancel:
		s.apply(now, s.local.Cancel(now, e.ID))
	case eventStarted:
		s.local.Started(e.happened(now), e.ID)
	case eventProgress:
		s.local.Progress(e.happened(now), e.ID, e.Tokens)
	case eventFinish:
		s.apply(now, s.local.Finish(now, e.ID, e.Outcome))
	}
}

// apply carries out effects of the scheduler that runs here.
func (s *state) apply(now time.Time, effects []sched.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sched.Grant:
			if e.Instance == s.self {
				s.granted(now, s.self, e)
				continue
			}
			d := s.downTo(e.Instance)
			d.Grants = append(d.Grants, packGrant(e))
		case sched.Shed:
			if e.Instance == s.self {
				s.refused(e)
				continue
			}
			d := s.downTo(e.Instance)
			d.Sheds = append(d.Sheds, e)
		}
	}
}

func (s *state) downTo(instance string) *downMessage {
	d := s.down[instance]
	if d == nil {
		d = &downMessage{}
		s.down[instance] = d
	}
	return d
}

// granted gives a grant to the request that waits for it. A grant for a request
// that has ended, or that got one from elsewhere, goes back unused at once; else
// its slot would stay taken until the digests of the next beat show it.
func (s *state) granted(now time.Time, giver string, g sched.Grant) {
	r := s.requests[g.ID]
	if r != nil && r.flying && r.grant.Upstream == g.Upstream {
		return
	}
	if r == nil || r.flying {
		s.giveBack(now, giver, g.ID)
		return
	}
	r.flying, r.grant = true, g
	if s.local == nil {
		r.watch = s.known.Observe(now, r.ticket, g.Upstream)
	}
	if giver != s.self && s.local != nil {
		s.local.Restore(now, r.ticket, g.Upstream, 0)
	}
	r.reply <- reply{grant: g}
}

func (s *state) giveBack(now time.Time, giver, id string) {
	e := event{Kind: eventFinish, ID: id, Outcome: sched.Outcome{Unused: true}}
	switch {
	case giver == s.self && s.local != nil:
		s.take(now, e)
	case giver == s.scheduler && s.role == roleFollower:
		s.up.Events = append(s.up.Events, e)
	default:
		_ = s.peers.Send(giver, channelUp, &upMessage{Events: []event{e}})
	}
}

func (s *state) refused(e sched.Shed) {
	r := s.requests[e.ID]
	if r == nil || r.flying {
		return
	}
	s.forget(e.ID)
	code := fault.Overloaded
	if e.Reason == sched.ReasonExpired || e.Reason == sched.ReasonExpiredOnArrival {
		code = fault.DeadlineExceeded
	}
	r.reply <- reply{err: fault.New(code, "refused before it ran: %s", e.Reason).WithRetryAfter(e.RetryAfter)}
}

func (s *state) forget(id string) {
	delete(s.requests, id)
	if s.draining && len(s.requests) == 0 {
		s.tellIdle()
	}
}

func (s *state) drain(idle chan struct{}) {
	s.draining = true
	s.idle = append(s.idle, idle)
	if len(s.requests) == 0 {
		s.tellIdle()
	}
}

func (s *state) tellIdle() {
	for _, c := range s.idle {
		close(c)
	}
	s.idle = nil
}

func (s *state) refuseAll() {
	for _, r := range s.requests {
		if !r.flying {
			r.reply <- reply{err: fault.New(fault.Draining, "this instance has stopped; nothing was run")}
		}
	}
}

func (s *state) status(now time.Time) Status {
	out := Status{Scheduler: s.scheduler, Role: s.role.String()}
	for _, r := range s.requests {
		if r.flying {
			out.Flying++
		} else {
			out.Waiting++
		}
	}
	if s.local != nil {
		d := s.local.Status(now)
		out.Domain = &d
	}
	return out
}

// sorted returns this instance's requests by ID, so that replays are alike.
func (s *state) sorted() []*request {
	var out []*request
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		out = append(out, s.requests[id])
	}
	return out
}
