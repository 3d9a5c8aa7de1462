// Package loop runs a service whose state belongs to one goroutine: nothing of it needs a lock,
// and each step sees what the one before left.
package loop

import (
	"context"
	"time"
)

// Loop is the goroutine's inbox and its end.
type Loop struct {
	inbox chan func(now time.Time)
	ended chan struct{}
	now   func() time.Time
}

// New returns a loop that does not run yet. Up to size pieces of work wait in its inbox; now is
// its clock.
func New(size int, now func() time.Time) *Loop {
	return &Loop{inbox: make(chan func(time.Time), size), ended: make(chan struct{}), now: now}
}

// Post hands work to the goroutine and waits for room in the inbox; after the loop's end the
// work is dropped.
func (l *Loop) Post(work func(now time.Time)) {
	select {
	case l.inbox <- work:
	case <-l.ended:
	}
}

// Run does the work that is posted, and a step at each tick, until the context ends. It runs
// once.
func (l *Loop) Run(ctx context.Context, tick time.Duration, step func(now time.Time)) {
	defer close(l.ended)
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

// Done is closed when Run has returned.
func (l *Loop) Done() <-chan struct{} { return l.ended }
