package serving

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/core/wire"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const channelLoads = "serving.loads"

const (
	// loadsEvery is the time between two exchanges of loads among members while
	// upstreams are busy, and loadsSeldom while they are not.
	loadsEvery  = 100 * time.Millisecond
	loadsSeldom = 300 * time.Millisecond
	// loadsAge is for how long a load counts without a newer one.
	loadsAge = 1500 * time.Millisecond
)

// totalFor is for how long one sum of all loads serves all who ask: encoding it anew for
// each answer was most of a member's work with 300 instances and 3,000 upstreams.
const totalFor = 50 * time.Millisecond

// PromptPlacement says that the shared parts of a prompt, by their hash, were sent to an
// upstream, which keeps them from then on.
type PromptPlacement struct {
	wire.Array
	Prompt uint64
	// FirstIndex names the incarnation, as in Load.
	FirstIndex uint64
}

// Report is what an instance tells of its work, or of that of all others.
type Report struct {
	Work Work `codec:"w"`
	// Placements lists what was placed since the last report.
	Placements []PromptPlacement `codec:"p,omitempty"`
	// Busy says that upstreams have much to read, so that news of loads matter.
	Busy bool `codec:"b,omitempty"`
	// HasObserved says that Observed is told, and asked for in the answer.
	HasObserved bool          `codec:"o,omitempty"`
	Observed    []Observation `codec:"v,omitempty"`
	// Limits are those that upstreams name.
	Limits []ratelimit.Statement `codec:"l,omitempty"`
}

// Summary is what a member tells of the work of all instances.
type Summary struct {
	// Total is the encoded Work of all, of the one that asks as well.
	Total []byte `codec:"w,omitempty"`
	// Placements lists what others placed since the last answer.
	Placements []PromptPlacement `codec:"p,omitempty"`
	Busy       bool              `codec:"b,omitempty"`
	// HasObserved says that Observed is told: the encoded observations of all, of the one that
	// asks as well.
	HasObserved bool   `codec:"o,omitempty"`
	Observed    []byte `codec:"v,omitempty"`
	// Limits are those that upstreams name, as all have heard of them.
	Limits []ratelimit.Statement `codec:"l,omitempty"`
}

// Others returns the work of all but one instance, which has reported own, and what all
// observed.
func (s *Summary) Others(own *Work) (*Report, error) {
	r := &Report{Placements: s.Placements, Busy: s.Busy, HasObserved: s.HasObserved, Limits: s.Limits}
	if len(s.Observed) > 0 {
		if err := link.Decode(s.Observed, &r.Observed); err != nil {
			return nil, err
		}
	}
	if len(s.Total) == 0 {
		return r, nil
	}
	if err := link.Decode(s.Total, &r.Work); err != nil {
		return nil, err
	}
	r.Work.subtract(own)
	return r, nil
}

type loadReport struct {
	at   time.Time
	work Work
	busy bool
}

// placedNote is one Placed with who told it.
type placedNote struct {
	PromptPlacement
	from string
}

// maxPlaced bounds the notes that a member holds for instances that ask seldom or have just
// started: those of half a minute at 300 new notes a second. maxPlacedAnswer bounds those in
// one answer.
const (
	maxPlaced       = 8192
	maxPlacedAnswer = 1024
)

// placedLog holds the latest notes in order. next is the number of the one to come.
type placedLog struct {
	notes []placedNote
	next  uint64
}

func (l *placedLog) add(from string, placed []PromptPlacement) {
	for _, p := range placed {
		l.notes = append(l.notes, placedNote{p, from})
		l.next++
	}
	if extra := len(l.notes) - maxPlaced; extra > maxPlaced/4 {
		l.notes = append([]placedNote(nil), l.notes[extra:]...)
	}
}

// since returns notes from a number on that others than the given one told, the oldest
// first, and the number from which on to go on. A number of another member's log is too
// high or too low; then all that is held, or nothing, is new, and either is harmless.
func (l *placedLog) since(number uint64, but string) (list []PromptPlacement, next uint64) {
	first := l.next - uint64(len(l.notes))
	from := min(max(number, first), l.next)
	for i, n := range l.notes[from-first:] {
		if len(list) == maxPlacedAnswer {
			return list, from + uint64(i)
		}
		if n.from != but {
			list = append(list, n.PromptPlacement)
		}
	}
	return list, l.next
}

// loadBook adds up the loads that instances report, by who reported them: instances
// to the member that they ask, and members to each other.
type loadBook struct{ watchers, members map[string]loadReport }

func newLoadBook() loadBook {
	return loadBook{watchers: map[string]loadReport{}, members: map[string]loadReport{}}
}

// sum adds up the loads of the instances that ask here, and those of the other members
// if asked for.
func (b *loadBook) sum(now time.Time, others bool) Work {
	total := newSum()
	total.addAll(now, b.watchers)
	if others {
		total.addAll(now, b.members)
	}
	return total.work()
}

// busy reports whether any instance finds upstreams busy.
func (b *loadBook) busy(now time.Time, others bool) bool {
	return anyBusy(now, b.watchers) || others && anyBusy(now, b.members)
}

func anyBusy(now time.Time, reports map[string]loadReport) bool {
	for _, r := range reports {
		if r.busy && now.Sub(r.at) < loadsAge {
			return true
		}
	}
	return false
}

// shareLoads tells the other members what the instances that ask here have under way,
// and what they have placed.
func (s *Service) shareLoads(ctx context.Context) {
	ticker := time.NewTicker(loadsEvery)
	defer ticker.Stop()
	idle := false
	last := clock.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g := s.cfg.Replica()
		if g == nil {
			continue
		}
		s.mu.Lock()
		now := clock.Now()
		busy := s.loads.busy(now, false)
		if !busy && now.Sub(last) < loadsSeldom {
			s.mu.Unlock()
			continue
		}
		last = now
		r := Report{Work: s.loads.sum(now, false), Placements: s.unsent, Busy: busy, Limits: s.limits.statements(now)}
		s.unsent = nil
		if now.Sub(s.observedSent) >= ObservationInterval {
			r.HasObserved, r.Observed, s.observedSent = true, s.observed.sum(now, false, 1), now
		}
		s.mu.Unlock()
		quiet := r.Work.empty() && len(r.Placements)+len(r.Observed)+len(r.Limits) == 0
		if quiet && idle {
			continue
		}
		idle = quiet
		s.sendReport(g, &r)
	}
}

func (s *Service) sendReport(g *consensus.Service, r *Report) {
	st := g.Status()
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelLoads, r); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("loads not sent")
		}
	}
}

func otherNames(members raft.Members, self raft.MemberID) (list []string) {
	for _, m := range members {
		if m.ID != self {
			list = append(list, m.Name)
		}
	}
	return list
}

func (s *Service) receiveLoads(_ context.Context, from string, msg link.Message) (any, error) {
	var r Report
	if err := msg.Decode(&r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.members[from] = loadReport{at: clock.Now(), work: r.Work, busy: r.Busy}
	if r.HasObserved {
		s.observed.members[from] = observedReport{clock.Now(), r.Observed}
	}
	s.placed.add(from, r.Placements)
	s.limits.take(clock.Now(), r.Limits)
	return nil, nil
}

// noteReport takes what an instance that asks here tells.
func (s *Service) noteReport(from string, r *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.watchers[from] = loadReport{at: clock.Now(), work: r.Work, busy: r.Busy}
	if r.HasObserved {
		s.observed.watchers[from] = observedReport{clock.Now(), r.Observed}
	}
	s.placed.add(from, r.Placements)
	s.limits.take(clock.Now(), r.Limits)
	if len(s.unsent) < maxPlaced {
		s.unsent = append(s.unsent, r.Placements...)
	}
}

// summaryFor returns what all told, and the number from which on the next answer goes;
// observes asks for the observations too.
func (s *Service) summaryFor(name string, since uint64, observes bool) (out Summary, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if now.Sub(s.totalAt) >= totalFor {
		s.total, s.totalAt = s.encodeTotal(now), now
	}
	out = Summary{Total: s.total, Busy: s.loads.busy(now, true), Limits: s.limits.statements(now)}
	out.Placements, next = s.placed.since(since, name)
	if observes {
		out.HasObserved, out.Observed = true, s.encodeObserved(now)
	}
	return out, next
}

// encodeObserved needs mu. One encoded sum serves all who ask for a while.
func (s *Service) encodeObserved(now time.Time) []byte {
	if now.Sub(s.observedAt) < ObservationInterval/4 {
		return s.observedAll
	}
	s.observedAll, s.observedAt = nil, now
	list := s.observed.sum(now, true, leastTold)
	if len(list) == 0 {
		return nil
	}
	encoded, err := link.Encode(list)
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Msg("the observations of all can't be told")
		return nil
	}
	s.observedAll = encoded
	return encoded
}

// encodeTotal needs mu.
func (s *Service) encodeTotal(now time.Time) []byte {
	work := s.loads.sum(now, true)
	if work.empty() {
		return nil
	}
	encoded, err := link.Encode(&work)
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Msg("the loads of all can't be told")
		return nil
	}
	return encoded
}
