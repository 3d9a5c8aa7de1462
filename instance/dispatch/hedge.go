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

// HedgeConfig determines when a second attempt is sent in parallel to a first one that has
// produced no event yet. Zero fields select the defaults.
type HedgeConfig struct {
	// Quantile, in (0,1), is the quantile of the class's times to the first event after
	// which the hedge is sent.
	Quantile float64
	// MinDelay is the lower bound of the delay.
	MinDelay time.Duration
	// MinSamples is how many times must have been measured before any hedge is sent.
	MinSamples int
}

// Default values of HedgeConfig, after "The Tail at Scale": a hedge after the 95th
// percentile adds at most a twentieth of work.
const (
	DefaultHedgeQuantile   = 0.95
	DefaultHedgeMinDelay   = 50 * time.Millisecond
	DefaultHedgeMinSamples = 20
)

func (c HedgeConfig) withDefaults() HedgeConfig {
	if c.Quantile <= 0 {
		c.Quantile = DefaultHedgeQuantile
	}
	if c.MinDelay <= 0 {
		c.MinDelay = DefaultHedgeMinDelay
	}
	if c.MinSamples <= 0 {
		c.MinSamples = DefaultHedgeMinSamples
	}
	return c
}

const (
	// maxSamples is how many of a class's latest times are kept.
	maxSamples = 256
	// quantileUpdateSamples is the number of new times after which the quantile is recomputed.
	quantileUpdateSamples = 16
)

// delays holds, by class, the times from the grant to the first event of an attempt. It is
// safe for concurrent use.
type delays struct {
	cfg     HedgeConfig
	mu      sync.Mutex
	classes map[string]*classDelays
}

type classDelays struct {
	samples    []time.Duration
	next       int
	newSamples int
	quantile   time.Duration
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
	c.newSamples++
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, took)
		return
	}
	c.samples[c.next] = took
	c.next = (c.next + 1) % maxSamples
}

// hedgeDelay returns the delay of the class's hedges, or false if there are too few
// samples.
func (d *delays) hedgeDelay(class string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[class]
	if c == nil || len(c.samples) < d.cfg.MinSamples {
		return 0, false
	}
	if c.quantile == 0 || c.newSamples >= quantileUpdateSamples {
		sorted := slices.Clone(c.samples)
		slices.Sort(sorted)
		c.quantile = sorted[int(d.cfg.Quantile*float64(len(sorted)-1))]
		c.newSamples = 0
	}
	return max(c.quantile, d.cfg.MinDelay), true
}

// hedgeAfter returns the delay of a hedge, or false if none may be sent. A hedge is allowed
// only for the first attempt of a request that may run twice, in a class that permits it.
func (r *Run) hedgeAfter() (time.Duration, bool) {
	if !r.job.Class.Hedge || r.job.AtMostOnce || r.attempts > 0 || r.d.cfg.Attempts < 2 {
		return 0, false
	}
	if r.job.Watch != nil && !r.job.Watch.MayRunAgain() {
		return 0, false
	}
	return r.d.delays.hedgeDelay(r.job.Class.Name)
}

// racer is one of the two attempts of a race. It runs in its own goroutine until its first
// event, and is used only by the run after that.
type racer struct {
	*attempt
	cancel  context.CancelFunc
	granted chan struct{}
	ready   chan struct{}
	event   Event
	err     error
}

func (r *Run) startRacer(a *attempt, cancel context.CancelFunc) *racer {
	e := &racer{attempt: a, cancel: cancel, granted: make(chan struct{}), ready: make(chan struct{})}
	a.onGrant = func() { close(e.granted) }
	go func() {
		defer close(e.ready)
		e.event, e.err = a.firstEvent()
	}()
	return e
}

// hasAnswer reports whether the attempt has received the first event, or the end, of an answer.
func (e *racer) hasAnswer() bool { return e.err == nil || errors.Is(e.err, io.EOF) }

// discard cancels the attempt and ends it once its goroutine has returned.
func (e *racer) discard(cause telemetry.Cause) {
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

// race runs an attempt and, if it has produced no event within the given time after its
// grant, a second one on another upstream. The first attempt that produces an event is
// used; the other one is cancelled and counts as wasted.
func (r *Run) race(wait time.Duration) (*attempt, Event, error) {
	first := r.startFirst()
	second := (*racer)(nil)
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
			return r.finishRace(first, second)
		case <-second.readyChan():
			if second.hasAnswer() {
				r.d.cfg.Telemetry.RecordHedge(r.job.Class.Name, telemetry.HedgeWon)
				return r.finishRace(second, first)
			}
			r.endHedge(second)
			second = nil
		}
	}
}

func (e *racer) readyChan() <-chan struct{} {
	if e == nil {
		return nil
	}
	return e.ready
}

// startFirst starts the first attempt.
func (r *Run) startFirst() *racer {
	ctx, cancel := context.WithCancel(r.ctx)
	a := r.newAttempt(ctx)
	a.cancel = cancel
	return r.startRacer(a, cancel)
}

// startHedge starts the second attempt if the request is still permitted and the budget allows it.
func (r *Run) startHedge(first *racer) *racer {
	if err := r.denied(nil); err != nil {
		r.trace("no hedge: %v", err)
		return nil
	}
	if !r.d.spend(r.job.Class.Name) {
		r.trace("no hedge: the retry budget of class %s is exhausted", r.job.Class.Name)
		return nil
	}
	ctx, cancel := context.WithCancel(r.ctx)
	a := r.newAttempt(ctx)
	a.cancel, a.hedge = cancel, true
	a.excluded = append(slices.Clone(a.excluded), first.upstream())
	r.trace("attempt %d is slow: attempt %d runs in parallel", first.number, a.number)
	return r.startRacer(a, cancel)
}

// endHedge ends a second attempt that failed while the first one is still running.
func (r *Run) endHedge(e *racer) {
	r.d.cfg.Telemetry.RecordHedge(r.job.Class.Name, telemetry.HedgeFailed)
	if e.lease == nil {
		e.cancel()
		r.d.refund(r.job.Class.Name)
		return
	}
	r.recordFailure(e)
	e.endFailed(e.err)
}

// finishRace ends a race in which one attempt is done; the other may be nil.
func (r *Run) finishRace(done, other *racer) (*attempt, Event, error) {
	r.queued += done.queued
	switch {
	case other == nil:
	case done.hasAnswer():
		if other.hedge {
			r.d.cfg.Telemetry.RecordHedge(r.job.Class.Name, telemetry.HedgeLost)
		}
		other.discard(telemetry.CauseHedgeLost)
	default:
		return r.awaitOther(done, other)
	}
	if done.lease == nil {
		done.cancel()
		return nil, Event{}, r.grantError(done.err)
	}
	return done.attempt, done.event, done.err
}

// awaitOther continues with the second attempt after the first one failed.
func (r *Run) awaitOther(failed, other *racer) (*attempt, Event, error) {
	failed.trace("attempt %d failed: %v", failed.number, failed.err)
	switch {
	case failed.lease == nil:
		failed.cancel()
	case r.ctx.Err() != nil:
		failed.abandon(contextCause(r.ctx))
	default:
		r.recordFailure(failed)
		failed.endFailed(failed.err)
	}
	<-other.ready
	outcome := telemetry.HedgeFailed
	if other.hasAnswer() {
		outcome = telemetry.HedgeWon
	}
	r.d.cfg.Telemetry.RecordHedge(r.job.Class.Name, outcome)
	return r.finishRace(other, nil)
}

// recordFailure records the upstream of a failed attempt and whether the request may have
// run there.
func (r *Run) recordFailure(e *racer) {
	r.excluded = append(slices.Clone(r.excluded), e.upstream())
	if upstream.EvidenceOf(e.err) == upstream.Unknown && r.mayHaveRun == nil {
		r.mayHaveRun = e.err
	}
}
