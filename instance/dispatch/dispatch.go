// Package dispatch runs one model request: it waits for a grant, sends the request to the
// granted upstream and returns the events of the answer. A broken stream is resumed if the
// engine has kept it. An attempt that produced no event is retried on another upstream, and
// one that is slow to produce its first event gets a second attempt in parallel (a hedge).
// Retries and hedges share one budget.
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
	"github.com/comfreyladder/comfreyladder/instance/warmup"
)

// Lease permits running one attempt on one upstream.
type Lease interface {
	// Grant returns the upstream and the reason for choosing it.
	Grant() sched.Grant
	// FirstToken and Progress report the progress of the attempt.
	FirstToken()
	Progress(tokens int)
	// Done frees the slot. It must be called exactly once.
	Done(sched.Outcome)
}

// Queue issues leases.
type Queue interface {
	// Acquire waits for a lease. It fails with Overloaded (with RetryAfter),
	// DeadlineExceeded, Canceled or Draining; in each case the request was not run.
	Acquire(ctx context.Context, t sched.Ticket) (Lease, error)
}

// Config holds the dependencies and limits of a Dispatcher.
type Config struct {
	Queue     Queue
	Client    *upstream.Client
	Telemetry *telemetry.Service
	Trace     *trace.Log
	// Attempts bounds the attempts of one request, including the first.
	Attempts int
	// Retries is the budget of each class for retries and hedges together.
	Retries budget.Config
	// Hedge determines when a hedge is sent.
	Hedge HedgeConfig
	// WarmUp limits the requests to cold engines; nil limits none.
	WarmUp *warmup.Guard
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
	// Restartable allows another attempt to discard the events delivered so far and start
	// over. It is true while no part of the answer has been sent to the caller.
	Restartable bool
	// AtMostOnce forbids whatever could run the request twice: hedges, and retries of an
	// attempt that may have run.
	AtMostOnce bool
	// Permit, if set, is asked before each sending of the request, whichever attempt it is, and before a
	// stream is resumed. If it fails, nothing more is sent.
	Permit func() error
	// Watch, if set, follows the attempts.
	Watch Watch
	// Body returns the request body for an engine at the given priority.
	Body func(priority int) ([]byte, error)
}

// Watch follows the attempts of one request, to find out whether it crashes upstreams. Its methods may be called
// concurrently.
type Watch interface {
	// Screen fails if the request need not wait for a grant.
	Screen() error
	// MayRunAgain reports whether another attempt may follow one that may have run.
	MayRunAgain() bool
	// Sending returns a number for the current incarnation of the upstream to which an attempt is about to be
	// sent.
	Sending(upstream string) (incarnation uint64)
	// Lost records an attempt that may have run and lost its connection. answering is set if the upstream had
	// been writing the answer for quarantine.AnsweringTime.
	Lost(incarnation uint64, address string, sentAt time.Time, answering bool)
	// Answered records that an upstream has been writing the answer for that long, or has completed it, and when
	// it began.
	Answered(complete bool, began time.Time)
}

// Event is one event of the answer, valid until the next call of Next. If AttemptID
// changes, a Restartable job has started over and the earlier events are void.
type Event struct {
	// Data is one chunk with the ID "chatcmpl-" + AttemptID. Head holds the fields parsed
	// from it.
	Data      []byte
	Head      chat.ChunkSummary
	AttemptID string
}

// Start returns a Run. The request is sent by the first call of Next.
func (d *Dispatcher) Start(ctx context.Context, job *Job) *Run {
	d.recordFirst(job.Class.Name)
	return &Run{d: d, ctx: ctx, job: job}
}

func (d *Dispatcher) recordFirst(class string) {
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
