package sched_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
)

// The comparison runs the same load against several policies in a discrete event
// simulation with fixed seeds: 20 engines with 8 slots and 30 tokens a second per
// stream, heavy-tailed answer lengths, a threefold burst of the lower classes from 60 s
// to 120 s, two engines at a quarter of their speed from 90 s to 150 s, and load
// reports that are delayed by 2 s. Run it with
//
//	go test ./core/sched -run xxx -bench Policies -benchtime 1x
const (
	engineCount, engineSlots = 20, 8
	streamRate               = 30.0
	loadSeconds              = 240.0
	reportLag                = 2.0
)

type classLoad struct {
	class  intent.Class
	rate   float64
	tokens float64
	sigma  float64
	bursts bool
}

var classLoads = []classLoad{
	{intent.Class{Name: "review", Tier: 0, Protected: true, FirstToken: 2 * time.Second, Deadline: 60 * time.Second, Floor: 0.1}, 2, 250, 0.8, false},
	{intent.Class{Name: "answer", Tier: 1, Protected: true, FirstToken: 1400 * time.Millisecond, Deadline: 60 * time.Second, Floor: 0.1}, 3, 220, 0.8, false},
	{intent.Class{Name: "question", Tier: 2, FirstToken: 2 * time.Second, Deadline: 40 * time.Second, Floor: 0.1}, 6, 150, 0.8, true},
	{intent.Class{Name: "status", Tier: 3, FirstToken: 3 * time.Second, Deadline: 20 * time.Second, Floor: 0.1}, 18, 30, 0.5, true},
	{intent.Class{Name: "draft", Tier: 4, FirstToken: 30 * time.Second, Deadline: 4 * time.Minute, Floor: 0.1}, 1.2, 700, 1.2, true},
}

type job struct {
	id                      string
	classIndex              int
	org                     string
	arrived                 float64
	tokens                  int
	prompt                  int
	engine                  *simEngine
	startedAt, firstTokenAt float64
	finished, ended         bool
}

func (j *job) class() *intent.Class { return &classLoads[j.classIndex].class }

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

// policy decides when each job starts and on which engine.
type policy interface {
	submit(now float64, j *job)
	firstToken(now float64, j *job)
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
	now             float64
	events          simEvents
	engines         []*simEngine
	jobs            map[string]*job
	policy          policy
	reports         [][]int
	generatedTokens float64
	wastedTokens    float64
	metTarget       map[int]int
	offered         map[int]int
	goodTokens      float64
}

func (s *sim) after(d float64, f func()) { heap.Push(&s.events, simEvent{s.now + d, f}) }

func newSim(seed int64, newPolicy func(*sim) policy) *sim {
	s := &sim{jobs: map[string]*job{}, metTarget: map[int]int{}, offered: map[int]int{}}
	for n := range engineCount {
		s.engines = append(s.engines, &simEngine{name: fmt.Sprint("e", n)})
	}
	s.policy = newPolicy(s)
	for kind := range classLoads {
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
	l := classLoads[kind]
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
			id: fmt.Sprint(kind, "-", len(s.jobs)), classIndex: kind, org: org, arrived: at,
			tokens: min(1+int(math.Exp(mu+l.sigma*rnd.NormFloat64())), 8000), prompt: 200 + rnd.Intn(1000),
		}
		s.jobs[j.id] = j
		heap.Push(&s.events, simEvent{at, func() {
			s.offered[j.classIndex]++
			s.policy.submit(s.now, j)
		}})
		heap.Push(&s.events, simEvent{j.deadline(), func() { s.cancelAtDeadline(j) }})
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

// report returns the engines' latest visible load reports, which are reportLag old.
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
		j.startedAt = s.now
		prefill := (0.1 + float64(j.prompt)*1e-4) / e.speed(s.now)
		s.after(prefill, func() {
			if j.ended {
				return
			}
			j.firstTokenAt = s.now
			s.policy.firstToken(s.now, j)
		})
		s.after(prefill+float64(j.tokens)/streamRate/e.speed(s.now), func() { s.end(j, true) })
	}
}

func (s *sim) cancelAtDeadline(j *job) {
	if !j.ended && j.engine != nil {
		s.end(j, false)
	}
}

func (s *sim) end(j *job, finished bool) {
	if j.ended {
		return
	}
	j.ended, j.finished = true, finished
	e := j.engine
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == j })
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o == j })
	s.count(j)
	s.run(e)
	s.policy.ended(s.now, j)
}

func (s *sim) count(j *job) {
	made := float64(j.tokens)
	if !j.finished && j.startedAt > 0 {
		made = min(made, (s.now-j.startedAt)*streamRate*j.engine.speed(s.now))
		s.wastedTokens += made
	}
	if !j.finished && j.startedAt == 0 {
		made = 0
	}
	s.generatedTokens += made
	if j.finished && j.firstTokenAt-j.arrived <= j.class().FirstToken.Seconds() {
		s.metTarget[j.classIndex]++
		s.goodTokens += made
	}
}
