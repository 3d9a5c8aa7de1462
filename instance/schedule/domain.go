package schedule

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// tick does the periodic work: it updates the role, sends heartbeats, checks the
// scheduler's timeout and ticks the local scheduler.
func (s *state) tick(now time.Time) {
	s.flushAll = true
	s.updateRole(now)
	s.checkSchedulerTimeout(now)
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(s.cfg.Beat)
		s.beat()
	}
	if s.local == nil {
		return
	}
	if s.role == roleScheduler {
		s.expireLeases(now)
	} else {
		s.local.SetSlotShare(rank(s.peers.Members(), s.self))
	}
	s.applyEffects(now, s.local.Tick(now))
}

// checkSchedulerTimeout handles a scheduler that does not answer. The member list shows a
// failure only seconds later. Until then the next instance in the election acts as deputy:
// it counts what all other instances have in flight, whereas an instance that schedules
// for itself would grant its share of an engine on top of what others run there. An
// instance schedules alone only if the deputy does not answer either, or if the deputy
// still reaches the scheduler.
func (s *state) checkSchedulerTimeout(now time.Time) {
	switch silent := now.Sub(s.lastHeard); {
	case s.role != roleFollower:
	case s.unresponsive == "" && silent > s.cfg.SchedulerTimeout:
		s.unresponsive = s.scheduler
		s.updateRole(now)
	case s.unresponsive != "" && silent > s.cfg.HandOver:
		s.startLocal(now, roleAlone)
	}
}

// updateRole takes the role that follows from the live members.
func (s *state) updateRole(now time.Time) {
	elected := s.elected()
	if elected == s.scheduler && s.role != roleNone {
		return
	}
	// The old scheduler is told that this instance has nothing left there. An unresponsive
	// one is not told: it may only be paused, and as long as it keeps the grants of this
	// instance it does not grant their slots again when it resumes.
	if old := s.scheduler; old != "" && old != s.self && old != s.unresponsive {
		_ = s.peers.Send(old, channelUp, &upMessage{Full: true})
	}
	s.scheduler = elected
	switch elected {
	case s.self:
		s.startLocal(now, roleScheduler)
	case "":
		s.startLocal(now, roleAlone)
	default:
		s.becomeFollower(now)
	}
}

// elected returns the member that schedules: the winner of the election, or its deputy
// while the winner is unresponsive.
func (s *state) elected() string {
	members := s.peers.Members()
	winner := elect(members)
	if winner != s.unresponsive {
		s.unresponsive = ""
		return winner
	}
	others := slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == winner })
	return elect(others)
}

// startLocal starts a scheduler on this instance from the instance's own requests.
func (s *state) startLocal(now time.Time, as role) {
	s.role = as
	s.up = upMessage{}
	clear(s.lastSeen)
	policy := s.cfg.Policy
	policy.Uncoordinated = as == roleAlone
	s.local = sched.NewWithEstimator(policy, s.rng, s.estimator)
	if as == roleAlone {
		s.local.SetSlotShare(rank(s.peers.Members(), s.self))
	}
	s.local.SetClasses(s.doc)
	s.local.SetOrganisations(s.doc)
	s.applyEffects(now, s.local.SetUpstreams(now, s.upstreams))
	requests := s.sortedRequests()
	for _, r := range requests {
		if r.inFlight {
			s.restore(now, r.ticket, r.grant.Upstream, r.reportedTokens, r.started)
		}
	}
	if as == roleScheduler {
		s.local.HoldGrants(now.Add(s.cfg.HandOver))
	}
	for _, r := range requests {
		if !r.inFlight {
			s.applyEffects(now, s.local.Submit(now, r.ticket))
		}
	}
}

func (s *state) restore(now time.Time, t sched.Ticket, upstream string, tokens int, started bool) {
	s.local.Restore(now, t, upstream, tokens)
	if started {
		s.local.Started(now, t.ID)
	}
}

// becomeFollower makes this instance a follower and queues its full state for the
// scheduler.
func (s *state) becomeFollower(now time.Time) {
	s.role = roleFollower
	s.local = nil
	clear(s.lastSeen)
	clear(s.down)
	s.lastHeard = now
	s.nextBeat = now
	s.addFullState(now)
}

func (s *state) addFullState(now time.Time) {
	s.up.Full, s.up.InFlightGrants, s.up.Submits = true, nil, nil
	for _, r := range s.sortedRequests() {
		t := packTicket(r.ticket, now)
		if r.inFlight {
			s.up.InFlightGrants = append(s.up.InFlightGrants, inFlightGrant{Ticket: t, Upstream: r.grant.Upstream, Tokens: r.reportedTokens, Started: r.started})
			continue
		}
		s.up.Submits = append(s.up.Submits, t)
	}
}

// beat queues a heartbeat to the scheduler and sends one to an unresponsive winner of the
// election. A follower adds its digests.
func (s *state) beat() {
	if s.unresponsive != "" {
		_ = s.peers.Send(s.unresponsive, channelUp, &upMessage{Beat: true})
	}
	if s.scheduler == s.self || s.scheduler == "" {
		return
	}
	if s.role != roleFollower {
		_ = s.peers.Send(s.scheduler, channelUp, &upMessage{Beat: true})
		return
	}
	s.up.Beat = true
	s.up.Waiting, s.up.InFlight = digest{}, digest{}
	for id, r := range s.requests {
		if r.inFlight {
			s.up.InFlight.add(id)
		} else {
			s.up.Waiting.add(id)
		}
	}
}

// flush sends the collected messages. Events that are not urgent wait for the next tick.
// A message that cannot be sent is lost, which the digests reveal.
func (s *state) flush(now time.Time) {
	all := s.flushAll
	s.flushAll = false
	if s.role == roleFollower && !s.up.empty() && (all || s.up.urgent()) {
		m := s.up
		m.setAges(now)
		s.up = upMessage{}
		_ = s.peers.Send(s.scheduler, channelUp, &m)
	}
	for to, m := range s.down {
		_ = s.peers.Send(to, channelDown, m)
		delete(s.down, to)
	}
}

// receiveUp handles a message to the scheduler.
func (s *state) receiveUp(now time.Time, from string, m *upMessage) {
	if s.role != roleScheduler {
		if !m.Full || len(m.Submits)+len(m.InFlightGrants) > 0 {
			s.messageTo(from).NotScheduler = true
		}
		return
	}
	s.lastSeen[from] = now
	if m.Full {
		s.reconcile(now, from, m)
	}
	for _, f := range m.InFlightGrants {
		s.restore(now, f.Ticket.unpack(now, from), f.Upstream, f.Tokens, f.Started)
	}
	for _, t := range m.Submits {
		s.applyEffects(now, s.local.Submit(now, t.unpack(now, from)))
	}
	for _, e := range m.Events {
		s.applyEvent(now, e)
	}
	if m.Beat {
		s.acknowledgeBeat(from, m)
	}
}

// reconcile drops what the scheduler holds for an instance and the instance no longer
// has, and repeats grants for which the instance still waits.
func (s *state) reconcile(now time.Time, from string, m *upMessage) {
	reported := map[string]bool{}
	for _, f := range m.InFlightGrants {
		reported[f.Ticket.ID] = true
	}
	for _, t := range m.Submits {
		id := t.ID
		reported[id] = true
		if g, ok := s.local.GrantOf(id); ok && g.Instance == from {
			d := s.messageTo(from)
			d.Grants = append(d.Grants, packGrant(g))
		}
	}
	queued, granted := s.local.TicketsOf(from)
	for _, id := range append(queued, granted...) {
		if !reported[id] {
			s.applyEffects(now, s.local.Cancel(now, id))
		}
	}
}

// acknowledgeBeat answers a heartbeat and requests a full exchange if the digests differ.
// They differ if a message was lost, or if one is still on its way; the exchange then
// costs one superfluous message.
func (s *state) acknowledgeBeat(from string, m *upMessage) {
	queued, granted := s.local.TicketsOf(from)
	d := s.messageTo(from)
	d.Resync = digestOf(queued) != m.Waiting || digestOf(granted) != m.InFlight
}

// expireLeases releases what instances hold that sent no message for a lease time. They
// crashed or were partitioned, and nothing else would free their slots.
func (s *state) expireLeases(now time.Time) {
	for instance, at := range s.lastSeen {
		if now.Sub(at) > s.cfg.Lease {
			delete(s.lastSeen, instance)
			s.applyEffects(now, s.local.DropInstance(now, instance))
			delete(s.down, instance)
		}
	}
}

// receiveDown handles a message from a scheduler: the elected one, an earlier one, or one
// that does not know yet that it was replaced.
func (s *state) receiveDown(now time.Time, from string, m *downMessage) {
	for _, g := range m.Grants {
		s.receiveGrant(now, from, g.unpack(s.self))
	}
	if from == s.unresponsive && !m.NotScheduler {
		s.unresponsive = ""
		s.updateRole(now)
	}
	if from != s.scheduler || m.NotScheduler {
		return
	}
	s.lastHeard = now
	if s.role == roleAlone {
		s.becomeFollower(now)
		return
	}
	for _, e := range m.Sheds {
		s.receiveShed(e)
	}
	if m.Resync && s.role == roleFollower {
		s.addFullState(now)
	}
}
