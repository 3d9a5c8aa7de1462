package schedule

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// tick does what time demands: follow the election, beat, watch for silence and
// let the scheduler that runs here tick.
func (s *state) tick(now time.Time) {
	s.due = true
	s.follow(now)
	s.watchSilence(now)
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(s.cfg.Beat)
		s.beat()
	}
	if s.local == nil {
		return
	}
	if s.role == roleScheduler {
		s.endLeases(now)
	} else {
		s.local.SetSlotShare(rank(s.peers.Members(), s.self))
	}
	s.apply(now, s.local.Tick(now))
}

// watchSilence acts on a scheduler that does not answer. Members are told of a death
// only seconds later. Until then the next in the election stands in for the silent
// one: it counts what all others have in flight, where an instance that schedules for
// itself would grant its share of an engine on top of what others run there. An
// instance schedules alone where the deputy does not answer either, or does not find
// the scheduler silent.
func (s *state) watchSilence(now time.Time) {
	switch silent := now.Sub(s.lastHeard); {
	case s.role != roleFollower:
	case s.deposed == "" && silent > s.cfg.Silence:
		s.deposed = s.scheduler
		s.follow(now)
	case s.deposed != "" && silent > s.cfg.HandOver:
		s.scheduleHere(now, roleAlone)
	}
}

// follow takes on the role that the live members give this instance.
func (s *state) follow(now time.Time) {
	elected := s.elected()
	if elected == s.scheduler && s.role != roleNone {
		return
	}
	// A silent one may only be frozen: it keeps what it holds for this instance, so
	// that it grants none of it twice when it wakes.
	if old := s.scheduler; old != "" && old != s.self && old != s.deposed {
		_ = s.peers.Send(old, channelUp, &upMessage{Full: true})
	}
	s.scheduler = elected
	switch elected {
	case s.self:
		s.scheduleHere(now, roleScheduler)
	case "":
		s.scheduleHere(now, roleAlone)
	default:
		s.join(now)
	}
}

// elected returns the member that schedules: the winner of the election, or its
// deputy while the winner is silent here.
func (s *state) elected() string {
	members := s.peers.Members()
	winner := elect(members)
	if winner != s.deposed {
		s.deposed = ""
		return winner
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == winner })
	return elect(others)
}

// scheduleHere starts a scheduler on this instance with what it has itself.
func (s *state) scheduleHere(now time.Time, as role) {
	s.role = as
	s.up = upMessage{}
	clear(s.heard)
	policy := s.cfg.Policy
	policy.Uncoordinated = as == roleAlone
	s.local = sched.NewWithEstimator(policy, s.rnd, s.known)
	if as == roleAlone {
		s.local.SetSlotShare(rank(s.peers.Members(), s.self))
	}
	s.local.SetClasses(s.doc)
	s.local.SetOrganisations(s.doc)
	s.apply(now, s.local.SetUpstreams(now, s.upstreams))
	requests := s.sorted()
	for _, r := range requests {
		if r.flying {
			s.restore(now, r.ticket, r.grant.Upstream, r.tokens, r.started)
		}
	}
	if as == roleScheduler {
		s.local.HoldGrants(now.Add(s.cfg.HandOver))
	}
	for _, r := range requests {
		if !r.flying {
			s.apply(now, s.local.Submit(now, r.ticket))
		}
	}
}

func (s *state) restore(now time.Time, t sched.Ticket, upstream string, tokens int, started bool) {
	s.local.Restore(now, t, upstream, tokens)
	if started {
		s.local.Started(now, t.ID)
	}
}

// join makes this instance a follower and tells the scheduler all that it has.
func (s *state) join(now time.Time) {
	s.role = roleFollower
	s.local = nil
	clear(s.heard)
	clear(s.down)
	s.lastHeard = now
	s.nextBeat = now
	s.full(now)
}

func (s *state) full(now time.Time) {
	s.up.Full, s.up.Flights, s.up.Submits = true, nil, nil
	for _, r := range s.sorted() {
		t := packTicket(r.ticket, now)
		if r.flying {
			s.up.Flights = append(s.up.Flights, flight{Ticket: t, Upstream: r.grant.Upstream, Tokens: r.tokens, Started: r.started})
			continue
		}
		s.up.Submits = append(s.up.Submits, t)
	}
}

// beat asks the scheduler for a sign of life, and one that fell silent as well; a
// follower adds its digests.
func (s *state) beat() {
	if s.deposed != "" {
		_ = s.peers.Send(s.deposed, channelUp, &upMessage{Beat: true})
	}
	if s.scheduler == s.self || s.scheduler == "" {
		return
	}
	if s.role != roleFollower {
		_ = s.peers.Send(s.scheduler, channelUp, &upMessage{Beat: true})
		return
	}
	s.up.Beat = true
	s.up.Waiting, s.up.Flying = digest{}, digest{}
	for id, r := range s.requests {
		if r.flying {
			s.up.Flying.add(id)
		} else {
			s.up.Waiting.add(id)
		}
	}
}

// flush sends what was collected; what is not urgent waits for the next tick. A
// message that can't be sent is lost; the digests show it.
func (s *state) flush(now time.Time) {
	due := s.due
	s.due = false
	if s.role == roleFollower && !s.up.empty() && (due || s.up.urgent()) {
		m := s.up
		m.stamp(now)
		s.up = upMessage{}
		_ = s.peers.Send(s.scheduler, channelUp, &m)
	}
	for to, m := range s.down {
		_ = s.peers.Send(to, channelDown, m)
		delete(s.down, to)
	}
}

// receiveUp takes in a message to the scheduler.
func (s *state) receiveUp(now time.Time, from string, m *upMessage) {
	if s.role != roleScheduler {
		if !m.Full || len(m.Submits)+len(m.Flights) > 0 {
			s.downTo(from).NotScheduler = true
		}
		return
	}
	s.heard[from] = now
	if m.Full {
		s.reconcile(now, from, m)
	}
	for _, f := range m.Flights {
		s.restore(now, f.Ticket.unpack(now, from), f.Upstream, f.Tokens, f.Started)
	}
	for _, t := range m.Submits {
		s.apply(now, s.local.Submit(now, t.unpack(now, from)))
	}
	for _, e := range m.Events {
		s.take(now, e)
	}
	if m.Beat {
		s.compare(from, m)
	}
}

// reconcile drops what the scheduler holds for an instance and the instance no
// longer has, and repeats grants that it still waits for.
func (s *state) reconcile(now time.Time, from string, m *upMessage) {
	has := map[string]bool{}
	for _, f := range m.Flights {
		has[f.Ticket.ID] = true
	}
	for _, t := range m.Submits {
		id := t.ID
		has[id] = true
		if g, ok := s.local.GrantOf(id); ok && g.Instance == from {
			d := s.downTo(from)
			d.Grants = append(d.Grants, packGrant(g))
		}
	}
	queued, granted := s.local.TicketsOf(from)
	for _, id := range append(queued, granted...) {
		if !has[id] {
			s.apply(now, s.local.Cancel(now, id))
		}
	}
}

// compare acknowledges a beat and asks for a full exchange when the digests
// differ: a message was lost, or one is on its way, which costs only a message.
func (s *state) compare(from string, m *upMessage) {
	queued, granted := s.local.TicketsOf(from)
	d := s.downTo(from)
	d.Resync = digestOf(queued) != m.Waiting || digestOf(granted) != m.Flying
}

// endLeases releases what instances hold that were silent for a lease: they died
// or were cut off, and nothing else would ever free their slots.
func (s *state) endLeases(now time.Time) {
	for instance, at := range s.heard {
		if now.Sub(at) > s.cfg.Lease {
			delete(s.heard, instance)
			s.apply(now, s.local.DropInstance(now, instance))
			delete(s.down, instance)
		}
	}
}

// receiveDown takes in a message from a scheduler, be it the elected one, an
// earlier one or one that has not yet seen that it was replaced.
func (s *state) receiveDown(now time.Time, from string, m *downMessage) {
	for _, g := range m.Grants {
		s.granted(now, from, g.unpack(s.self))
	}
	if from == s.deposed && !m.NotScheduler {
		s.deposed = ""
		s.follow(now)
	}
	if from != s.scheduler || m.NotScheduler {
		return
	}
	s.lastHeard = now
	if s.role == roleAlone {
		s.join(now)
		return
	}
	for _, e := range m.Sheds {
		s.refused(e)
	}
	if m.Resync && s.role == roleFollower {
		s.full(now)
	}
}
