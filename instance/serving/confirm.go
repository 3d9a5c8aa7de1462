package serving

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

const (
	// confirmTimeout bounds a confirming read. A member that is cut off must say so quickly, so
	// that the caller tries another one.
	confirmTimeout = 300 * time.Millisecond
	// maxConfirmationAge is for how long after its start a confirming read serves further
	// responses. It bounds the reads that a member asks the leader for, however many instances
	// follow the state there; it shortens their leases by as much.
	maxConfirmationAge = 25 * time.Millisecond
)

// replicaConfirmations holds the confirmations of the replica that this member runs. Another replica is
// started after a disk error, from the disk; what one confirms says nothing of the state of another.
// It is safe for concurrent use.
type replicaConfirmations struct {
	mu      sync.Mutex
	replica *consensus.Service
	shared  *confirmations
}

// of returns the confirmations of a replica.
func (c *replicaConfirmations) of(g *consensus.Service) *confirmations {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica != g {
		read := func(ctx context.Context) error {
			_, err := g.Read(ctx)
			return err
		}
		c.replica, c.shared = g, &confirmations{read: read, now: clock.Now}
	}
	return c.shared
}

// confirmations shares confirming reads among the responses of a member. It is safe for
// concurrent use.
type confirmations struct {
	// read returns once a quorum has confirmed, after the call, that nothing newer is committed
	// than what this member has applied.
	read func(context.Context) error
	now  func() time.Time

	mu sync.Mutex
	// latest is when the latest successful read was started.
	latest time.Time
	// running is the read under way; next starts when it has ended. Both may be nil.
	running, next *confirmation
}

// confirmation is one confirming read. err is set before done is closed.
type confirmation struct {
	startedAt time.Time
	done      chan struct{}
	err       error
}

// after returns a time, not before notBefore, as of which a quorum has confirmed the state.
func (c *confirmations) after(ctx context.Context, notBefore time.Time) (time.Time, error) {
	r, at := c.join(notBefore)
	if r == nil {
		return at, nil
	}
	select {
	case <-r.done:
		return r.startedAt, r.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// confirmedAt returns the time as of which the state was confirmed last, zero before the first time.
func (c *confirmations) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// join returns the read to wait for, or nil and the time of one that has ended and will do.
func (c *confirmations) join(notBefore time.Time) (*confirmation, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.latest.Before(notBefore) && c.now().Sub(c.latest) <= maxConfirmationAge:
		return nil, c.latest
	case c.running == nil:
		c.start(&confirmation{done: make(chan struct{})})
		return c.running, time.Time{}
	case !c.running.startedAt.Before(notBefore):
		return c.running, time.Time{}
	case c.next == nil:
		c.next = &confirmation{done: make(chan struct{})}
	}
	return c.next, time.Time{}
}

// start starts a read. The caller holds mu.
func (c *confirmations) start(r *confirmation) {
	r.startedAt = c.now()
	c.running = r
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		defer cancel()
		r.err = c.read(ctx)
		c.end(r)
	}()
}

func (c *confirmations) end(r *confirmation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.err == nil {
		c.latest = r.startedAt
	}
	close(r.done)
	c.running = nil
	if c.next != nil {
		next := c.next
		c.next = nil
		c.start(next)
	}
}
