package raft_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
)

const (
	heartbeat = 10 * time.Millisecond
	election  = 100 * time.Millisecond
	tick      = 3 * time.Millisecond
)

// disk is the synced state of a member.
type disk struct {
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
}

// host runs one member, which may be stopped, suspended or partitioned.
type host struct {
	id          raft.MemberID
	node        *raft.Node
	disk        disk
	frozenUntil time.Time
	rate        float64
	joined      bool
	diskLost    bool
	inbox       []raft.Message
	state       uint64 // digest of all applied commands
	last        uint64 // index of the last applied entry
	role        raft.Role
}

type packet struct {
	at  time.Time
	msg raft.Message
}

type expectedRead struct{ index uint64 }

// sim simulates a group of members under faults and checks it with full knowledge of all
// members. Violated checks are recorded in violations.
type sim struct {
	rnd        *rand.Rand
	now        time.Time
	hosts      map[raft.MemberID]*host
	order      []raft.MemberID
	net        []packet
	cuts       map[[2]raft.MemberID]bool
	drop       float64
	nextID     raft.MemberID
	leaders    map[uint64]raft.MemberID
	commits    map[uint64]raft.Entry
	seenAt     map[uint64]uint64 // index -> lowest term in which its commit was seen
	states     map[uint64]uint64 // index -> digest after it
	top        uint64
	reads      map[uint64]expectedRead
	served     int
	context    uint64
	violations []string
	founders   raft.Members
	crash      float64 // probability of a crash at each step of processing a Ready
	compact    float64
}

func newSim(seed int64, voters int) *sim {
	s := &sim{rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1_000_000, 0), hosts: map[raft.MemberID]*host{},
		cuts: map[[2]raft.MemberID]bool{}, leaders: map[uint64]raft.MemberID{}, commits: map[uint64]raft.Entry{},
		seenAt: map[uint64]uint64{}, states: map[uint64]uint64{1: 0}, reads: map[uint64]expectedRead{}}
	var members raft.Members
	for i := range voters {
		members = append(members, raft.Member{ID: raft.MemberID(i + 1), Name: fmt.Sprint("m", i+1), Voter: true})
	}
	s.founders = members
	for _, m := range members {
		s.add(m.ID, disk{hard: raft.HardState{Term: 1}, snap: raft.Snapshot{Index: 1, Term: 1, Members: members}})
	}
	s.nextID = raft.MemberID(voters + 1)
	return s
}

func (s *sim) add(id raft.MemberID, d disk) *host {
	h := &host{id: id, disk: d, rate: 0.97 + 0.06*s.rnd.Float64(), joined: len(d.snap.Members) > 0}
	s.hosts[id] = h
	s.order = append(s.order, id)
	s.start(h)
	return h
}

func (s *sim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// clock returns a host's own clock, whose rate is up to 3% fast or slow.
func (s *sim) clock(h *host) time.Time {
	base := time.Unix(1_000_000, 0)
	return base.Add(time.Duration(float64(s.now.Sub(base)) * h.rate))
}

func (s *sim) start(h *host) {
	node, err := raft.New(s.clock(h), raft.Config{ID: h.id, Cluster: "c", Heartbeat: heartbeat, ElectionTimeout: election,
		MaxBatch: 4, MaxWindow: 16, MaxBatchBytes: 30, Rand: rand.New(rand.NewSource(s.rnd.Int63()))}, h.disk.hard, h.disk.snap, slices.Clone(h.disk.entries))
	if err != nil {
		s.fail("start of %d: %v", h.id, err)
		return
	}
	h.node, h.inbox, h.role = node, nil, raft.Follower
	h.last = h.disk.snap.Index
	h.state = digestOf(h.disk.snap)
}

func digestOf(snap raft.Snapshot) uint64 {
	var d uint64
	_, _ = fmt.Sscan(string(snap.Data), &d)
	return d
}

func (s *sim) stop(h *host) { h.node = nil }

func (s *sim) running(h *host) bool {
	return h.node != nil && !h.diskLost && !s.now.Before(h.frozenUntil)
}

// persist updates the disk as a write-ahead log would after a sync.
func (h *host) persist(r raft.Ready) {
	h.disk.hard = r.HardState
	if r.Snapshot != nil {
		h.disk.snap, h.disk.entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		h.disk.entries = slices.DeleteFunc(h.disk.entries, func(x raft.Entry) bool { return x.Index >= e.Index })
		h.disk.entries = append(h.disk.entries, e)
	}
}

func (s *sim) drain(h *host) {
	for range 100 {
		if h.node == nil {
			return
		}
		r := h.node.Ready(s.clock(h))
		if r.Empty() {
			s.checkNewLeader(h)
			return
		}
		if s.rnd.Float64() < s.crash {
			s.stop(h) // before the sync: the whole Ready is lost
			return
		}
		h.persist(r)
		if s.rnd.Float64() < s.crash {
			s.stop(h)
			return
		}
		for _, m := range r.Messages {
			s.transmit(h, m)
			if s.rnd.Float64() < s.crash/10 {
				s.stop(h)
				return
			}
		}
		s.apply(h, r)
		h.node.Advance(s.clock(h), r)
		s.checkNewLeader(h)
		s.maybeCompact(h)
	}
	s.fail("member %d has work ready without end", h.id)
}

func (s *sim) transmit(h *host, m raft.Message) {
	if m.Kind == raft.MsgSnapshot {
		snap := h.disk.snap
		m.Snapshot = &snap
	}
	copies := 1
	if s.rnd.Float64() < s.drop {
		copies = 0
	} else if s.rnd.Float64() < s.drop {
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.rnd.Int63n(int64(2 * time.Millisecond)))
		if s.rnd.Float64() < s.drop {
			delay = time.Duration(s.rnd.Int63n(int64(3 * election)))
		}
		s.net = append(s.net, packet{at: s.now.Add(delay), msg: m})
	}
}

func (s *sim) maybeCompact(h *host) {
	if s.rnd.Float64() >= s.compact || h.last <= h.disk.snap.Index+5 {
		return
	}
	snap, err := h.node.SnapshotAt(h.last)
	if err != nil {
		s.fail("snapshot: %v", err)
		return
	}
	snap.Data = []byte(fmt.Sprint(h.state))
	first, err := h.node.Compact(h.last, uint64(s.rnd.Intn(4)), 30)
	if err != nil {
		s.fail("compact: %v", err)
	}
	h.disk.snap = snap
	h.disk.entries = slices.DeleteFunc(h.disk.entries, func(e raft.Entry) bool { return e.Index < first })
}

// step advances the time of the whole group by one tick.
func (s *sim) step() {
	s.now = s.now.Add(tick)
	due := s.net
	s.net = nil
	for _, p := range due {
		if p.at.After(s.now) {
			s.net = append(s.net, p)
			continue
		}
		h := s.hosts[p.msg.To]
		if h != nil && h.node != nil && !h.diskLost && !s.cuts[[2]raft.MemberID{p.msg.From, p.msg.To}] {
			h.inbox = append(h.inbox, p.msg)
		}
	}
	for _, id := range s.order {
		h := s.hosts[id]
		if !s.running(h) {
			continue
		}
		inbox := h.inbox
		h.inbox = nil
		for _, m := range inbox {
			if h.node == nil {
				break
			}
			if err := h.node.Step(s.clock(h), m); err != nil {
				s.fail("member %d: %v", id, err)
				return
			}
			s.drain(h)
		}
		if h.node != nil {
			h.node.Tick(s.clock(h))
			s.drain(h)
		}
	}
}

// leader returns the running leader with the highest term, or nil.
func (s *sim) leader() *host {
	var best *host
	var term uint64
	for _, id := range s.order {
		h := s.hosts[id]
		if !s.running(h) {
			continue
		}
		if st := h.node.Status(s.clock(h)); st.Role == raft.Leader && st.Term > term {
			best, term = h, st.Term
		}
	}
	return best
}

func (s *sim) stepUntil(limit int, ok func() bool) bool {
	for range limit {
		if len(s.violations) > 0 {
			return false
		}
		if ok() {
			return true
		}
		s.step()
	}
	return ok()
}

// propose proposes a command to the leader, retrying until it is committed. It reports
// success.
func (s *sim) propose(data string) bool {
	done := false
	return s.stepUntil(5000, func() bool {
		l := s.leader()
		if l == nil || done {
			return done
		}
		index, term, err := l.node.Propose(s.clock(l), []byte(data))
		if err != nil {
			return false
		}
		s.drain(l)
		s.stepUntil(400, func() bool { return s.top >= index })
		e, ok := s.commits[index]
		done = ok && e.Term == term
		return done
	})
}

func (s *sim) read(h *host) {
	s.context++
	s.reads[s.context] = expectedRead{index: s.top}
	_ = h.node.ReadIndex(s.clock(h), s.context)
	s.drain(h)
}

func (s *sim) clearFaults() {
	s.drop, s.crash = 0, 0
	clear(s.cuts)
	for _, id := range s.order {
		h := s.hosts[id]
		h.frozenUntil = time.Time{}
		if h.node == nil && !h.diskLost {
			s.start(h)
		}
	}
}
