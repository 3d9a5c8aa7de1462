package serving

import (
	"context"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// What waits at an engine changes within a few hundred milliseconds. Reports that come as often
// tell of queues that are gone, and of none of those that have formed since. So instances tell a
// member at once what they send where, and members tell each other what changed.

// Link channels of LoadUpdate: from instances to their member, and between members.
const (
	ChannelLoadUpdate = "serving.load"
	channelChanges    = "serving.changes"
)

const (
	// minChangesInterval is the minimum time between two messages with changes from one member to
	// another, and changesIntervalPerMember what each member of the group adds to it: a member sends
	// no more messages in a large group than in a small one.
	minChangesInterval       = 20 * time.Millisecond
	changesIntervalPerMember = 4 * time.Millisecond
)

// LoadUpdate tells what changed since the last report or update of its sender.
type LoadUpdate struct {
	// Sequence orders the updates and reports of an instance; members send none.
	Sequence uint64 `codec:"q,omitempty"`
	// Loads are the present loads of the upstreams that changed, also zero ones.
	Loads []Load `codec:"l,omitempty"`
	// Routes are the loads of all routes, if they are included.
	Routes []RouteLoad `codec:"r,omitempty"`
	// Placements lists the prompts placed meanwhile.
	Placements []PromptPlacement `codec:"p,omitempty"`
	Busy       bool              `codec:"b,omitempty"`
}

func (u *LoadUpdate) empty() bool {
	return len(u.Loads)+len(u.Routes)+len(u.Placements) == 0
}

// apply brings a report up to date.
func (u *LoadUpdate) apply(r *loadReport, now time.Time) {
	loads := slices.Clone(r.work.Loads)
	for _, l := range u.Loads {
		at := slices.IndexFunc(loads, func(x Load) bool { return x.FirstIndex == l.FirstIndex })
		if at < 0 {
			loads = append(loads, l)
		} else {
			loads[at] = l
		}
	}
	r.at, r.work.Loads = now, loads
	if len(u.Routes) > 0 {
		r.work.Routes, r.busy = u.Routes, u.Busy
	}
}

// receiveUpdate records a load update of an instance that asks this member.
func (s *Service) receiveUpdate(_ context.Context, from string, msg link.Message) (any, error) {
	var u LoadUpdate
	if err := msg.Decode(&u); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r, known := s.loads.watchers[from]
	if !known || u.Sequence < r.sequence {
		return nil, nil
	}
	u.apply(&r, clock.Now())
	r.sequence = u.Sequence
	s.loads.watchers[from] = r
	return nil, nil
}

// receiveChanges records a load update of another member.
func (s *Service) receiveChanges(_ context.Context, from string, msg link.Message) (any, error) {
	var u LoadUpdate
	if err := msg.Decode(&u); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placements.add(from, u.Placements)
	r, known := s.loads.members[from]
	if !known {
		return nil, nil
	}
	u.apply(&r, clock.Now())
	s.loads.members[from] = r
	return nil, nil
}

// changesInterval returns the time between two messages with changes in a group of the given size.
func changesInterval(members int) time.Duration {
	return max(minChangesInterval, time.Duration(members)*changesIntervalPerMember)
}

// changedLoads returns the loads in which work differs from what was sent before, and records it as
// sent.
func (b *loadReports) changedLoads(work *Work) (changed []Load) {
	current := make(map[uint64]Load, len(work.Loads))
	for _, l := range work.Loads {
		current[l.FirstIndex] = l
		if b.sent[l.FirstIndex] != l {
			changed = append(changed, l)
		}
	}
	for index := range b.sent {
		if _, busy := current[index]; !busy {
			changed = append(changed, Load{FirstIndex: index})
		}
	}
	b.sent = current
	return changed
}
