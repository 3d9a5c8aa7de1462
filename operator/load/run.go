package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// Fleet is the stand-ins of a run, as far as a run needs them. It is nil when
// they run elsewhere.
type Fleet interface {
	Engines() []*engine.Engine
	Schedule()
	Counters() engine.Counters
	Queues() (running, waiting int)
	Books() Books
	Stop()
}

// Run is one policy under one seed.
type Run struct {
	Experiment *Experiment
	Policy     string
	Seed       uint64
	System     System
	// StartFleet starts the stand-ins; nil when they run elsewhere.
	StartFleet func(ctx context.Context, announce Announce) (Fleet, error)
	// Progress gets a line a second; nil means none.
	Progress io.Writer
}

// Record is a request with its outcome.
type Record struct {
	Request *Request
	Outcome Outcome
}

// Sample is the state at one time.
type Sample struct {
	At time.Duration
	// Callers counts, by class, requests that have arrived and have no outcome.
	Callers map[string]int
	// Running and Waiting are the engines' true numbers.
	Running, Waiting int
}

// Result is what one run gave.
type Result struct {
	Policy  string
	Seed    uint64
	Records []Record
	// Calls are empty when the system does not route calls.
	Calls   []CallRecord
	Samples []Sample
	// Measured says that Counters are there.
	Measured bool
	Counters engine.Counters
	Books    Books
	// Missed explains requests that missed their level, as far as the system
	// can and at most maxMissed.
	Missed []Missed
}

// Missed is a request that missed its level, with its events.
type Missed struct {
	Record *Record
	Events []string
}

// maxMissed bounds the explanations of one run, some of each class.
const maxMissed = 400

// state is what the goroutines of a run share.
type state struct {
	mu      sync.Mutex
	callers map[string]int
	ended   int
}

// Do runs the experiment's load against the system. Arrivals follow the plan
// whatever the system does (open loop).
func (r *Run) Do(ctx context.Context) (*Result, error) {
	announce, err := r.System.Start(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.System.Stop(context.WithoutCancel(ctx)) }()
	var fleet Fleet
	var engines []*engine.Engine
	if r.StartFleet != nil {
		if fleet, err = r.StartFleet(ctx, announce); err != nil {
			return nil, err
		}
		defer fleet.Stop()
		engines = fleet.Engines()
	}
	if err := r.System.Attach(ctx, engines); err != nil {
		return nil, err
	}
	requests := Workload(r.Experiment, r.Seed)
	res := &Result{Policy: r.Policy, Seed: r.Seed, Records: make([]Record, len(requests))}
	if fleet != nil {
		fleet.Schedule()
	}
	r.offer(ctx, fleet, requests, res)
	if fleet != nil {
		res.Counters = fleet.Counters()
		res.Books = fleet.Books()
		res.Measured = true
	}
	if sys, ok := r.System.(Explainer); ok {
		res.explain(sys, len(r.Experiment.Traffic))
	}
	if ctx.Err() != nil {
		return nil, fault.Wrap(ctx.Err(), fault.Canceled, "the run was ended early")
	}
	return res, nil
}

// offer sends all requests at their times and waits for the outcomes.
func (r *Run) offer(ctx context.Context, fleet Fleet, requests []*Request, res *Result) {
	s := &state{callers: map[string]int{}}
	set := r.Experiment.Settings
	start := time.Now()
	limited, cancel := context.WithDeadline(ctx, start.Add(set.Duration+set.Drain))
	defer cancel()
	watch := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watch(watch, start, fleet, s, res) })
	var callers sync.WaitGroup
	if sys, ok := r.System.(CallSystem); ok {
		calls := CallWorkload(r.Experiment, r.Seed)
		res.Calls = make([]CallRecord, len(calls))
		callers.Go(func() { offerCalls(limited, sys, calls, start, res.Calls) })
	}
	for i, q := range requests {
		arrived := start.Add(q.At)
		if wait := time.Until(arrived); wait > 0 && !sleep(ctx, wait) {
			break
		}
		s.enter(q.Class.Name)
		callers.Go(func() {
			res.Records[i] = Record{Request: q, Outcome: r.one(limited, q, arrived)}
			s.leave(q.Class.Name)
		})
	}
	callers.Wait()
	close(watch)
	watcher.Wait()
}

// explain asks for the reasons of missed levels, for each class alike.
func (res *Result) explain(sys Explainer, classes int) {
	asked := map[string]int{}
	for i := range res.Records {
		rec := &res.Records[i]
		if rec.Request == nil || rec.Outcome.Met(rec.Request.Class) {
			continue
		}
		class := rec.Request.Class.Name
		if asked[class] >= maxMissed/classes {
			continue
		}
		asked[class]++
		res.Missed = append(res.Missed, Missed{Record: rec, Events: sys.Explain(rec)})
	}
}

// offerCalls sends all calls at their times and waits for the outcomes.
func offerCalls(ctx context.Context, sys CallSystem, calls []*Call, start time.Time, out []CallRecord) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for i, c := range calls {
		arrived := start.Add(c.At)
		if wait := time.Until(arrived); wait > 0 && !sleep(ctx, wait) {
			return
		}
		callers.Go(func() { out[i] = CallRecord{Call: c, Outcome: sys.Call(ctx, c, arrived)} })
	}
}

// one is one caller, who gives up at the deadline of the class.
func (r *Run) one(ctx context.Context, q *Request, arrived time.Time) Outcome {
	if q.Class.Deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, arrived.Add(q.Class.Deadline))
		defer cancel()
	}
	return r.System.Serve(ctx, q, arrived)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *state) enter(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[class]++
}

func (s *state) leave(class string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[class]--
	s.ended++
}

// watch samples the queues and writes progress until the run ends.
func (r *Run) watch(end <-chan struct{}, start time.Time, fleet Fleet, s *state, res *Result) {
	sample := time.NewTicker(r.Experiment.Settings.Sample)
	defer sample.Stop()
	line := time.NewTicker(time.Second)
	defer line.Stop()
	for {
		select {
		case <-end:
			return
		case <-sample.C:
			res.Samples = append(res.Samples, s.sample(time.Since(start), fleet))
		case <-line.C:
			r.progress(s.sample(time.Since(start), fleet), s, len(res.Records))
		}
	}
}

func (s *state) sample(at time.Duration, fleet Fleet) Sample {
	out := Sample{At: at, Callers: map[string]int{}}
	if fleet != nil {
		out.Running, out.Waiting = fleet.Queues()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, n := range s.callers {
		out.Callers[c] = n
	}
	return out
}

func (r *Run) progress(p Sample, s *state, all int) {
	if r.Progress == nil {
		return
	}
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	callers := 0
	for _, n := range p.Callers {
		callers += n
	}
	_, _ = fmt.Fprintf(r.Progress, "policy=%s seed=%d at=%s ended=%d of=%d callers=%d running=%d waiting=%d\n",
		r.Policy, r.Seed, p.At.Round(time.Second), ended, all, callers, p.Running, p.Waiting)
}
