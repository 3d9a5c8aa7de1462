package consensus

import (
	"context"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

type callKind uint8

const (
	callPropose callKind = iota
	callRead
	callChange
)

// call is one request to the service's goroutine.
type call struct {
	kind     callKind
	request  string
	payload  []byte
	change   func(*raft.Node, time.Time) (uint64, error)
	deadline time.Time
	canceled <-chan struct{}
	// appended is set once the command may be in somebody's log, with the only
	// term in which it may have been put there.
	appended bool
	term     uint64
	// index is where the entry of a change is.
	index uint64
	// last is why the latest attempt proved not to have run.
	last     error
	contexts []uint64
	finished bool
	reply    chan reply
}

type reply struct {
	result []byte
	index  uint64
	err    error
}

type dueRead struct {
	index uint64
	call  *call
}

func unknown(why string) error {
	return fault.New(fault.OutcomeUnknown, "%s; the command may or may not take effect", why)
}

// Propose has a command carried out by the sub-machine of the given name, and
// returns its result and its index in the log. A follower hands it to the leader.
// The command is in the state of this member when Propose returns.
//
// It fails with fault.NotRun or fault.Overloaded when it is proved that the
// command is in no log and never will be, and with fault.OutcomeUnknown when it
// may be. It is never appended twice by one Propose.
func (s *Service) Propose(ctx context.Context, machine string, data []byte) ([]byte, uint64, error) {
	if !s.cfg.Mux.Has(machine) {
		return nil, 0, fault.New(fault.Invalid, "no machine %q", machine)
	}
	number := s.context.Add(1)
	request := strconv.FormatUint(uint64(s.cfg.Identity.ID), 36) + "-" + strconv.FormatUint(number, 36)
	payload, err := control.Marshal(&control.Command{Machine: machine, Request: request, Data: data})
	if err != nil {
		return nil, 0, err
	}
	r := s.call(ctx, &call{kind: callPropose, request: request, payload: payload})
	return r.result, r.index, r.err
}

// Read waits until this member's state holds everything that was committed
// before Read was called, and returns its index: View then gives a linearizable
// read. It fails with fault.Unavailable when no leader confirms it in time.
func (s *Service) Read(ctx context.Context) (uint64, error) {
	r := s.call(ctx, &call{kind: callRead})
	return r.index, r.err
}

// AddLearner adds a member without a vote. This and the other changes of members
// work on the leader only and return once they are committed; they fail like
// raft.Node's methods, or with fault.OutcomeUnknown.
func (s *Service) AddLearner(ctx context.Context, id raft.MemberID, name string) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.AddLearner(now, id, name) })
}

// Promote gives a learner a vote once it has synced all that is committed.
func (s *Service) Promote(ctx context.Context, id raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.Promote(now, id) })
}

// Remove removes a member.
func (s *Service) Remove(ctx context.Context, id raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.Remove(now, id) })
}

// Transfer asks the leader, which this member must be, to hand over to another
// voter. It returns when the handover has begun.
func (s *Service) Transfer(ctx context.Context, to raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return 0, n.Transfer(now, to) })
}

func (s *Service) change(ctx context.Context, f func(*raft.Node, time.Time) (uint64, error)) error {
	return s.call(ctx, &call{kind: callChange, change: f}).err
}

func (s *Service) call(ctx context.Context, c *call) reply {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	end, _ := ctx.Deadline()
	c.deadline = clock.Now().Add(time.Until(end))
	c.canceled = ctx.Done()
	c.reply = make(chan reply, 1)
	select {
	case <-s.done:
		return reply{err: fault.New(fault.NotRun, "the control member has stopped")}
	case s.calls <- c:
	case <-ctx.Done():
		return reply{err: fault.New(fault.NotRun, "the control member is busy").WithRetryAfter(s.cfg.Heartbeat)}
	}
	return s.await(ctx, c)
}

// keptFor is for how long after its deadline a call waits for its answer.
const keptFor = 300 * time.Millisecond

// await returns the answer to a call that the goroutine took. It answers every one at its
// deadline at the latest: only it knows whether the command was appended. While a disk
// keeps it, it answers nothing.
func (s *Service) await(ctx context.Context, c *call) reply {
	select {
	case r := <-c.reply:
		return r
	case <-s.done:
		return ended(c)
	case <-ctx.Done():
	}
	kept := time.NewTimer(keptFor)
	defer kept.Stop()
	select {
	case r := <-c.reply:
		return r
	case <-s.done:
		return ended(c)
	case <-kept.C:
	}
	if c.kind == callRead {
		return reply{err: fault.New(fault.Unavailable, "the disk keeps the control member")}
	}
	return reply{err: unknown("the disk keeps the control member")}
}

// ended returns the answer to a call when the goroutine has ended.
func ended(c *call) reply {
	select {
	case r := <-c.reply:
		return r
	default:
		return reply{err: fault.New(fault.NotRun, "the control member has stopped")}
	}
}

func (s *Service) finish(c *call, r reply) {
	if c.finished {
		return
	}
	c.finished = true
	delete(s.proposals, c.request)
	if s.changes[c.index] == c {
		delete(s.changes, c.index)
	}
	s.forgetRead(c)
	c.reply <- r
}

func (s *Service) forgetRead(c *call) {
	for _, number := range c.contexts {
		delete(s.reads, number)
	}
	c.contexts = nil
}

// begin makes the first or another attempt at a call.
func (s *Service) begin(c *call) {
	now := clock.Now()
	switch c.kind {
	case callPropose:
		s.proposals[c.request] = c
		s.propose(now, c)
	case callRead:
		s.read(now, c)
		s.waiting = append(s.waiting, c)
	case callChange:
		index, err := c.change(s.node, now)
		if err != nil || index == 0 {
			s.finish(c, reply{err: err})
			return
		}
		c.appended, c.term, c.index = true, s.node.Term(), index
		s.changes[index] = c
		s.waiting = append(s.waiting, c)
	}
}

// propose appends the command here or hands it to the leader.
func (s *Service) propose(now time.Time, c *call) {
	s.waiting = append(s.waiting, c)
	if s.node.Leader() == s.cfg.Identity.ID {
		_, term, err := s.node.Propose(now, c.payload)
		c.appended, c.term, c.last = err == nil, term, err
		if fault.CodeOf(err) == fault.Overloaded {
			s.finish(c, reply{err: err})
		}
		return
	}
	if s.node.Leader() == 0 {
		c.last = fault.New(fault.NotRun, "no leader is known").WithRetryAfter(s.cfg.Heartbeat)
		return
	}
	number := s.context.Add(1)
	c.contexts = append(c.contexts, number)
	s.reads[number] = c
	c.appended, c.term = true, s.node.Term()
	s.cfg.Transport.Send(s.node.Leader(), raft.Message{Kind: raft.MsgPropose, Cluster: s.cfg.Identity.Cluster,
		From: s.cfg.Identity.ID, To: s.node.Leader(), Term: s.node.Term(), Context: number, Data: c.payload})
}

// retry lets a proposal be tried again after one attempt is proved not to have
// run; it is its only attempt so far.
func (s *Service) retry(c *call, why error) {
	if c.finished {
		return
	}
	if c.kind == callChange {
		s.finish(c, reply{err: why})
		return
	}
	s.forgetRead(c)
	c.appended, c.last = false, why
}

func (s *Service) read(now time.Time, c *call) {
	number := s.context.Add(1)
	if s.node.ReadIndex(now, number) != nil {
		return
	}
	c.contexts = append(c.contexts, number)
	s.reads[number] = c
}

// tick lets time pass for the node and for the calls that wait.
func (s *Service) tick(now time.Time) {
	s.node.Tick(now)
	again := !now.Before(s.retryAt)
	if again {
		s.retryAt = now.Add(s.cfg.Heartbeat)
	}
	waiting := s.waiting
	s.waiting = nil
	for _, c := range waiting {
		switch {
		case c.finished:
		case expired(c, now):
			s.expire(c)
		case again && c.kind == callRead:
			s.read(now, c)
			s.waiting = append(s.waiting, c)
		case again && c.kind == callPropose && !c.appended:
			s.propose(now, c)
		default:
			s.waiting = append(s.waiting, c)
		}
	}
}

func expired(c *call, now time.Time) bool {
	select {
	case <-c.canceled:
		return true
	default:
		return !now.Before(c.deadline)
	}
}

func (s *Service) expire(c *call) {
	switch {
	case c.kind == callRead:
		s.finish(c, reply{err: fault.New(fault.Unavailable, "no leader has confirmed the read in time").WithRetryAfter(s.cfg.Heartbeat)})
	case c.appended:
		s.finish(c, reply{err: unknown("the leader has not confirmed the command in time")})
	case c.last != nil:
		s.finish(c, reply{err: c.last})
	default:
		s.finish(c, reply{err: fault.New(fault.NotRun, "no leader is known").WithRetryAfter(s.cfg.Heartbeat)})
	}
}

// abandon answers all calls when the service ends.
func (s *Service) abandon() {
	for _, c := range s.waiting {
		if !c.finished {
			s.expire(c)
		}
	}
	for _, d := range s.due {
		s.expire(d.call)
	}
	for {
		select {
		case c := <-s.calls:
			s.finish(c, reply{err: fault.New(fault.NotRun, "the control member stops")})
		default:
			return
		}
	}
}
