// Package dispatch runs one model request: it waits for a grant, sends the
// request to the granted upstream, and hands the events of the answer on. A
// broken stream is resumed where the engine kept it; an attempt that brought
// nothing yet is repeated elsewhere under a budget.
package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/budget"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
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

// maxResumes bounds the resumptions of one attempt: an engine that breaks the
// stream again and again would otherwise hold a slot for little progress.
const maxResumes = 3

// Config holds what a Dispatcher needs.
type Config struct {
	Queue     Queue
	Client    *upstream.Client
	Telemetry *telemetry.Service
	Trace     *trace.Log
	// Attempts bounds the tries of one request, the first included.
	Attempts int
	// Retries is the retry budget of each class.
	Retries budget.Config
}

// Dispatcher starts runs.
type Dispatcher struct {
	cfg     Config
	mu      sync.Mutex
	retries *budget.Budgets
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, retries: budget.New(cfg.Retries)}
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
	// Body returns the body for an engine at the given priority.
	Body func(priority int) ([]byte, error)
}

// Event is one piece of the answer. When AttemptID changes, a Restartable job
// has started over and what came before is void.
type Event struct {
	// Data is one chunk, carrying the ID "chatcmpl-" + AttemptID.
	Data      []byte
	AttemptID string
}

// Run is one request on its way. It is for one goroutine. Close must be called.
type Run struct {
	d       *Dispatcher
	ctx     context.Context
	job     *Job
	attempt int
	resumes int
	id      string
	lease   Lease
	stream  *upstream.Stream
	// events counts what was handed on: after the first, only a resumption can
	// go on, as another attempt would give another answer.
	events int
	// attemptEvents counts what the current attempt generated.
	attemptEvents int
	queued        time.Duration
	done          bool
}

// Start returns a Run; nothing happens before Next.
func (d *Dispatcher) Start(ctx context.Context, job *Job) *Run {
	d.first(job.Class.Name)
	return &Run{d: d, ctx: ctx, job: job}
}

// Queued returns how long the run waited for grants.
func (r *Run) Queued() time.Duration { return r.queued }

// Next returns the next event, or io.EOF after a whole answer. Any other
// failure is final.
func (r *Run) Next() (Event, error) {
	for {
		if r.done {
			return Event{}, io.EOF
		}
		if r.stream == nil {
			if err := r.begin(); err != nil {
				return Event{}, err
			}
		}
		ev, err := r.stream.Next()
		if err == nil {
			r.progress()
			return Event{Data: ev.Data, AttemptID: r.id}, nil
		}
		if errors.Is(err, io.EOF) {
			r.finish(sched.Outcome{Tokens: r.attemptEvents, Complete: true})
			r.done = true
			return Event{}, io.EOF
		}
		if err := r.recover(err); err != nil {
			return Event{}, err
		}
	}
}

// Close ends the run: an attempt on its way is cancelled at the engine and what
// it generated counts as wasted by the given cause.
func (r *Run) Close(cause telemetry.Cause) {
	if r.lease == nil {
		return
	}
	r.note("attempt %d is cancelled: %s", r.attempt, cause)
	r.waste(cause)
	r.finish(sched.Outcome{Tokens: r.attemptEvents})
}

// begin makes attempts until a stream is open or no attempt is left.
func (r *Run) begin() error {
	for {
		if err := r.acquire(); err != nil {
			return err
		}
		err := r.open()
		if err == nil {
			return nil
		}
		if err := r.recover(err); err != nil {
			return err
		}
	}
}

func (r *Run) acquire() error {
	r.attempt++
	r.id = fmt.Sprintf("%s-%d", r.job.ID, r.attempt)
	t := r.job.Ticket
	t.ID = r.id
	from := time.Now()
	lease, err := r.d.cfg.Queue.Acquire(r.ctx, t)
	r.queued += time.Since(from)
	if err != nil {
		r.note("no grant for attempt %d: %v", r.attempt, err)
		return err
	}
	r.lease = lease
	r.attemptEvents = 0
	r.resumes = 0
	g := lease.Grant()
	r.note("attempt %d goes to %s: score %.2f of %d candidates, %d of %d slots, prefix cached %.0f%%, floor %t",
		r.attempt, g.Upstream, g.Explain.Score, g.Explain.Candidates, g.Explain.InFlight, g.Explain.Slots, 100*g.Explain.Prefix, g.Explain.Floor)
	return nil
}

func (r *Run) open() error {
	g := r.lease.Grant()
	body, err := r.job.Body(g.Priority)
	if err != nil {
		return err
	}
	var opts []upstream.Option
	if r.attempt > 1 {
		opts = append(opts, upstream.Fresh())
	}
	s, err := r.d.cfg.Client.Generate(r.ctx, target(g), r.id, body, opts...)
	if err != nil {
		return err
	}
	r.stream = s
	return nil
}

func (r *Run) progress() {
	if r.attemptEvents == 0 {
		r.lease.FirstToken()
		r.note("first event from attempt %d", r.attempt)
	}
	r.attemptEvents++
	r.events++
	r.lease.Progress(r.attemptEvents)
}

// recover decides what follows a failed attempt: nil means that another stream
// is open or that a new attempt may start; a failure is final.
func (r *Run) recover(err error) error {
	r.note("attempt %d failed: %v", r.attempt, err)
	if r.ctx.Err() != nil {
		return r.giveUp(r.contextFault())
	}
	if r.resume(err) {
		return nil
	}
	evidence := upstream.EvidenceOf(err)
	failed := r.lease
	r.waste(telemetry.CauseBroken)
	r.finish(sched.Outcome{Tokens: r.attemptEvents, Failed: true, Unused: evidence == upstream.NotSent})
	if r.events > 0 && !r.job.Restartable {
		return fault.Wrap(err, fault.StreamBroken, "the stream broke after %d events and could not be resumed", r.events)
	}
	if !r.mayRetry() {
		return err
	}
	r.job.Ticket.Excluded = append(r.job.Ticket.Excluded, failed.Grant().Upstream)
	return nil
}

// resume continues a broken stream on a fresh connection. The engine is the one
// that broke it, so resumptions are few and need no budget: they repeat no work.
func (r *Run) resume(cause error) bool {
	if r.stream == nil || fault.CodeOf(cause) == fault.Corrupt {
		return false
	}
	for r.resumes < maxResumes && r.ctx.Err() == nil {
		r.resumes++
		s, err := r.d.cfg.Client.Resume(r.ctx, target(r.lease.Grant()), r.id, r.stream.Last())
		if err == nil {
			r.note("attempt %d is resumed after event %d", r.attempt, r.stream.Last())
			_ = r.stream.Close()
			r.stream = s
			return true
		}
		if fault.CodeOf(err) == fault.NotFound {
			return false
		}
	}
	return false
}

func (r *Run) mayRetry() bool {
	if r.attempt >= r.d.cfg.Attempts {
		return false
	}
	if r.d.spend(r.job.Class.Name) {
		return true
	}
	r.note("the retry budget of class %s is spent", r.job.Class.Name)
	return false
}

func (r *Run) giveUp(err error) error {
	cause := telemetry.CauseHangUp
	if fault.CodeOf(err) == fault.DeadlineExceeded {
		cause = telemetry.CauseDeadline
	}
	r.Close(cause)
	return err
}

func (r *Run) contextFault() error {
	if errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "the answer was not ready before the deadline of class %s", r.job.Class.Name)
	}
	return fault.New(fault.Canceled, "the caller hung up")
}

// finish closes the stream, which cancels an attempt that still runs, and gives
// the slot back.
func (r *Run) finish(o sched.Outcome) {
	if r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
	if r.lease != nil {
		r.lease.Done(o)
		r.lease = nil
	}
}

func (r *Run) waste(cause telemetry.Cause) {
	if r.attemptEvents > 0 {
		r.d.cfg.Telemetry.Wasted(r.job.Class.Name, cause, r.attemptEvents)
	}
}

func (r *Run) note(format string, args ...any) { r.d.cfg.Trace.Add(r.job.ID, format, args...) }

func (d *Dispatcher) first(class string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries.First(time.Now(), class)
}

func (d *Dispatcher) spend(class string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retries.Spend(time.Now(), class)
}

func target(g sched.Grant) upstream.Target {
	return upstream.Target{Name: g.Upstream, Address: g.Address}
}
