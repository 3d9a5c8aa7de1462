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

// queued is a policy with one queue, an order and a choice.
type queued struct {
	s        *sim
	queue    []*job
	inFlight int
	most     int
	turn     int
	rnd      *rand.Rand
	before   func(a, b *job) int
	choose   func(q *queued, j *job) *simEngine
	useless  func(now float64, j *job) bool
}

func (q *queued) submit(_ float64, j *job) { q.queue = append(q.queue, j); q.grant() }
func (q *queued) first(float64, *job)      {}
func (q *queued) ended(_ float64, _ *job)  { q.inFlight--; q.grant() }
func (q *queued) tick(float64)             { q.grant() }
func (q *queued) gone(j *job) bool         { return q.s.now >= j.deadline() || q.useless(q.s.now, j) }
func never(float64, *job) bool             { return false }
func byArrival(a, b *job) int              { return cmp.Compare(a.arrived, b.arrived) }
func byTier(a, b *job) int                 { return cmp.Or(cmp.Compare(a.kind, b.kind), byArrival(a, b)) }
func roundRobin(q *queued, _ *job) *simEngine {
	q.turn++
	return q.s.engines[q.turn%engineCount]
}

func (q *queued) grant() {
	q.queue = slices.DeleteFunc(q.queue, q.gone)
	slices.SortStableFunc(q.queue, q.before)
	for len(q.queue) > 0 && q.inFlight < q.most {
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

func leastByReport(q *queued, _ *job) *simEngine {
	r := q.s.report()
	best := q.rnd.Intn(engineCount)
	for n := range r {
		if r[n] < r[best] {
			best = n
		}
	}
	return q.s.engines[best]
}

// trueBest knows each engine's true state and speed.
func trueBest(q *queued, _ *job) *simEngine {
	var best *simEngine
	for _, e := range q.s.engines {
		if len(e.running) < engineSlots && (best == nil || e.speed(q.s.now) > best.speed(q.s.now)) {
			best = e
		}
	}
	return best
}

// hopeless knows the length: such a job can't end before its deadline or misses
// its level already.
func hopeless(now float64, j *job) bool {
	first := now + 0.1 + float64(j.prompt)*1e-4
	return first > j.arrived+j.class().FirstToken.Seconds() || first+float64(j.tokens)/streamRate > j.deadline()
}

// ours is the scheduler of this package.
type ours struct {
	s    *sim
	core *sched.Scheduler
	next float64
}

func at(now float64) time.Time { return start.Add(time.Duration(now * float64(time.Second))) }

func (o *ours) apply(effects []sched.Effect) {
	for _, g := range grants(effects) {
		for _, e := range o.s.engines {
			if e.name == g.Upstream {
				o.s.start(o.s.jobs[g.ID], e)
			}
		}
	}
}

func (o *ours) submit(now float64, j *job) {
	o.apply(o.core.Submit(at(now), sched.Ticket{
		ID: j.id, Instance: "i", Organisation: j.org, Class: j.class().Name, Model: "m", PromptTokens: j.prompt, Arrived: at(now),
	}))
}
func (o *ours) first(now float64, j *job) { o.core.Started(at(now), j.id) }
func (o *ours) ended(now float64, j *job) {
	o.apply(o.core.Finish(at(now), j.id, sched.Outcome{Tokens: j.tokens, Complete: j.finished}))
}

func (o *ours) tick(now float64) {
	if now >= o.next {
		o.next = now + 1
		ups := engines(engineCount, engineSlots)
		for n, r := range o.s.report() {
			ups[n].Load, ups[n].LoadAt = &announce.Load{Running: r}, at(now-reportLag)
		}
		o.apply(o.core.SetUpstreams(at(now), ups))
	}
	o.apply(o.core.Tick(at(now)))
}

func newOurs(cfg sched.Config) func(*sim) policy {
	return func(s *sim) policy {
		o := &ours{s: s, core: sched.New(cfg, rand.New(rand.NewSource(1)))}
		doc := &intent.Document{}
		for _, l := range loads {
			doc.Classes = append(doc.Classes, l.class)
		}
		o.core.SetClasses(doc)
		o.core.SetUpstreams(start, engines(engineCount, engineSlots))
		return o
	}
}

func newQueued(before func(a, b *job) int, choose func(*queued, *job) *simEngine, useless func(float64, *job) bool) func(*sim) policy {
	return func(s *sim) policy {
		return &queued{s: s, most: engineCount * engineSlots, rnd: rand.New(rand.NewSource(1)), before: before, choose: choose, useless: useless}
	}
}

func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name  string
		make1 func(*sim) policy
	}{
		{"(a) FIFO, round robin", newQueued(byArrival, roundRobin, never)},
		{"(b) priority, least by report", newQueued(byTier, leastByReport, never)},
		{"comfreyladder", newOurs(sched.Config{})},
		{"  without headroom", newOurs(sched.Config{Headroom: 1e-6})},
		{"  headroom 0.25", newOurs(sched.Config{Headroom: 0.25})},
		{"(c) lengths and states known", newQueued(byTier, trueBest, hopeless)},
	}
	const seeds = 5
	for b.Loop() {
		b.Logf("%-30s %s", "mean of 5 seeds (worst)", "review         answer         question       status         draft          goodput/s      wasted")
		for _, p := range policies {
			line := make([][]float64, len(loads)+2)
			for seed := range seeds {
				s := newSim(int64(seed+1), p.make1)
				for k := range loads {
					line[k] = append(line[k], float64(s.met[k])/float64(s.offered[k]))
				}
				line[len(loads)] = append(line[len(loads)], s.good/loadSeconds)
				line[len(loads)+1] = append(line[len(loads)+1], s.wasted/s.made)
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
