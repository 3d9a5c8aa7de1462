package dispatch

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// HedgeConfig says when a second attempt is sent beside a first one that has
// brought no event yet. Zero fields take the defaults.
type HedgeConfig struct {
	// Quantile of the class's times to a first event, in (0,1), after which the
	// hedge is sent.
	Quantile float64
	// LeastDelay bounds the delay from below.
	LeastDelay time.Duration
	// LeastSamples is how many times must have been seen before any hedge.
	LeastSamples int
}

// Defaults of HedgeConfig, after "The Tail at Scale": past the 95th percentile a
// hedge costs at most a twentieth more work.
const (
	DefaultHedgeQuantile     = 0.95
	DefaultHedgeLeastDelay   = 50 * time.Millisecond
	DefaultHedgeLeastSamples = 20
)

func (c HedgeConfig) withDefaults() HedgeConfig {
	if c.Quantile <= 0 {
		c.Quantile = DefaultHedgeQuantile
	}
	if c.LeastDelay <= 0 {
		c.LeastDelay = DefaultHedgeLeastDelay
	}
	if c.LeastSamples <= 0 {
		c.LeastSamples = DefaultHedgeLeastSamples
	}
	return c
}

const (
	// keptDelays is how many of a class's latest times are remembered.
	keptDelays = 256
	// sortEvery is how many new times make the quantile be worked out again.
	sortEvery = 16
)

// delays knows, by class, how long attempts took from the grant to the first
// event. It is safe for concurrent use.
type delays struct {
	cfg     HedgeConfig
	mu      sync.Mutex
	classes map[string]*classDelays
}

type classDelays struct {
	latest   []time.Duration
	next     int
	fresh    int
	quantile time.Duration
}

func newDelays(cfg HedgeConfig) *delays {
	return &delays{cfg: cfg.withDefaults(), classes: map[string]*classDelays{}}
}

func (d *delays) observe(class string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[class]
	if c == nil {
		c = &classDelays{}
		d.classes[class] = c
	}
	c.fresh++
	if len(c.latest) < keptDelays {
		c.latest = append(c.latest, took)
		return
	}
	c.latest[c.next] = took
	c.next = (c.next + 1) % keptDelays
}

// after returns the delay of the class's hedges; false means that too little is
// known.
func (d *delays) after(class string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[class]
	if c == nil || len(c.latest) < d.cfg.LeastSamples {
		return 0, false
	}
	if c.quantile == 0 || c.fresh >= sortEvery {
		sorted := slices.Clone(c.latest)
		slices.Sort(sorted)
		c.quantile = sorted[int(d.cfg.Quantile*float64(len(sorted)-1))]
		c.fresh = 0
	}
	return max(c.quantile, d.cfg.LeastDelay), true
}

// hedgeAfter returns the delay of a hedge, where one may be sent: only for the
// first attempt of work that may run twice, in a class that permits it.
func (r *Run) hedgeAfter() (time.Duration, bool) {
	if !r.job.Class.Hedge || r.job.Once || r.attempts > 0 || r.d.cfg.Attempts < 2 {
		return 0, false
	}
	return r.d.delays.after(r.job.Class.Name)
}

// entrant is one of the two attempts of a race. It runs in a goroutine of its
// own until its first event and belongs to the run after that.
type entrant struct {
	*attempt
	cancel  context.CancelFunc
	granted chan struct{}
	ready   chan struct{}
	event   Event
	err     error
}

func (r *Run) enter(a *attempt, cancel context.CancelFunc) *entrant {
	e := &entrant{attempt: a, cancel: cancel, granted: make(chan struct{}), ready: make(chan struct{})}
	a.onGrant = func() { close(e.granted) }
	go func() {
		defer close(e.ready)
		e.event, e.err = a.first()
	}()
	return e
}

// won reports whether the entrant has the beginning of an answer.
func (e *entrant) won() bool { return e.err == nil || errors.Is(e.err, io.EOF) }

// lose cancels the entrant and ends it once it has noticed.
func (e *entrant) lose(cause telemetry.Cause) {
	e.cancel()
	go func() {
		<-e.ready
		switch {
		case e.lease != nil:
			e.abandon(cause)
		case e.hedge:
			e.d.refund(e.job.Class.Name)
		}
	}()
}

// race runs an attempt and, when it has brought nothing for the given time after
// its grant, a second one elsewhere. The first that brings an event is the
// answer; the other is cancelled and counts as wasted.
func (r *Run) race(wait time.Duration) (*attempt, Event, error) {
	first := r.start()
	second := (*entrant)(nil)
	timer := time.NewTimer(wait)
	timer.Stop()
	defer timer.Stop()
	granted := first.granted
	for {
		select {
		case <-granted:
			granted = nil
			timer.Reset(wait)
		case <-timer.C:
			second = r.startHedge(first)
		case <-first.ready:
			return r.settle(first, second)
		case <-second.readyOrNever():
			if second.won() {
				r.d.cfg.Telemetry.Hedge(r.job.Class.Name, telemetry.HedgeWon)
				return r.settle(second, first)
			}
			r.endHedge(second)
			second = nil
		}
	}
}

func (e *entrant) readyOrNever() <-chan struct{} {
	if e == nil {
		return nil
	}
	return e.ready
}

// start sends the first attempt.
func (r *Run) start() *entrant {
	ctx, cancel := context.WithCancel(r.ctx)
	a := r.attempt(ctx)
	a.cancel = cancel
	return r.enter(a, cancel)
}

// startHedge sends the second attempt, if the budget allows it.
func (r *Run) startHedge(first *entrant) *entrant {
	if !r.d.spend(r.job.Class.Name) {
		r.note("no hedge: the retry budget of class %s is spent", r.job.Class.Name)
		return nil
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := r.attempt(ctx)
	a.cancel, a.hedge = cancel, true
	a.excluded = append(slices.Clone(a.excluded), first.upstream())
	r.note("attempt %d is slow: attempt %d runs beside it", first.number, a.number)
	return r.enter(a, cancel)
}

// endHedge ends a second attempt that failed while the first one still runs.
func (r *Run) endHedge(e *entrant) {
	r.d.cfg.Telemetry.Hedge(r.job.Class.Name, telemetry.HedgeFailed)
	if e.lease == nil {
		e.cancel()
		r.d.refund(r.job.Class.Name)
		return
	}
	r.remember(e)
	e.broke(upstream.EvidenceOf(e.err), upstream.ReusedIn(e.err))
}

// settle ends a race whose first entrant is done; the other may be nil.
func (r *Run) settle(done, other *entrant) (*attempt, Event, error) {
	r.queued += done.queued
	switch {
	case other == nil:
	case done.won():
		if other.hedge {
			r.d.cfg.Telemetry.Hedge(r.job.Class.Name, telemetry.HedgeLost)
		}
		other.lose(telemetry.CauseHedge)
	default:
		return r.await(done, other)
	}
	if done.lease == nil {
		done.cancel()
		return nil, Event{}, r.refused(done.err)
	}
	return done.attempt, done.event, done.err
}

// await goes on with the second attempt after the first one failed.
func (r *Run) await(failed, other *entrant) (*attempt, Event, error) {
	failed.note("attempt %d failed: %v", failed.number, failed.err)
	switch {
	case failed.lease == nil:
		failed.cancel()
	case r.ctx.Err() != nil:
		failed.abandon(contextCause(r.ctx))
	default:
		r.remember(failed)
		failed.broke(upstream.EvidenceOf(failed.err), upstream.ReusedIn(failed.err))
	}
	<-other.ready
	outcome := telemetry.HedgeFailed
	if other.won() {
		outcome = telemetry.HedgeWon
	}
	r.d.cfg.Telemetry.Hedge(r.job.Class.Name, outcome)
	return r.settle(other, nil)
}

// remember keeps what the failure of one of two attempts says about the request.
func (r *Run) remember(e *entrant) {
	r.excluded = append(slices.Clone(r.excluded), e.upstream())
	if upstream.EvidenceOf(e.err) == upstream.Unknown && r.mayHaveRun == nil {
		r.mayHaveRun = e.err
	}
}
