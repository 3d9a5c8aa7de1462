// Package loop provides an event loop for services whose state is owned by one goroutine: the
// state needs no locks, and each step sees the effects of the one before.
package loop

import (
	"context"
	"time"
)

// Loop is an event loop that runs posted functions one at a time.
type Loop struct {
	inbox chan func(now time.Time)
	done  chan struct{}
	now   func() time.Time
}

// New returns a loop that is not running yet. Its inbox buffers up to size functions; now is its
// clock.
func New(size int, now func() time.Time) *Loop {
	return &Loop{inbox: make(chan func(time.Time), size), done: make(chan struct{}), now: now}
}

// Post queues work for the goroutine and blocks while the inbox is full. Work posted after the
// loop has ended is dropped.
func (l *Loop) Post(work func(now time.Time)) {
	select {
	case l.inbox <- work:
	case <-l.done:
	}
}

// Run executes posted work, and step at each tick, until ctx is done. It must be called only
// once.
func (l *Loop) Run(ctx context.Context, tick time.Duration, step func(now time.Time)) {
	defer close(l.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			step(l.now())
		case work := <-l.inbox:
			work(l.now())
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.done }
