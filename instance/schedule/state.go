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
	// roleAlone schedules its own requests because neither the scheduler nor its deputy answers.
	roleAlone
)

func (r role) String() string {
	return [...]string{"none", "scheduler", "follower", "alone"}[r]
}

// request is a request that this instance has submitted and not yet ended.
type request struct {
	ticket         sched.Ticket
	reply          chan reply
	inFlight       bool
	grant          sched.Grant
	reportedTokens int
	started        bool
	// observation measures the request while no scheduler runs on this instance.
	observation *sched.Observation
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
	rng   *rand.Rand

	role role
	// scheduler is the elected instance, lastHeard the time of its last message.
	scheduler string
	lastHeard time.Time
	nextBeat  time.Time
	// unresponsive is the winner of the election while it does not answer, otherwise empty.
	unresponsive string
	// local is the scheduler that runs on this instance, nil for followers. estimator
	// holds the measurements and outlives changes of scheduler.
	local     *sched.Scheduler
	estimator *sched.Estimator

	requests map[string]*request
	draining bool
	idle     []chan struct{}

	doc       *intent.Document
	upstreams []sched.Upstream

	// up collects the message to the scheduler, down the messages to other instances.
	up   upMessage
	down map[string]*downMessage
	// flushAll makes the next flush send up even if nothing in it is urgent.
	flushAll bool
	// lastSeen is when the local scheduler last received a message from each other instance.
	lastSeen map[string]time.Time
}

func (s *state) setIntent(now time.Time, doc *intent.Document) {
	s.doc = doc
	if s.local == nil {
		return
	}
	s.local.SetClasses(doc)
	s.local.SetOrganisations(doc)
	s.applyEffects(now, s.local.Tick(now))
}

func (s *state) setUpstreams(now time.Time, list []sched.Upstream) {
	s.upstreams = list
	if s.local == nil {
		s.estimator.Retain(list)
		return
	}
	s.applyEffects(now, s.local.SetUpstreams(now, list))
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
		r.reply <- reply{err: fault.New(fault.Conflict, "ticket %s already exists", t.ID)}
		return
	}
	s.requests[t.ID] = r
	if s.local != nil {
		s.applyEffects(now, s.local.Submit(now, *t))
		return
	}
	s.up.Submits = append(s.up.Submits, packTicket(*t, now))
}

// cancel ends a request whose caller stopped waiting. If the grant arrived at the same
// moment, the caller never sees it, so cancel frees its slot.
func (s *state) cancel(now time.Time, r *request) {
	if s.requests[r.ticket.ID] != r {
		return
	}
	if r.inFlight {
		s.recordEvent(now, event{Kind: eventFinish, ID: r.ticket.ID, Outcome: sched.Outcome{Unused: true}})
		return
	}
	s.recordEvent(now, event{Kind: eventCancel, ID: r.ticket.ID})
}

// recordEvent applies an event of a request of this instance and reports it to the scheduler.
func (s *state) recordEvent(now time.Time, e event) {
	r := s.requests[e.ID]
	if r == nil {
		return
	}
	switch e.Kind {
	case eventStarted:
		r.started = true
	case eventProgress:
		r.reportedTokens = e.Tokens
	default:
		s.remove(e.ID)
	}
	if s.local == nil && r.observation != nil {
		recordObservation(now, r.observation, e)
	}
	s.report(now, e)
}

func recordObservation(now time.Time, w *sched.Observation, e event) {
	switch e.Kind {
	case eventStarted:
		w.Started(now)
	case eventProgress:
		w.Progress(now, e.Tokens)
	case eventFinish:
		w.Finish(now, e.Outcome)
	}
}

func (s *state) report(now time.Time, e event) {
	e.at = now
	if s.local != nil {
		s.applyEvent(now, e)
		return
	}
	s.up.Events = append(s.up.Events, e)
}

// applyEvent passes an event to the local scheduler.
func (s *state) applyEvent(now time.Time, e event) {
	switch e.Kind {
	case eventCancel:
		s.applyEffects(now, s.local.Cancel(now, e.ID))
	case eventStarted:
		s.local.Started(e.occurredAt(now), e.ID)
	case eventProgress:
		s.local.Progress(e.occurredAt(now), e.ID, e.Tokens)
	case eventFinish:
		s.applyEffects(now, s.local.Finish(now, e.ID, e.Outcome))
	}
}

// applyEffects carries out effects of the local scheduler.
func (s *state) applyEffects(now time.Time, effects []sched.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case sched.Grant:
			if e.Instance == s.self {
				s.receiveGrant(now, s.self, e)
				continue
			}
			d := s.messageTo(e.Instance)
			d.Grants = append(d.Grants, packGrant(e))
		case sched.Shed:
			if e.Instance == s.self {
				s.receiveShed(e)
				continue
			}
			d := s.messageTo(e.Instance)
			d.Sheds = append(d.Sheds, e)
		}
	}
}

func (s *state) messageTo(instance string) *downMessage {
	d := s.down[instance]
	if d == nil {
		d = &downMessage{}
		s.down[instance] = d
	}
	return d
}

// receiveGrant delivers a grant to the request that waits for it. A grant for a request
// that has ended, or that already has a grant from another scheduler, is returned unused
// immediately; otherwise its slot would stay taken until the digests of the next
// heartbeat reveal it.
func (s *state) receiveGrant(now time.Time, sender string, g sched.Grant) {
	r := s.requests[g.ID]
	if r != nil && r.inFlight && r.grant.Upstream == g.Upstream {
		return
	}
	if r == nil || r.inFlight {
		s.returnGrant(now, sender, g.ID)
		return
	}
	r.inFlight, r.grant = true, g
	if s.local == nil {
		r.observation = s.estimator.Observe(now, r.ticket, g.Upstream)
	}
	if sender != s.self && s.local != nil {
		s.local.Restore(now, r.ticket, g.Upstream, 0)
	}
	r.reply <- reply{grant: g}
}

func (s *state) returnGrant(now time.Time, sender, id string) {
	e := event{Kind: eventFinish, ID: id, Outcome: sched.Outcome{Unused: true}}
	switch {
	case sender == s.self && s.local != nil:
		s.applyEvent(now, e)
	case sender == s.scheduler && s.role == roleFollower:
		s.up.Events = append(s.up.Events, e)
	default:
		_ = s.peers.Send(sender, channelUp, &upMessage{Events: []event{e}})
	}
}

func (s *state) receiveShed(e sched.Shed) {
	r := s.requests[e.ID]
	if r == nil || r.inFlight {
		return
	}
	s.remove(e.ID)
	code := fault.Overloaded
	if e.Reason == sched.ReasonExpired || e.Reason == sched.ReasonExpiredOnArrival {
		code = fault.DeadlineExceeded
	}
	r.reply <- reply{err: fault.New(code, "refused before it ran: %s", e.Reason).WithRetryAfter(e.RetryAfter)}
}

func (s *state) remove(id string) {
	delete(s.requests, id)
	if s.draining && len(s.requests) == 0 {
		s.signalIdle()
	}
}

func (s *state) drain(idle chan struct{}) {
	s.draining = true
	s.idle = append(s.idle, idle)
	if len(s.requests) == 0 {
		s.signalIdle()
	}
}

func (s *state) signalIdle() {
	for _, c := range s.idle {
		close(c)
	}
	s.idle = nil
}

func (s *state) refuseAll() {
	for _, r := range s.requests {
		if !r.inFlight {
			r.reply <- reply{err: fault.New(fault.Draining, "this instance has stopped; nothing was run")}
		}
	}
}

func (s *state) status(now time.Time) Status {
	out := Status{Scheduler: s.scheduler, Role: s.role.String()}
	for _, r := range s.requests {
		if r.inFlight {
			out.InFlight++
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

// sortedRequests returns the requests of this instance by ID, for a deterministic order.
func (s *state) sortedRequests() []*request {
	var out []*request
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		out = append(out, s.requests[id])
	}
	return out
}
