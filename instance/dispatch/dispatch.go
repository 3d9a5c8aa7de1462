// Package dispatch runs one model request: it waits for a grant, sends the
// request to the granted upstream, and hands the events of the answer on. A
// broken stream is resumed where the engine kept it; an attempt that brought
// nothing yet is repeated elsewhere, and one that is slow to begin gets a second
// beside it (a hedge), both under one budget.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/chat"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/trace"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Lease is the right to run one attempt at one upstream.
type Lease interface {
	// Grant names the upstream and says why it was chosen.
	Grant() sched.Grant
	// FirstToken and Progress report how the attempt goes.
	FirstToken()
	Progress(tokens int)
	// Done gives the slot back. It must be called exactly once.
	Done(sched.Outcome)
}

// Queue hands out leases.
type Queue interface {
	// Acquire waits for a lease. Failures have the codes Overloaded (with
	// RetryAfter), DeadlineExceeded, Canceled or Draining; in all of them the
	// request was not run.
	Acquire(ctx context.Context, t sched.Ticket) (Lease, error)
}

// Config holds what a Dispatcher needs.
type Config struct {
	Queue     Queue
	Client    *upstream.Client
	Telemetry *telemetry.Service
	Trace     *trace.Log
	// Attempts bounds the tries of one request, the first included.
	Attempts int
	// Retries is the budget of each class for retries and hedges together.
	Retries budget.Config
	// Hedge says when a hedge is sent.
	Hedge HedgeConfig
}

// Dispatcher starts runs. It is safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	delays *delays

	mu      sync.Mutex
	retries *budget.Budgets
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, retries: budget.New(cfg.Retries), delays: newDelays(cfg.Hedge)}
}

// Job is one request to run.
type Job struct {
	ID     string
	Class  *intent.Class
	Ticket sched.Ticket
	// Restartable says that events already handed on may be thrown away, so
	// that another attempt can start over: true while nothing of the answer has
	// left for the caller.
	Restartable bool
	// Once forbids whatever could run the request twice: no hedge, and no retry
	// of an attempt that may have run.
	Once bool
	// Body returns the body for an engine at the given priority.
	Body func(priority int) ([]byte, error)
}

// Event is one piece of the answer, valid until the next one is asked for. When
// AttemptID changes, a Restartable job has started over and what came before is
// void.
type Event struct {
	// Data is one chunk, carrying the ID "chatcmpl-" + AttemptID; Head is what it
	// says at a glance.
	Data      []byte
	Head      chat.ChunkSummary
	AttemptID string
}

// Start returns a Run; nothing happens before Next.
func (d *Dispatcher) Start(ctx context.Context, job *Job) *Run {
	d.first(job.Class.Name)
	return &Run{d: d, ctx: ctx, job: job}
}

func (d *Dispatcher) first(class string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.RecordFirst(time.Now(), class)
}

func (d *Dispatcher) spend(class string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Spend(time.Now(), class)
}

func (d *Dispatcher) refund(class string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.Refund(time.Now(), class)
}

func target(g sched.Grant) upstream.Target {
	return upstream.Target{Name: g.Upstream, Address: g.Address}
}
