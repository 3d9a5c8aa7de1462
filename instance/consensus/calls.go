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
	// appended is set once the command may be in some member's log; term is the
	// only term in which it can have been appended.
	appended bool
	term     uint64
	// index is the log index of a membership change.
	index uint64
	// lastErr is why the latest attempt certainly did not run.
	lastErr  error
	contexts []uint64
	finished bool
	reply    chan reply
}

type reply struct {
	result []byte
	index  uint64
	err    error
}

type readyRead struct {
	index uint64
	call  *call
}

func outcomeUnknown(why string) error {
	return fault.New(fault.OutcomeUnknown, "%s; the command may or may not take effect", why)
}

// Propose replicates a command for the sub-machine of the given name, and returns
// its result and its log index. A follower forwards it to the leader. When Propose
// returns, this member has applied the command.
//
// It fails with fault.NotRun or fault.Overloaded when the command is certainly in
// no log and never will be, and with fault.OutcomeUnknown when it may be. One
// Propose never appends the command twice.
func (s *Service) Propose(ctx context.Context, machine string, data []byte) ([]byte, uint64, error) {
	if !s.cfg.Mux.Has(machine) {
		return nil, 0, fault.New(fault.Invalid, "no state machine %q", machine)
	}
	number := s.lastContext.Add(1)
	request := strconv.FormatUint(uint64(s.cfg.Identity.ID), 36) + "-" + strconv.FormatUint(number, 36)
	payload, err := control.Marshal(&control.Command{Machine: machine, Request: request, Data: data})
	if err != nil {
		return nil, 0, err
	}
	r := s.call(ctx, &call{kind: callPropose, request: request, payload: payload})
	return r.result, r.index, r.err
}

// Read waits until this member has applied everything that was committed before
// Read was called, and returns the applied index: a View after it is a
// linearizable read. It fails with fault.Unavailable when no leader confirms the
// read index in time.
func (s *Service) Read(ctx context.Context) (uint64, error) {
	r := s.call(ctx, &call{kind: callRead})
	return r.index, r.err
}

// AddLearner adds a member without a vote. This and the other membership changes
// work on the leader only and return once they are committed; they fail like
// raft.Node's methods, or with fault.OutcomeUnknown.
func (s *Service) AddLearner(ctx context.Context, id raft.MemberID, name, domain string) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.AddLearner(now, id, name, domain) })
}

// SetDomain records the failure domain of a member.
func (s *Service) SetDomain(ctx context.Context, id raft.MemberID, domain string) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.SetDomain(now, id, domain) })
}

// Promote makes a learner a voter, provided that it has stored all committed
// entries.
func (s *Service) Promote(ctx context.Context, id raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.Promote(now, id) })
}

// Demote makes a voter a learner.
func (s *Service) Demote(ctx context.Context, id raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.Demote(now, id) })
}

// Remove removes a member from the group.
func (s *Service) Remove(ctx context.Context, id raft.MemberID) error {
	return s.change(ctx, func(n *raft.Node, now time.Time) (uint64, error) { return n.Remove(now, id) })
}

// Transfer starts a transfer of the leadership from this member to another voter.
// It returns when the transfer has started.
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
		return reply{err: fault.New(fault.NotRun, "the control member's queue is full").WithRetryAfter(s.cfg.Heartbeat)}
	}
	return s.await(ctx, c)
}

// replyGrace is how long after its deadline a call waits for its reply.
const replyGrace = 300 * time.Millisecond

// await returns the reply to a call that was passed to the goroutine. The goroutine replies
// to every call by its deadline, since only it knows whether the command was appended; it
// does not while a disk write blocks it.
func (s *Service) await(ctx context.Context, c *call) reply {
	select {
	case r := <-c.reply:
		return r
	case <-s.done:
		return replyAfterStop(c)
	case <-ctx.Done():
	}
	grace := time.NewTimer(replyGrace)
	defer grace.Stop()
	select {
	case r := <-c.reply:
		return r
	case <-s.done:
		return replyAfterStop(c)
	case <-grace.C:
	}
	if c.kind == callRead {
		return reply{err: fault.New(fault.Unavailable, "a disk write blocks the control member")}
	}
	return reply{err: outcomeUnknown("a disk write blocks the control member")}
}

// replyAfterStop returns the reply to a call after the goroutine has ended.
func replyAfterStop(c *call) reply {
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

// startCall makes the first attempt at a call.
func (s *Service) startCall(c *call) {
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

// propose appends the command locally on the leader, or forwards it to the leader.
func (s *Service) propose(now time.Time, c *call) {
	s.waiting = append(s.waiting, c)
	if s.node.Leader() == s.cfg.Identity.ID {
		_, term, err := s.node.Propose(now, c.payload)
		c.appended, c.term, c.lastErr = err == nil, term, err
		if fault.CodeOf(err) == fault.Overloaded {
			s.finish(c, reply{err: err})
		}
		return
	}
	if s.node.Leader() == 0 {
		c.lastErr = fault.New(fault.NotRun, "no leader is known").WithRetryAfter(s.cfg.Heartbeat)
		return
	}
	number := s.lastContext.Add(1)
	c.contexts = append(c.contexts, number)
	s.reads[number] = c
	c.appended, c.term = true, s.node.Term()
	s.cfg.Transport.Send(s.node.Leader(), raft.Message{Kind: raft.MsgPropose, Cluster: s.cfg.Identity.Cluster,
		From: s.cfg.Identity.ID, To: s.node.Leader(), Term: s.node.Term(), Context: number, Data: c.payload})
}

// retry lets tick propose a command again once its only attempt that may have
// appended it is known not to have run. A membership change fails instead.
func (s *Service) retry(c *call, why error) {
	if c.finished {
		return
	}
	if c.kind == callChange {
		s.finish(c, reply{err: why})
		return
	}
	s.forgetRead(c)
	c.appended, c.lastErr = false, why
}

func (s *Service) read(now time.Time, c *call) {
	number := s.lastContext.Add(1)
	if s.node.ReadIndex(now, number) != nil {
		return
	}
	c.contexts = append(c.contexts, number)
	s.reads[number] = c
}

// tick advances the node's clock, and expires or retries the waiting calls.
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
		s.finish(c, reply{err: fault.New(fault.Unavailable, "no leader confirmed the read in time").WithRetryAfter(s.cfg.Heartbeat)})
	case c.appended:
		s.finish(c, reply{err: outcomeUnknown("the command was not committed in time")})
	case c.lastErr != nil:
		s.finish(c, reply{err: c.lastErr})
	default:
		s.finish(c, reply{err: fault.New(fault.NotRun, "no leader is known").WithRetryAfter(s.cfg.Heartbeat)})
	}
}

// failPending fails all pending calls when the service ends.
func (s *Service) failPending() {
	for _, c := range s.waiting {
		if !c.finished {
			s.expire(c)
		}
	}
	for _, d := range s.readyReads {
		s.expire(d.call)
	}
	for {
		select {
		case c := <-s.calls:
			s.finish(c, reply{err: fault.New(fault.NotRun, "the control member is stopping")})
		default:
			return
		}
	}
}
