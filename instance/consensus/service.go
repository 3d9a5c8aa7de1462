// Package consensus runs a member of the control group: one goroutine owns the
// raft node, persists its state, sends its messages, applies committed entries to
// the control state machine, and takes snapshots.
package consensus

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// Service is one member of the control group. It is safe for concurrent use.
type Service struct {
	cfg   Config
	node  *raft.Node
	store *storage
	inbox chan raft.Message
	calls chan *call
	stop  chan struct{}
	done  chan struct{}
	// lastContext is the last number given to a proposal or read. It starts at the
	// wall-clock time, so that a restarted member does not reuse a number.
	lastContext atomic.Uint64

	// mu guards the state machine and the fields of this block.
	mu       sync.RWMutex
	applied  uint64
	status   raft.Status
	watchers []func(uint64, control.Entry)
	fatalErr error

	// The fields below belong to the goroutine.
	proposals  map[string]*call
	changes    map[uint64]*call
	reads      map[uint64]*call
	waiting    []*call
	readyReads []readyRead
	retryAt    time.Time
	// appliedTerm is the term of the last applied entry.
	appliedTerm uint64
	// appliedBytes is the size of the commands applied since the last snapshot.
	appliedBytes int
	parts        snapshotAssembler
	seenBySender map[raft.MemberID]*contextWindow
}

// New returns a service that has not been started.
func New(cfg Config) (*Service, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, inbox: make(chan raft.Message, inboxLen), calls: make(chan *call, inboxLen),
		stop: make(chan struct{}), done: make(chan struct{}), proposals: map[string]*call{}, changes: map[uint64]*call{},
		reads: map[uint64]*call{}, seenBySender: map[raft.MemberID]*contextWindow{}}
	s.lastContext.Store(uint64(clock.Now().UnixNano()))
	return s, nil
}

// Start restores the state from disk and starts the member. It fails with
// fault.Corrupt when stored data is damaged, and with fault.Unavailable when the
// disk cannot be used.
func (s *Service) Start(context.Context) error {
	store, err := openStorage(s.cfg.FS, s.cfg.Dir, &s.cfg.Identity)
	if err != nil {
		return err
	}
	if err := s.restore(&store.snap); err != nil {
		_ = store.log.Close()
		return err
	}
	store.snap.Data = nil
	node, err := raft.New(clock.Now(), raft.Config{ID: s.cfg.Identity.ID, Cluster: s.cfg.Identity.Cluster, Heartbeat: s.cfg.Heartbeat,
		ElectionTimeout: s.cfg.ElectionTimeout, RestartTimeout: s.cfg.RestartTimeout, Rand: rand.New(rand.NewSource(s.cfg.Seed))}, store.hard, store.snap, store.entries)
	if err != nil {
		_ = store.log.Close()
		return err
	}
	store.entries = nil
	s.node, s.store, s.applied, s.appliedTerm = node, store, store.snap.Index, store.snap.Term
	s.status = node.Status(clock.Now())
	go s.run()
	return nil
}

func (s *Service) restore(snapshot *raft.Snapshot) error {
	if len(snapshot.Data) == 0 {
		return nil
	}
	return s.cfg.Mux.Restore(snapshot.Data)
}

// Drain transfers the leadership, if this member holds it, so that a planned stop
// does not cost the group an election timeout. It returns when another member
// leads, or with fault.DeadlineExceeded when ctx ends. Stopping without a
// successful Drain is safe.
func (s *Service) Drain(ctx context.Context) error {
	ticker := time.NewTicker(s.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		st := s.Status()
		if st.Role != raft.Leader || len(st.Members.Voters()) < 2 || st.Err != nil {
			return nil
		}
		if to := successor(st.Status); to != 0 {
			_ = s.Transfer(ctx, to)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "no other member has become leader")
		}
	}
}

// successor returns the voter with the highest matching log index; of equal ones, the
// one that was heard from most recently.
func successor(st raft.Status) raft.MemberID {
	var best raft.FollowerStatus
	for _, f := range st.Followers {
		m, _ := st.Members.Get(f.ID)
		if m.Voter && (best.ID == 0 || f.Match > best.Match || f.Match == best.Match && f.Silent < best.Silent) {
			best = f
		}
	}
	return best.ID
}

// Stop ends the service. Proposals that may be in a log fail with
// fault.OutcomeUnknown.
func (s *Service) Stop(ctx context.Context) error {
	if s.node == nil {
		return nil
	}
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "stop the control member")
	}
}

// Deliver queues a message from another member. It never blocks; when the queue
// is full, the message is dropped.
func (s *Service) Deliver(m raft.Message) {
	select {
	case s.inbox <- m:
	default:
	}
}

// Watch registers f to be called after each applied command, in log order, from
// the service's goroutine: f must not block. An entry without a machine means that
// a snapshot replaced the whole state. Call Watch before Start.
func (s *Service) Watch(f func(index uint64, e control.Entry)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// View calls f with the state machine locked against changes. On a follower the
// state may be stale; call Read first for a linearizable read.
func (s *Service) View(f func(index uint64, m *control.Mux)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.applied, s.cfg.Mux)
}

// Identity returns the identity of the member's disk.
func (s *Service) Identity() Identity { return s.cfg.Identity }

// Status is the state of a member.
type Status struct {
	raft.Status
	// Applied is the log index of the last applied entry.
	Applied uint64
	// Err is the fatal error that stopped the member, or nil.
	Err error
}

// Status returns the member's state after the last completed loop iteration.
func (s *Service) Status() Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Status{Status: s.status, Applied: s.applied, Err: s.fatalErr}
}

func (s *Service) run() {
	defer close(s.done)
	defer func() { _ = s.store.log.Close() }()
	ticker := time.NewTicker(s.cfg.Heartbeat / ticksPerHeartbeat)
	defer ticker.Stop()
	for {
		err := s.runOnce(ticker.C)
		if err == nil {
			continue
		}
		s.failPending()
		if fault.CodeOf(err) == fault.Draining {
			return
		}
		s.mu.Lock()
		s.fatalErr = err
		s.mu.Unlock()
		if s.cfg.OnFatal != nil {
			s.cfg.OnFatal(err)
		}
		return
	}
}

// runOnce waits for one event, drains the other queued events, so that all share one
// sync, and then processes the node's Ready.
func (s *Service) runOnce(tick <-chan time.Time) error {
	select {
	case <-s.stop:
		return fault.New(fault.Draining, "the control member is stopping")
	case m := <-s.inbox:
		if err := s.step(m); err != nil {
			return err
		}
	case c := <-s.calls:
		s.startCall(c)
	case <-tick:
		s.tick(clock.Now())
	}
	if err := s.drainQueues(); err != nil {
		return err
	}
	return s.flush()
}

func (s *Service) drainQueues() error {
	for range maxQueueDrain {
		select {
		case m := <-s.inbox:
			if err := s.step(m); err != nil {
				return err
			}
		case c := <-s.calls:
			s.startCall(c)
		default:
			return nil
		}
	}
	return nil
}

// flush persists, sends and applies the node's Ready in the order that raft.Ready
// requires, until it is empty.
func (s *Service) flush() error {
	for {
		r := s.node.Ready(clock.Now())
		if r.Empty() {
			break
		}
		if err := s.persist(&r); err != nil {
			return err
		}
		if err := s.sendAll(r.Messages); err != nil {
			return err
		}
		if err := s.apply(&r); err != nil {
			return err
		}
		s.node.Advance(clock.Now(), r)
	}
	s.publishStatus(s.node.Status(clock.Now()))
	return s.maybeSnapshot()
}

// persist writes the state that must be durable before messages are sent and
// entries applied, and reports slow writes.
func (s *Service) persist(r *raft.Ready) error {
	return disk.ReportSlow(s.cfg.OnSlowDisk, func() error { return s.store.persist(r) })
}

// publishStatus publishes a status and reports a change of role or leader.
func (s *Service) publishStatus(st raft.Status) {
	s.mu.Lock()
	before := s.status
	s.status = st
	s.mu.Unlock()
	if s.cfg.OnRole != nil && (st.Role != before.Role || st.Leader != before.Leader) {
		s.cfg.OnRole(st)
	}
}

func (s *Service) sendAll(messages []raft.Message) error {
	for _, m := range messages {
		if m.Kind != raft.MsgSnapshot {
			s.cfg.Transport.Send(m.To, m)
			continue
		}
		if err := s.sendSnapshot(m); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) maybeSnapshot() error {
	if s.applied < s.store.snap.Index+s.cfg.SnapshotEvery && s.appliedBytes < s.cfg.SnapshotBytes {
		return nil
	}
	s.appliedBytes = 0
	snapshot, err := s.node.SnapshotAt(s.applied)
	if err != nil {
		return err
	}
	if snapshot.Data, err = s.cfg.Mux.Snapshot(); err != nil {
		return err
	}
	if err := s.store.saveSnapshot(snapshot); err != nil {
		return err
	}
	first, err := s.node.Compact(snapshot.Index, s.cfg.Tail, s.cfg.SnapshotBytes/2)
	if err != nil {
		return err
	}
	return s.store.truncate(first)
}
