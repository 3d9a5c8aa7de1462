package quarantine

import (
	"bytes"
	"context"
	"time"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// ChannelList carries a ListRequest to a member, which answers with state.Changes once there are some.
const ChannelList = "quarantine.list"

// ListRequest asks for the changes of the list after a log index.
type ListRequest struct {
	Index uint64 `codec:"n"`
}

const (
	// listHold is how long a member holds a request without changes.
	listHold = 2 * time.Second
	// listTimeout bounds a request for changes; listRetryDelay follows one that no member answered.
	listTimeout    = listHold + time.Second
	listRetryDelay = 200 * time.Millisecond
)

// changesAfter waits until the list that this member has applied changes after an index, or listHold has passed.
func (s *Service) changesAfter(ctx context.Context, g *consensus.Service, index uint64) (c *state.Changes) {
	ctx, cancel := context.WithTimeout(ctx, listHold)
	defer cancel()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		viewMachine(g, func(m *state.Machine) { c = m.Since(index) })
		if c != nil {
			return c
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &state.Changes{Index: index}
		}
	}
}

func (s *Service) sendChanges(ctx context.Context, _ string, msg link.Message) (any, error) {
	var q ListRequest
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	return s.changesAfter(ctx, g, q.Index), nil
}

// FollowerConfig holds the settings of a Follower.
type FollowerConfig struct {
	Recorder *Recorder
	// Local is the Service of this instance, which answers while it runs a member.
	Local *Service
	Links Caller
	// Members returns the other members of the control group in the order in which to try them.
	Members func() []string
}

// Follower keeps the list of a Recorder up to date on an instance that gets it in no other way.
type Follower struct {
	cfg    FollowerConfig
	cancel context.CancelFunc
	done   chan struct{}
}

// NewFollower returns a follower that is not started.
func NewFollower(cfg FollowerConfig) *Follower { return &Follower{cfg: cfg, done: make(chan struct{})} }

// Start implements kernel.Service.
func (f *Follower) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return nil
}

// Stop implements kernel.Service.
func (f *Follower) Stop(context.Context) error {
	if f.cancel != nil {
		f.cancel()
		<-f.done
	}
	return nil
}

func (f *Follower) run(ctx context.Context) {
	var list *follow.Quarantine
	for failures := 0; ctx.Err() == nil; {
		c := f.next(ctx, list.LogIndex(), failures)
		if c == nil {
			failures++
			clock.Sleep(ctx, listRetryDelay)
			continue
		}
		list = list.Merge(c)
		f.cfg.Recorder.Update(list)
	}
}

// next returns the next changes, or nil if the member that was asked did not answer.
func (f *Follower) next(ctx context.Context, index uint64, failures int) *state.Changes {
	if g := f.cfg.Local.cfg.Replica(); g != nil {
		return f.cfg.Local.changesAfter(ctx, g, index)
	}
	members := f.cfg.Members()
	if len(members) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var c state.Changes
	if err := f.cfg.Links.Call(ctx, members[failures%len(members)], ChannelList, ListRequest{Index: index}, &c); err != nil {
		return nil
	}
	return &c
}

// Proposals is a Caller that replicates reports and trials without asking a certain member.
type Proposals struct {
	// Propose replicates a command of a state machine and returns its result.
	Propose func(ctx context.Context, machine string, data []byte) ([]byte, error)
}

// Call implements Caller. It fails with fault.Internal for any other message.
func (p Proposals) Call(ctx context.Context, _, channel string, req, resp any) error {
	switch q := req.(type) {
	case *quarantine.Report:
		_, err := p.propose(ctx, &state.Command{Reports: []quarantine.Report{*q}})
		return err
	case *TrialRequest:
		result, err := p.propose(ctx, q.command())
		if a, ok := resp.(*TrialResponse); ok {
			a.Granted = bytes.Equal(result, state.Granted)
		}
		return err
	}
	return fault.New(fault.Internal, "%s carries no proposal", channel)
}

func (p Proposals) propose(ctx context.Context, c *state.Command) ([]byte, error) {
	data, err := corecontrol.Marshal(c)
	if err != nil {
		return nil, err
	}
	return p.Propose(ctx, state.Name, data)
}
