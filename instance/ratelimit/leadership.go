package ratelimit

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

const (
	// confirmTimeout bounds a confirmation. A member whose disk hangs or that is cut off must
	// say so before the caller gives up.
	confirmTimeout = 150 * time.Millisecond
	// maxConfirmationAge is for how long after its start a confirmation serves further
	// requests. It bounds the heartbeat rounds of a leader without a lease.
	maxConfirmationAge = 25 * time.Millisecond
)

var errUnconfirmed = fault.New(fault.Unavailable, "this member cannot confirm that it leads the control group").WithRetryAfter(time.Second)

// replica is the part of consensus.Service that a leadership uses.
type replica interface {
	Read(ctx context.Context) (uint64, error)
	Status() consensus.Status
}

// leadership confirms that this member leads the control group. A status says only what the
// member knew when it last ran. It is safe for concurrent use.
type leadership struct {
	// running holds a value during a confirmation and guards the fields below.
	running chan struct{}
	// term is the term of the latest confirmation, and confirmedAt when that was started.
	term        uint64
	confirmedAt time.Time
}

func newLeadership() *leadership { return &leadership{running: make(chan struct{}, 1)} }

// confirm returns nil if this member led the group in a term at some time that is at most
// maxConfirmationAge before the call. Otherwise it fails with fault.Unavailable.
func (l *leadership) confirm(ctx context.Context, g replica, term uint64) error {
	notBefore := clock.Now().Add(-maxConfirmationAge)
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case l.running <- struct{}{}:
	case <-ctx.Done():
		return errUnconfirmed
	}
	defer func() { <-l.running }()
	if l.term == term && !l.confirmedAt.Before(notBefore) {
		return nil
	}
	startedAt := clock.Now()
	if !confirmOnce(ctx, g, term) {
		return errUnconfirmed
	}
	l.term, l.confirmedAt = term, startedAt
	return nil
}

// confirmOnce reports whether this member led the group in a term after the call. A read
// succeeds on a follower too, but not before the member's status says that it follows.
func confirmOnce(ctx context.Context, g replica, term uint64) bool {
	if _, err := g.Read(ctx); err != nil {
		return false
	}
	st := g.Status()
	return st.Role == raft.Leader && st.Term == term
}
