package sched_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/sched"
)

// The comparison runs one load against several policies, event by event, with
// fixed seeds: 20 engines of 8 slots and 30 tokens a second for each stream,
// heavy-tailed lengths, a threefold burst of the lower classes from 60 s to
// 120 s, two engines at a quarter of their speed from 90 s to 150 s, and load
// reports that are 2 s late. Run it with
//
//	go test ./core/sched -run xxx -bench Policies -benchtime 1x
const (
	engineCount, engineSlots = 20, 8
	streamRate               = 30.0
	loadSeconds              = 240.0
	reportLag                = 2.0
)

type load struct {
	class  intent.Class
	rate   float64
	tokens float64
	sigma  float64
	bursts bool
}

var loads = []load{
	{intent.Class{Name: "review", Tier: 0, Protected: true, FirstToken: 2 * time.Second, Deadline: 60 * time.Second, Floor: 0.1}, 2, 250, 0.8, false},
	{intent.Class{Name: "answer", Tier: 1, Protected: true, FirstToken: 1400 * time.Millisecond, Deadline: 60 * time.Second, Floor: 0.1}, 3, 220, 0.8, false},
	{intent.Class{Name: "question", Tier: 2, FirstToken: 2 * time.Second, Deadline: 40 * time.Second, Floor: 0.1}, 6, 150, 0.8, true},
	{intent.Class{Name: "status", Tier: 3, FirstToken: 3 * time.Second, Deadline: 20 * time.Second, Floor: 0.1}, 18, 30, 0.5, true},
	{intent.Class{Name: "draft", Tier: 4, FirstToken: 30 * time.Second, Deadline: 4 * time.Minute, Floor: 0.1}, 1.2, 700, 1.2, true},
}

type job struct {
	id              string
	kind            int
	org             string
	arrived         float64
	tokens          int
	prompt          int
	engine          *simEngine
	begun, first    float64
	finished, ended bool
}

func (j *job) class() *intent.Class { return &loads[j.kind].class }

func (j *job) deadline() float64 { return j.arrived + j.class().Deadline.Seconds() }

type simEngine struct {
	name             string
	running, waiting []*job
}

func (e *simEngine) speed(now float64) float64 {
	if (e.name == "e3" || e.name == "e11") && now >= 90 && now < 150 {
		return 0.25
	}
	return 1
}

// policy is one way of deciding.
type policy interface {
	submit(now float64, j *job)
	first(now float64, j *job)
	ended(now float64, j *job)
	tick(now float64)
}

type simEvent struct {
	at float64
	f  func()
}

type simEvents []simEvent

func (q simEvents) Len() int           { return len(q) }
func (q simEvents) Less(a, b int) bool { return q[a].at < q[b].at }
func (q simEvents) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *simEvents) Push(v any)        { *q = append(*q, v.(simEvent)) }
func (q *simEvents) Pop() any {
	v := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return v
}

type sim struct {
	now     float64
	events  simEvents
	engines []*simEngine
	jobs    map[string]*job
	policy  policy
	reports [][]int
	made    float64
	wasted  float64
	met     map[int]int
	offered map[int]int
	good    float64
}

func (s *sim) after(d float64, f func()) { heap.Push(&s.events, simEvent{s.now + d, f}) }

func newSim(seed int64, make1 func(*sim) policy) *sim {
	s := &sim{jobs: map[string]*job{}, met: map[int]int{}, offered: map[int]int{}}
	for n := range engineCount {
		s.engines = append(s.engines, &simEngine{name: fmt.Sprint("e", n)})
	}
	s.policy = make1(s)
	for kind := range loads {
		s.arrivals(kind, rand.New(rand.NewSource(seed*100+int64(kind))))
	}
	for at := 0.0; at < loadSeconds+300; at += 0.1 {
		heap.Push(&s.events, simEvent{at, s.tick})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.f()
	}
	return s
}

func (s *sim) arrivals(kind int, rnd *rand.Rand) {
	l := loads[kind]
	for at := 0.0; at < loadSeconds; {
		rate := l.rate
		if l.bursts && at >= 60 && at < 120 {
			rate *= 3
		}
		at += rnd.ExpFloat64() / rate
		mu := math.Log(l.tokens) - l.sigma*l.sigma/2
		org := "large"
		if rnd.Intn(2) == 0 {
			org = fmt.Sprint("small", rnd.Intn(9))
		}
		j := &job{
			id: fmt.Sprint(kind, "-", len(s.jobs)), kind: kind, org: org, arrived: at,
			tokens: min(1+int(math.Exp(mu+l.sigma*rnd.NormFloat64())), 8000), prompt: 200 + rnd.Intn(1000),
		}
		s.jobs[j.id] = j
		heap.Push(&s.events, simEvent{at, func() {
			s.offered[j.kind]++
			s.policy.submit(s.now, j)
		}})
		heap.Push(&s.events, simEvent{j.deadline(), func() { s.giveUp(j) }})
	}
}

func (s *sim) tick() {
	var r []int
	for _, e := range s.engines {
		r = append(r, len(e.running)+len(e.waiting))
	}
	s.reports = append(s.reports, r)
	s.policy.tick(s.now)
}

// report returns what the engines reported last, reportLag ago.
func (s *sim) report() []int {
	n := len(s.reports) - 1 - int(reportLag*10)
	if n < 0 {
		return make([]int, engineCount)
	}
	return s.reports[n]
}

func (s *sim) start(j *job, e *simEngine) {
	j.engine = e
	e.waiting = append(e.waiting, j)
	s.run(e)
}

func (s *sim) run(e *simEngine) {
	for len(e.running) < engineSlots && len(e.waiting) > 0 {
		slices.SortStableFunc(e.waiting, func(a, b *job) int { return cmp.Compare(a.class().Tier, b.class().Tier) })
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.begun = s.now
		prefill := (0.1 + float64(j.prompt)*1e-4) / e.speed(s.now)
		s.after(prefill, func() {
			if j.ended {
				return
			}
			j.first = s.now
			s.policy.first(s.now, j)
		})
		s.after(prefill+float64(j.tokens)/streamRate/e.speed(s.now), func() { s.end(j, true) })
	}
}

func (s *sim) giveUp(j *job) {
	if !j.ended && j.engine != nil {
		s.end(j, false)
	}
}

func (s *sim) end(j *job, whole bool) {
	if j.ended {
		return
	}
	j.ended, j.finished = true, whole
	e := j.engine
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	s.count(j)
	s.run(e)
	s.policy.ended(s.now, j)
}

func (s *sim) count(j *job) {
	made := float64(j.tokens)
	if !j.finished && j.begun > 0 {
		made = min(made, (s.now-j.begun)*streamRate*j.engine.speed(s.now))
		s.wasted += made
	}
	if !j.finished && j.begun == 0 {
		made = 0
	}
	s.made += made
	if j.finished && j.first-j.arrived <= j.class().FirstToken.Seconds() {
		s.met[j.kind]++
		s.good += made
	}
}

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
