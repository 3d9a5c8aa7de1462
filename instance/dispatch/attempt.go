package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// attempt is one try of a request at one upstream, under an ID of its own.
type attempt struct {
	d      *Dispatcher
	job    *Job
	ctx    context.Context
	number int
	id     string
	// excluded names upstreams that it must not go to; reused says that the
	// last of them failed on an old connection.
	excluded []string
	reused   bool
	hedge    bool
	// onGrant is called once the grant is there, cancel at the end; both may be
	// nil.
	onGrant func()
	cancel  context.CancelFunc

	lease   Lease
	stream  *upstream.Stream
	sentAt  time.Time
	queued  time.Duration
	resumes int
	events  int
	tokens  int
	// dropped says that the engine no longer keeps the request.
	dropped bool
}

func (r *Run) attempt(ctx context.Context) *attempt {
	r.attempts++
	return &attempt{
		d: r.d, job: r.job, ctx: ctx, number: r.attempts, id: fmt.Sprintf("%s-%d", r.job.ID, r.attempts),
		excluded: r.excluded, reused: r.reused,
	}
}

// first waits for a grant, sends the request and returns the first event.
func (a *attempt) first() (Event, error) {
	if err := a.acquire(); err != nil {
		a.note("no grant for attempt %d: %v", a.number, err)
		return Event{}, err
	}
	a.sentAt = time.Now()
	if err := a.open(); err != nil {
		return Event{}, err
	}
	return a.next()
}

func (a *attempt) acquire() error {
	from := time.Now()
	defer func() { a.queued = time.Since(from) }()
	t := a.job.Ticket
	t.ID, t.Excluded = a.id, a.excluded
	lease, err := a.d.cfg.Queue.Acquire(a.ctx, t)
	if err != nil && a.reused && !a.hedge && fault.CodeOf(err) == fault.Overloaded {
		// An old connection failed and no other upstream is open. Over a fresh
		// one the same upstream may well serve; nothing is held against it.
		t.Excluded = a.excluded[:len(a.excluded)-1]
		lease, err = a.d.cfg.Queue.Acquire(a.ctx, t)
	}
	if err != nil {
		return err
	}
	a.lease = lease
	if a.onGrant != nil {
		a.onGrant()
	}
	a.d.cfg.Telemetry.Attempt(a.job.Class.Name, a.kind())
	g := lease.Grant()
	a.note("attempt %d goes to %s: score %.2f of %d candidates, %d of %d slots, prefix cached %.0f%%, floor %t",
		a.number, g.Upstream, g.Explain.Score, g.Explain.Candidates, g.Explain.InFlight, g.Explain.Slots, 100*g.Explain.CachedPrefix, g.Explain.BelowFloor)
	return nil
}

func (a *attempt) kind() telemetry.AttemptKind {
	switch {
	case a.hedge:
		return telemetry.AttemptHedge
	case a.number > 1:
		return telemetry.AttemptRetry
	}
	return telemetry.AttemptFirst
}

func (a *attempt) open() error {
	g := a.lease.Grant()
	body, err := a.job.Body(g.Priority)
	if err != nil {
		return err
	}
	var opts []upstream.Option
	if a.number > 1 {
		opts = append(opts, upstream.Fresh())
	}
	s, err := a.d.cfg.Client.Generate(a.ctx, target(g), a.id, body, opts...)
	if err != nil {
		return err
	}
	a.stream = s
	return nil
}

// next returns the next event, if need be after a resumption.
func (a *attempt) next() (Event, error) {
	for {
		ev, err := a.stream.Next()
		if err == nil {
			a.progress(ev)
			return Event{Data: ev.Data, Head: ev.Head, AttemptID: a.id}, nil
		}
		if !a.resume(err) {
			return Event{}, err
		}
	}
}

func (a *attempt) progress(ev upstream.Event) {
	if a.events == 0 {
		a.lease.FirstToken()
		a.d.delays.observe(a.job.Class.Name, time.Since(a.sentAt))
		a.note("first event from attempt %d", a.number)
	}
	a.events++
	a.tokens += ev.Head.Tokens
	a.lease.Progress(a.tokens)
}

func (a *attempt) upstream() string { return a.lease.Grant().Upstream }

// broke ends an attempt that failed. The upstream is not blamed for what befell
// an old connection.
func (a *attempt) broke(evidence upstream.Evidence, reused bool) {
	cause := telemetry.CauseBroken
	if a.dropped {
		cause = telemetry.CausePreempted
	}
	a.waste(cause)
	if a.stream != nil {
		a.stream.Forget()
	}
	blamed := a.events > 0 || !reused
	a.end(sched.Outcome{Tokens: a.tokens, Failed: blamed, Unused: evidence == upstream.NotSent})
}

// abandon ends an attempt that may still run: it is cancelled at the engine.
func (a *attempt) abandon(cause telemetry.Cause) {
	a.note("attempt %d is cancelled: %s", a.number, cause)
	a.waste(cause)
	a.end(sched.Outcome{Tokens: a.tokens})
}

// end closes the stream and gives the slot back.
func (a *attempt) end(o sched.Outcome) {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	a.lease.Done(o)
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *attempt) waste(cause telemetry.Cause) {
	a.d.cfg.Telemetry.Wasted(a.job.Class.Name, cause, a.tokens)
}

func (a *attempt) note(format string, args ...any) { a.d.cfg.Trace.Add(a.job.ID, format, args...) }
