package sched_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// queuePolicy is a policy with a single queue, an ordering and an engine selection.
type queuePolicy struct {
	s           *sim
	queue       []*job
	inFlight    int
	maxInFlight int
	nextEngine  int
	rnd         *rand.Rand
	before      func(a, b *job) int
	choose      func(q *queuePolicy, j *job) *simEngine
	isUseless   func(now float64, j *job) bool
}

func (q *queuePolicy) submit(_ float64, j *job) { q.queue = append(q.queue, j); q.grant() }
func (q *queuePolicy) firstToken(float64, *job) {}
func (q *queuePolicy) ended(_ float64, _ *job)  { q.inFlight--; q.grant() }
func (q *queuePolicy) tick(float64)             { q.grant() }
func (q *queuePolicy) shouldDrop(j *job) bool {
	return q.s.now >= j.deadline() || q.isUseless(q.s.now, j)
}
func neverDrop(float64, *job) bool { return false }
func byArrival(a, b *job) int      { return cmp.Compare(a.arrived, b.arrived) }
func byTier(a, b *job) int         { return cmp.Or(cmp.Compare(a.classIndex, b.classIndex), byArrival(a, b)) }
func roundRobin(q *queuePolicy, _ *job) *simEngine {
	q.nextEngine++
	return q.s.engines[q.nextEngine%engineCount]
}

func (q *queuePolicy) grant() {
	q.queue = slices.DeleteFunc(q.queue, q.shouldDrop)
	slices.SortStableFunc(q.queue, q.before)
	for len(q.queue) > 0 && q.inFlight < q.maxInFlight {
		j := q.queue[0]
		e := q.choose(q, j)
		if e == nil {
			return
		}
		q.queue = q.queue[1:]
		q.inFlight++
		q.s.start(j, e)
	}
}

func leastLoadedByReport(q *queuePolicy, _ *job) *simEngine {
	r := q.s.report()
	best := q.rnd.Intn(engineCount)
	for n := range r {
		if r[n] < r[best] {
			best = n
		}
	}
	return q.s.engines[best]
}

// fastestFreeEngine selects by each engine's true state and speed.
func fastestFreeEngine(q *queuePolicy, _ *job) *simEngine {
	var best *simEngine
	for _, e := range q.s.engines {
		if len(e.running) < engineSlots && (best == nil || e.speed(q.s.now) > best.speed(q.s.now)) {
			best = e
		}
	}
	return best
}

// cannotMeetLevel uses the true answer length. It reports whether a job cannot end
// before its deadline or already misses its service level.
func cannotMeetLevel(now float64, j *job) bool {
	first := now + 0.1 + float64(j.prompt)*1e-4
	return first > j.arrived+j.class().FirstToken.Seconds() || first+float64(j.tokens)/streamRate > j.deadline()
}

// schedulerPolicy runs the scheduler of this package.
type schedulerPolicy struct {
	s          *sim
	scheduler  *sched.Scheduler
	nextReport float64
}

func simTime(now float64) time.Time { return start.Add(time.Duration(now * float64(time.Second))) }

func (o *schedulerPolicy) apply(effects []sched.Effect) {
	for _, g := range grants(effects) {
		for _, e := range o.s.engines {
			if e.name == g.Upstream {
				o.s.start(o.s.jobs[g.ID], e)
			}
		}
	}
}

func (o *schedulerPolicy) submit(now float64, j *job) {
	o.apply(o.scheduler.Submit(simTime(now), sched.Ticket{
		ID: j.id, Instance: "i", Organisation: j.org, Class: j.class().Name, Model: "m", PromptTokens: j.prompt, Arrived: simTime(now),
	}))
}
func (o *schedulerPolicy) firstToken(now float64, j *job) { o.scheduler.Started(simTime(now), j.id) }
func (o *schedulerPolicy) ended(now float64, j *job) {
	o.apply(o.scheduler.Finish(simTime(now), j.id, sched.Outcome{Tokens: j.tokens, Complete: j.finished}))
}

func (o *schedulerPolicy) tick(now float64) {
	if now >= o.nextReport {
		o.nextReport = now + 1
		ups := engines(engineCount, engineSlots)
		for n, r := range o.s.report() {
			ups[n].Load, ups[n].LoadAt = &announce.Load{Running: r}, simTime(now-reportLag)
		}
		o.apply(o.scheduler.SetUpstreams(simTime(now), ups))
	}
	o.apply(o.scheduler.Tick(simTime(now)))
}

func newSchedulerPolicy(cfg sched.Config) func(*sim) policy {
	return func(s *sim) policy {
		o := &schedulerPolicy{s: s, scheduler: sched.New(cfg, rand.New(rand.NewSource(1)))}
		doc := &intent.Document{}
		for _, l := range classLoads {
			doc.Classes = append(doc.Classes, l.class)
		}
		o.scheduler.SetClasses(doc)
		o.scheduler.SetUpstreams(start, engines(engineCount, engineSlots))
		return o
	}
}

func newQueuePolicy(before func(a, b *job) int, choose func(*queuePolicy, *job) *simEngine, useless func(float64, *job) bool) func(*sim) policy {
	return func(s *sim) policy {
		return &queuePolicy{s: s, maxInFlight: engineCount * engineSlots, rnd: rand.New(rand.NewSource(1)), before: before, choose: choose, isUseless: useless}
	}
}

func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name      string
		newPolicy func(*sim) policy
	}{
		{"(a) FIFO, round robin", newQueuePolicy(byArrival, roundRobin, neverDrop)},
		{"(b) priority, least by report", newQueuePolicy(byTier, leastLoadedByReport, neverDrop)},
		{"comfreyladder", newSchedulerPolicy(sched.Config{})},
		{"  without headroom", newSchedulerPolicy(sched.Config{Headroom: 1e-6})},
		{"  headroom 0.25", newSchedulerPolicy(sched.Config{Headroom: 0.25})},
		{"(c) lengths and states known", newQueuePolicy(byTier, fastestFreeEngine, cannotMeetLevel)},
	}
	const seeds = 5
	for b.Loop() {
		b.Logf("%-30s %s", "mean of 5 seeds (worst)", "review         answer         question       status         draft          goodput/s      wasted")
		for _, p := range policies {
			line := make([][]float64, len(classLoads)+2)
			for seed := range seeds {
				s := newSim(int64(seed+1), p.newPolicy)
				for k := range classLoads {
					line[k] = append(line[k], float64(s.metTarget[k])/float64(s.offered[k]))
				}
				line[len(classLoads)] = append(line[len(classLoads)], s.goodTokens/loadSeconds)
				line[len(classLoads)+1] = append(line[len(classLoads)+1], s.wastedTokens/s.generatedTokens)
			}
			text := ""
			for k, v := range line {
				mean, worst := 0.0, slices.Min(v)
				if k == len(line)-1 {
					worst = slices.Max(v)
				}
				for _, x := range v {
					mean += x / seeds
				}
				text += fmt.Sprintf("%-15s", fmt.Sprintf("%.4g (%.4g)", mean, worst))
			}
			b.Logf("%-30s %s", p.name, text)
		}
	}
}
