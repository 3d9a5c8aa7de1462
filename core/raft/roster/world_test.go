package roster_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/roster"
)

// Times of the group that the world plays, as on an instance.
const (
	heartbeat       = 120 * time.Millisecond
	electionTimeout = 600 * time.Millisecond
	restartTimeout  = 280 * time.Millisecond
	worldTick       = 10 * time.Millisecond
	maintainEvery   = 250 * time.Millisecond
	joinEvery       = 500 * time.Millisecond
	admitTimeout    = time.Second
	leaderless      = 1500 * time.Millisecond
	leaveTimeout    = time.Second
	changesInARow   = 8
)

// store is the synced state of a disk with its identity.
type store struct {
	id      raft.MemberID
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
	joined  bool
}

// machine runs at most one member, on the disk that it has now.
type machine struct {
	name, domain string
	disk         *store
	node         *raft.Node
	frozenUntil  time.Time
	// mutedUntil is when the machine reaches the others again, deafUntil when they reach it.
	mutedUntil, deafUntil time.Time
	// side is the part of a split that the machine is in.
	side int
	// lostAt is when the machine was lost last.
	lostAt time.Time
	// down is set while nothing runs on the machine.
	down bool

	joinAt, admitUntil, leaderlessSince time.Time
	maintainAt                          time.Time
	inARow                              int
	waitsFor                            uint64
	leaving                             map[raft.MemberID]time.Time
}

// ballot is the vote of a member in a term.
type ballot struct {
	id   raft.MemberID
	term uint64
}

type packet struct {
	at       time.Time
	from, to string
	msg      raft.Message
}

// world plays a control group on machines that are lost and replaced, elections and changes of the
// membership included. It checks with full knowledge of all members.
type world struct {
	rnd        *rand.Rand
	now        time.Time
	faults     int
	machines   []*machine
	net        []packet
	names      map[raft.MemberID]string
	lastID     raft.MemberID
	lastName   int
	leaders    map[uint64]raft.MemberID
	committed  map[uint64]raft.Entry
	votes      map[ballot]raft.MemberID
	violations []string
	trace      []string
}

func newWorld(seed int64, size, domains, faults int) *world {
	w := &world{rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0), faults: faults, names: map[raft.MemberID]string{},
		leaders: map[uint64]raft.MemberID{}, committed: map[uint64]raft.Entry{}, votes: map[ballot]raft.MemberID{}}
	var founders raft.Members
	for i := range size {
		m := w.add(fmt.Sprint("d", i%domains))
		if i < 3 {
			founders = append(founders, raft.Member{ID: m.disk.id, Name: m.name, Domain: m.domain, Voter: true})
		}
	}
	for i, m := range w.machines {
		if i < len(founders) {
			m.disk.hard, m.disk.snap, m.disk.joined = raft.HardState{Term: raft.FoundingTerm}, raft.Snapshot{Index: 1, Term: raft.FoundingTerm, Members: founders}, true
		}
		w.boot(m)
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// add makes a machine with an empty disk.
func (w *world) add(domain string) *machine {
	w.lastName++
	m := &machine{name: fmt.Sprint("m", w.lastName), domain: domain}
	w.emptyDisk(m)
	w.machines = append(w.machines, m)
	return m
}

// emptyDisk gives a machine another disk, which gets an identity of its own.
func (w *world) emptyDisk(m *machine) {
	w.lastID++
	m.disk = &store{id: w.lastID}
	w.names[m.disk.id] = m.name
}

func (w *world) boot(m *machine) {
	m.down = false
	m.leaving, m.inARow, m.waitsFor = map[raft.MemberID]time.Time{}, 0, 0
	m.leaderlessSince, m.admitUntil = time.Time{}, time.Time{}
	m.joinAt = w.now
	m.maintainAt = w.now.Add(w.upTo(maintainEvery))
	if m.disk.joined {
		w.run(m)
	}
}

func (w *world) run(m *machine) {
	node, err := raft.New(w.now, raft.Config{ID: m.disk.id, Cluster: "c", Heartbeat: heartbeat, ElectionTimeout: electionTimeout, RestartTimeout: restartTimeout,
		Rand: rand.New(rand.NewSource(w.rnd.Int63()))}, m.disk.hard, m.disk.snap, slices.Clone(m.disk.entries))
	if err != nil {
		w.fail("start of %s: %v", m.name, err)
		return
	}
	m.node = node
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rnd.Int63n(int64(d))) }

func (w *world) up(m *machine) bool { return !m.down && !w.now.Before(m.frozenUntil) }

// running reports whether the member of a machine runs.
func (w *world) running(m *machine) bool { return w.up(m) && m.node != nil }

// reaches reports whether messages from one machine arrive at another one.
func (w *world) reaches(from, to *machine) bool {
	return from == to || from.side == to.side && !w.now.Before(from.mutedUntil) && !w.now.Before(to.deafUntil)
}

func (w *world) connected(a, b *machine) bool { return w.reaches(a, b) && w.reaches(b, a) }

func (w *world) find(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name })
	return w.machines[i]
}

// leader returns the running leader of the highest term, or nil.
func (w *world) leader() *machine {
	var best *machine
	var term uint64
	for _, m := range w.machines {
		if w.running(m) && m.node.Leader() == m.disk.id && m.node.Term() > term {
			best, term = m, m.node.Term()
		}
	}
	return best
}

func (w *world) step() {
	w.now = w.now.Add(worldTick)
	w.deliver()
	for _, m := range slices.Clone(w.machines) {
		if !w.up(m) {
			continue
		}
		w.join(m)
		if m.node == nil {
			continue
		}
		m.node.Tick(w.now)
		w.drain(m)
		w.maintain(m)
	}
}

func (w *world) deliver() {
	due := w.net
	w.net = nil
	for _, p := range due {
		if p.at.After(w.now) {
			w.net = append(w.net, p)
			continue
		}
		from, to := w.find(p.from), w.find(p.to)
		if !w.running(to) || !w.reaches(from, to) {
			continue
		}
		if err := to.node.Step(w.now, p.msg); err != nil {
			w.fail("%s: %v", to.name, err)
			return
		}
		w.drain(to)
	}
}

func (w *world) drain(m *machine) {
	for {
		r := m.node.Ready(w.now)
		if r.Empty() {
			break
		}
		m.disk.persist(&r)
		w.checkVote(r.HardState, m.disk.id)
		for _, msg := range r.Messages {
			if msg.Kind == raft.MsgSnapshot {
				snap := m.disk.snap
				msg.Snapshot = &snap
			}
			if name, known := w.names[msg.To]; known {
				w.net = append(w.net, packet{at: w.now.Add(worldTick), from: m.name, to: name, msg: msg})
			}
		}
		w.checkCommitted(m, r.Committed)
		m.node.Advance(w.now, r)
	}
	if m.node.Leader() != m.disk.id {
		return
	}
	if other, known := w.leaders[m.node.Term()]; known && other != m.disk.id {
		w.fail("members %d and %d lead term %d", other, m.disk.id, m.node.Term())
	}
	w.leaders[m.node.Term()] = m.disk.id
}

func (d *store) persist(r *raft.Ready) {
	d.hard = r.HardState
	if r.Snapshot != nil {
		d.snap, d.entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		d.entries = slices.DeleteFunc(d.entries, func(x raft.Entry) bool { return x.Index >= e.Index })
		d.entries = append(d.entries, e)
	}
}

// checkVote checks that a member votes once in a term, also under an identity that another disk had.
func (w *world) checkVote(hard raft.HardState, id raft.MemberID) {
	if hard.Vote == 0 {
		return
	}
	b := ballot{id, hard.Term}
	if other, known := w.votes[b]; known && other != hard.Vote {
		w.fail("member %d votes for %d and for %d in term %d", id, other, hard.Vote, hard.Term)
	}
	w.votes[b] = hard.Vote
}

// checkCommitted checks that all members commit the same entries, and that each membership differs
// from the one before by one vote at most.
func (w *world) checkCommitted(m *machine, entries []raft.Entry) {
	for _, e := range entries {
		if other, known := w.committed[e.Index]; known {
			if other.Term != e.Term {
				w.fail("%s commits entry %d of term %d, another member that of term %d", m.name, e.Index, e.Term, other.Term)
			}
			continue
		}
		before := w.membership(e.Index - 1)
		w.committed[e.Index] = e
		if e.Kind != raft.EntryMembers || before == nil {
			continue
		}
		if n := len(difference(before, e.Members)) + len(difference(e.Members, before)); n > 1 {
			w.fail("entry %d changes %d votes at once", e.Index, n)
		}
	}
}

// membership returns the membership that was committed at an index.
func (w *world) membership(index uint64) raft.Members {
	for ; index > 1; index-- {
		if e, known := w.committed[index]; known && e.Kind == raft.EntryMembers {
			return e.Members
		}
	}
	return nil
}

// difference returns the voters of a that are no voters of b.
func difference(a, b raft.Members) []raft.MemberID {
	return slices.DeleteFunc(a.Voters(), func(id raft.MemberID) bool { return slices.Contains(b.Voters(), id) })
}

// join lets a machine ask the group to add its disk, if it is empty or has known no leader for long.
func (w *world) join(m *machine) {
	if m.node != nil && m.node.Leader() != 0 {
		m.leaderlessSince = time.Time{}
		return
	}
	if m.node != nil && m.leaderlessSince.IsZero() {
		m.leaderlessSince = w.now
	}
	if m.node != nil && w.now.Sub(m.leaderlessSince) < leaderless {
		return
	}
	if w.now.After(m.admitUntil) {
		if w.now.Before(m.joinAt) {
			return
		}
		m.admitUntil, m.joinAt = w.now.Add(admitTimeout), w.now.Add(joinEvery)
	}
	l := w.leader()
	if l == nil || !w.connected(l, m) || !w.now.After(l.maintainAt.Add(-maintainEvery)) {
		return
	}
	if _, known := l.node.Status(w.now).Members.Get(m.disk.id); !known {
		if _, err := l.node.AddLearner(w.now, m.disk.id, m.name, m.domain); err != nil {
			return
		}
		w.drain(l)
		w.note("%s joins as %d", m.name, m.disk.id)
	}
	m.admitUntil, m.leaderlessSince = time.Time{}, time.Time{}
	if m.node == nil {
		m.disk.joined = true
		w.run(m)
	}
}

// maintain lets a leader change the membership.
func (w *world) maintain(m *machine) {
	if m.node.Leader() != m.disk.id {
		return
	}
	st := m.node.Status(w.now)
	if m.waitsFor > st.Commit {
		return
	}
	if m.inARow == 0 || m.inARow >= changesInARow {
		if w.now.Before(m.maintainAt) {
			return
		}
		m.inARow, m.maintainAt = 0, w.now.Add(maintainEvery)
	}
	policy := roster.Policy{Faults: w.faults, Leaving: map[raft.MemberID]bool{}}
	for id, until := range m.leaving {
		if w.now.Before(until) {
			policy.Leaving[id] = true
		}
	}
	c := policy.Next(&st)
	if c.Action == roster.None {
		m.inARow, m.waitsFor = 0, 0
		return
	}
	m.inARow++
	w.checkChange(m, &st, c)
	var index uint64
	var err error
	switch c.Action {
	case roster.Promote:
		index, err = m.node.Promote(w.now, c.ID)
	case roster.Demote:
		index, err = m.node.Demote(w.now, c.ID)
	case roster.Remove:
		index, err = m.node.Remove(w.now, c.ID)
	}
	w.note("%s, leader of %d voters: %s member %d (%s): %v", m.name, len(st.Members.Voters()), [...]string{"", "promote", "remove", "demote"}[c.Action], c.ID, w.names[c.ID], err)
	if err == nil {
		m.waitsFor = index
		w.drain(m)
	}
}

// checkChange checks that a leader whose voters mostly are out of reach changes nothing.
func (w *world) checkChange(m *machine, st *raft.Status, c roster.Change) {
	live := 0
	for _, id := range st.Members.Voters() {
		o := w.find(w.names[id])
		missed := w.now.Sub(m.lostAt) > 2*electionTimeout && w.now.Sub(o.lostAt) > 2*electionTimeout
		if o.disk.id == id && w.running(o) && w.connected(m, o) || !missed {
			live++
		}
	}
	if all := len(st.Members.Voters()); 2*live <= all {
		w.fail("%s changes member %d (%d) while %d of %d voters are left", m.name, c.ID, c.Action, live, all)
	}
}

// runFor plays a span.
func (w *world) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && len(w.violations) == 0; {
		w.step()
	}
}

// runUntil plays until ok, for the given span at most, and reports whether it is.
func (w *world) runUntil(d time.Duration, ok func() bool) bool {
	for end := w.now.Add(d); w.now.Before(end) && len(w.violations) == 0; {
		if ok() {
			return true
		}
		w.step()
	}
	return ok()
}

// bears reports whether any further loss of as many voters as expected leaves a majority.
func (w *world) bears() bool {
	l := w.leader()
	if l == nil {
		return false
	}
	st := l.node.Status(w.now)
	live, voters := 0, st.Members.Voters()
	for _, id := range voters {
		if m := w.find(w.names[id]); m.disk.id == id && w.running(m) && w.connected(l, m) {
			live++
		}
	}
	return 2*(live-w.faults) > len(voters)
}

// commits reports whether a new command is committed within a span.
func (w *world) commits(d time.Duration) bool {
	var index, term uint64
	return w.runUntil(d, func() bool {
		if e, known := w.committed[index]; known && e.Term == term {
			return true
		}
		l := w.leader()
		if l == nil || l.node.Term() == term {
			return false
		}
		if i, t, err := l.node.Propose(w.now, []byte("x")); err == nil {
			index, term = i, t
			w.drain(l)
		}
		return false
	})
}
