package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// leavingTimeout is how long a member counts as leaving after it said so. Then its silence
// tells whether it has stopped; one that has restarted may vote again.
const leavingTimeout = drainTimeout

const (
	// leaveTimeout bounds the announcement of a stop, leaveRetryPause is the pause between two
	// attempts.
	leaveTimeout    = time.Second
	leaveRetryPause = 50 * time.Millisecond
)

// leavingMembers holds the members that have said that they are about to stop. It is safe for
// concurrent use.
type leavingMembers struct {
	mu    sync.Mutex
	until map[raft.MemberID]time.Time
}

func (l *leavingMembers) add(now time.Time, id raft.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = map[raft.MemberID]time.Time{}
	}
	l.until[id] = now.Add(leavingTimeout)
}

func (l *leavingMembers) members(now time.Time) map[raft.MemberID]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.until, func(_ raft.MemberID, until time.Time) bool { return now.After(until) })
	out := make(map[raft.MemberID]bool, len(l.until))
	for id := range l.until {
		out[id] = true
	}
	return out
}

// leaveRequest tells the leader that a member is about to stop.
type leaveRequest struct {
	ID raft.MemberID `codec:"i"`
}

type leaveAnswer struct{}

// announceLeave tells the leader that this member is about to stop, and returns once the group
// has replaced it, if it can. Without this, a group whose members are replaced as planned would
// miss a voter until it has found the last one silent.
func (s *Service) announceLeave(ctx context.Context, g *consensus.Service) error {
	if !s.cfg.RepairMembers {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		st := g.Status()
		if m, known := st.Members.Get(st.ID); st.Err != nil || !known || !m.Voter {
			return nil
		}
		leader, known := st.Members.Get(st.Leader)
		if known && leader.ID != st.ID {
			if err := s.cfg.Links.Call(ctx, leader.Name, channelLeave, leaveRequest{ID: st.ID}, &leaveAnswer{}); err == nil {
				return nil
			}
		}
		if !clock.Sleep(ctx, leaveRetryPause) {
			return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "the leader was not told that this member stops")
		}
	}
}

// receiveLeave replaces a member that is about to stop, on the leader. It repeats the attempt,
// since a new leader does not know yet which learners have synced.
func (s *Service) receiveLeave(ctx context.Context, _ string, m link.Message) (any, error) {
	var q leaveRequest
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	g := s.group.Load()
	if g == nil {
		return nil, fault.New(fault.NotRun, "this instance is not a member of a control group")
	}
	st := g.Status()
	if st.Leader != st.ID || !s.cfg.RepairMembers {
		return nil, fault.New(fault.NotRun, "this member is not the leader")
	}
	s.leaving.add(clock.Now(), q.ID)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout/2)
	defer cancel()
	for {
		s.maintainMembers(g)
		if m, _ := g.Status().Members.Get(q.ID); !m.Voter || !clock.Sleep(ctx, leaveRetryPause) {
			return leaveAnswer{}, nil
		}
	}
}
