package quarantine_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// detector finds requests that crash upstreams.
type detector interface {
	RecordCrash(upstream uint64, at time.Time, underWay []quarantine.Attempt)
	RecordSuccess(f quarantine.Fingerprint, at time.Time)
	Suspects(now time.Time) []quarantine.Fingerprint
	ToQuarantine(now time.Time) []quarantine.Fingerprint
	MarkQuarantined(f quarantine.Fingerprint)
}

// noDetector quarantines nothing.
type noDetector struct{}

func (noDetector) RecordCrash(uint64, time.Time, []quarantine.Attempt) {}
func (noDetector) RecordSuccess(quarantine.Fingerprint, time.Time)     {}
func (noDetector) Suspects(time.Time) []quarantine.Fingerprint         { return nil }
func (noDetector) ToQuarantine(time.Time) []quarantine.Fingerprint     { return nil }
func (noDetector) MarkQuarantined(quarantine.Fingerprint)              {}

// counter quarantines each request that was in flight at three crashes without a success.
type counter struct {
	noDetector
	seen map[quarantine.Fingerprint]map[uint64]bool
}

func newCounter() detector { return &counter{seen: map[quarantine.Fingerprint]map[uint64]bool{}} }

func (c *counter) RecordCrash(upstream uint64, _ time.Time, underWay []quarantine.Attempt) {
	for _, a := range underWay {
		if c.seen[a.Fingerprint] == nil {
			c.seen[a.Fingerprint] = map[uint64]bool{}
		}
		c.seen[a.Fingerprint][upstream] = true
	}
}

func (c *counter) RecordSuccess(f quarantine.Fingerprint, _ time.Time) { delete(c.seen, f) }

func (c *counter) ToQuarantine(time.Time) (list []quarantine.Fingerprint) {
	for f, n := range c.seen {
		if len(n) >= 3 {
			list = append(list, f)
		}
	}
	return list
}

func ledgerOf(crashes int, at time.Duration) func() detector {
	return func() detector {
		p := quarantine.DefaultPolicy
		p.QuarantineThreshold, p.SuspectThreshold, p.SettleDelay = crashes, crashes-1, at
		return quarantine.NewLedger(p)
	}
}

// strategy is a detector together with the propagation of reports and verdicts.
type strategy struct {
	name string
	new  func() detector
	// perInstance gives each instance a detector of its own.
	perInstance bool
	// up is the maximum delay of a report, down that of a verdict.
	up, down time.Duration
	// spare keeps instances from retrying suspected requests. trials is the number of trial runs
	// of a quarantined request.
	spare  bool
	trials int
}

// scenario defines the load and the crashes of upstreams.
type scenario struct {
	name                           string
	upstreams, edges               int
	poisonEvery                    time.Duration
	herd, flap                     bool
	work, longWork, hold, downtime time.Duration
}

// outcome counts the events of a simulation.
type outcome struct {
	crashes, late, innocent, refused, sent, served int
}

// simulation runs a scenario in virtual time.
type simulation struct {
	rng   *rand.Rand
	w     strategy
	s     scenario
	now   time.Time
	queue events
	up    []*simUpstream
	// detectors holds one detector per instance, or a single one for all.
	detectors []detector
	// known holds the requests that each instance believes to be quarantined, suspects those that
	// it believes to be suspected.
	known, suspects []map[quarantine.Fingerprint]bool
	lives           uint64
	crashed         []time.Time
	poisoned, wrong map[quarantine.Fingerprint]bool
	// trials holds when a quarantined request may have its next trial.
	trials    map[quarantine.Fingerprint]time.Time
	tried     map[quarantine.Fingerprint]int
	lastTrial time.Time
	out       outcome
}

type simUpstream struct {
	life    uint64
	down    bool
	running []*simRequest
}

type simRequest struct {
	f             quarantine.Fingerprint
	poison        bool
	work          time.Duration
	edge          int
	sent, callers int
	sentAt        time.Time
	at            *simUpstream
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	simulationTime = 20 * time.Second
	// callerPause is a caller's pause before a retry, callerTries its number of attempts.
	callerPause, callerTries = 100 * time.Millisecond, 2
	edgeTries                = 2
	inContact                = 3 * time.Second
	trialAfter               = time.Second
)

func newSimulation(seed uint64, w strategy, s scenario) *simulation {
	x := &simulation{rng: rand.New(rand.NewPCG(seed, 35)), w: w, s: s, now: epoch, poisoned: map[quarantine.Fingerprint]bool{}, wrong: map[quarantine.Fingerprint]bool{}, trials: map[quarantine.Fingerprint]time.Time{}, tried: map[quarantine.Fingerprint]int{}}
	for range s.upstreams {
		x.lives++
		x.up = append(x.up, &simUpstream{life: x.lives})
	}
	for range s.edges {
		x.known = append(x.known, map[quarantine.Fingerprint]bool{})
		x.suspects = append(x.suspects, map[quarantine.Fingerprint]bool{})
		if w.perInstance || len(x.detectors) == 0 {
			x.detectors = append(x.detectors, w.new())
		}
	}
	return x
}

func (x *simulation) after(d time.Duration, do func()) { heap.Push(&x.queue, event{x.now.Add(d), do}) }

// upTo returns a random duration between a tenth of a bound and the bound.
func (x *simulation) upTo(d time.Duration) time.Duration {
	return d/10 + time.Duration(x.rng.Int64N(int64(d)*9/10+1))
}

func (x *simulation) every(mean time.Duration, do func()) {
	x.after(time.Duration(x.rng.ExpFloat64()*float64(mean)), func() {
		do()
		x.every(mean, do)
	})
}

func (x *simulation) play() outcome {
	n := 0
	x.every(20*time.Millisecond, func() {
		n++
		work := x.upTo(x.s.work)
		if n%4 == 0 {
			work = x.upTo(x.s.longWork)
		}
		x.arrive(&simRequest{f: fingerprintOf(fmt.Sprint("unique ", n)), work: work})
	})
	x.every(25*time.Millisecond, func() { x.arrive(&simRequest{f: fingerprintOf(fmt.Sprint("status ", n%4)), work: x.s.work}) })
	if x.s.poisonEvery > 0 {
		x.poisoned[fingerprintOf("poison")] = true
		x.every(x.s.poisonEvery, func() { x.arrive(&simRequest{f: fingerprintOf("poison"), poison: true, work: x.upTo(x.s.hold)}) })
	}
	if x.s.herd {
		x.every(4*time.Second, func() {
			for _, u := range x.up[:len(x.up)*2/3] {
				x.crash(u)
			}
		})
	}
	if x.s.flap {
		for _, u := range x.up[:(len(x.up)+2)/3] {
			x.every(1500*time.Millisecond, func() { x.crash(u) })
		}
	}
	for len(x.queue) > 0 && x.queue[0].at.Before(epoch.Add(simulationTime)) {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.do()
	}
	x.out.innocent = len(x.wrong)
	return x.out
}

// arrive handles a request from a caller.
func (x *simulation) arrive(r *simRequest) {
	if !r.poison && r.callers == 0 {
		x.out.sent++
	}
	r.callers++
	r.edge, r.sent = x.rng.IntN(x.s.edges), 0
	x.send(r)
}

func (x *simulation) send(r *simRequest) {
	var up []*simUpstream
	for _, u := range x.up {
		if !u.down {
			up = append(up, u)
		}
	}
	if x.known[r.edge][r.f] && (len(up) == 0 || !x.startTrial(r.f)) {
		if !r.poison {
			x.out.refused++
		}
		return
	}
	if len(up) == 0 {
		x.retryLater(r)
		return
	}
	u := up[x.rng.IntN(len(up))]
	r.sent++
	r.sentAt, r.at, u.running = x.now, u, append(u.running, r)
	if r.poison && len(x.crashed) >= 3 && x.now.Sub(x.crashed[2]) > inContact {
		x.out.late++
	}
	sentAt := x.now
	x.after(r.work, func() {
		if r.at != u || r.sentAt != sentAt {
			return
		}
		if r.poison {
			x.crashed = append(x.crashed, x.now)
			x.out.crashes++
			x.crash(u)
			return
		}
		r.at = nil
		ended := x.now
		u.running = slices.DeleteFunc(u.running, func(other *simRequest) bool { return other == r })
		x.out.served++
		x.report(r.edge, func(j detector) { j.RecordSuccess(r.f, ended) })
		if x.known[r.edge][r.f] {
			x.after(x.upTo(x.w.up)+x.upTo(x.w.down), func() {
				for e := range x.known {
					delete(x.known[e], r.f)
				}
			})
		}
	})
}

// startTrial starts a trial of a quarantined request if one is due, and reports whether it did.
func (x *simulation) startTrial(f quarantine.Fingerprint) bool {
	at := x.trials[f]
	if x.tried[f] >= x.w.trials || at.IsZero() || x.now.Before(at) || x.now.Sub(x.lastTrial) < trialAfter {
		return false
	}
	x.tried[f]++
	x.trials[f], x.lastTrial = x.now.Add(trialAfter), x.now
	return true
}

// retryLater schedules the retry by the caller of a failed request, if it has one left.
func (x *simulation) retryLater(r *simRequest) {
	if r.poison || r.callers >= callerTries {
		return
	}
	x.after(callerPause, func() { x.arrive(r) })
}

func (x *simulation) crash(u *simUpstream) {
	if u.down {
		return
	}
	life, lost, at := u.life, u.running, x.now
	u.down, u.running = true, nil
	x.after(x.s.downtime, func() {
		x.lives++
		u.life, u.down = x.lives, false
	})
	for _, r := range lost {
		r.at = nil
		a, edge := quarantine.NewAttempt(r.f, x.now.Sub(r.sentAt), "", ""), r.edge
		x.report(edge, func(j detector) { j.RecordCrash(life, at, []quarantine.Attempt{a}) })
	}
	for _, r := range lost {
		spared := x.w.spare && x.suspects[r.edge][r.f]
		if r.sent < edgeTries && !spared && !x.known[r.edge][r.f] {
			x.after(time.Millisecond, func() { x.send(r) })
			continue
		}
		x.retryLater(r)
	}
}

// report reports to the detector that is responsible for an instance. The detector evaluates the
// report when it arrives, and once more after SettleDelay.
func (x *simulation) report(edge int, report func(detector)) {
	at := 0
	if x.w.perInstance {
		at = edge
	}
	x.after(x.upTo(x.w.up), func() {
		report(x.detectors[at])
		x.evaluate(at)
		x.after(quarantine.DefaultPolicy.SettleDelay+time.Millisecond, func() { x.evaluate(at) })
	})
}

func (x *simulation) evaluate(at int) {
	j := x.detectors[at]
	verdict, suspects := j.ToQuarantine(x.now), j.Suspects(x.now)
	for _, f := range verdict {
		j.MarkQuarantined(f)
		x.trials[f], x.tried[f] = x.now.Add(trialAfter), 0
		if !x.poisoned[f] {
			x.wrong[f] = true
		}
	}
	if len(verdict)+len(suspects) == 0 {
		return
	}
	for e := range x.known {
		if x.w.perInstance && e != at {
			continue
		}
		x.after(x.upTo(x.w.down), func() {
			for _, f := range verdict {
				x.known[e][f] = true
			}
			for _, f := range suspects {
				x.suspects[e][f] = true
			}
		})
	}
}

const (
	atOnce = 40 * time.Millisecond
	asked  = 500 * time.Millisecond
)

var strategies = []strategy{
	{name: "no memory (as it was)", new: func() detector { return noDetector{} }, up: atOnce, down: atOnce},
	{name: "each instance alone, 3 crashes", new: ledgerOf(3, 0), perInstance: true, up: time.Millisecond, down: time.Millisecond},
	{name: "all, with questions, counted to 3", new: newCounter, up: asked, down: asked},
	{name: "all, at once, counted to 3", new: newCounter, up: atOnce, down: atOnce},
	{name: "all, at once, explained, 3", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce},
	{name: "the same, suspects not repeated", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true},
	{name: "the same, one trial", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true, trials: 1},
	{name: "the same, two trials", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true, trials: 2},
	{name: "the same with 4 crashes, no trial", new: ledgerOf(4, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true},
	{name: "the same with questions, 3", new: ledgerOf(3, 100*time.Millisecond), up: asked, down: asked, spare: true},
}

var scenarios = []scenario{
	{name: "poison, 6 upstreams", upstreams: 6, edges: 4, poisonEvery: 400 * time.Millisecond, work: 100 * time.Millisecond, longWork: time.Second, hold: 60 * time.Millisecond, downtime: 1500 * time.Millisecond},
	{name: "poison, 18 busy upstreams", upstreams: 18, edges: 9, poisonEvery: 200 * time.Millisecond, work: 300 * time.Millisecond, longWork: 3 * time.Second, hold: 800 * time.Millisecond, downtime: 3200 * time.Millisecond},
	{name: "poison, 3 upstreams", upstreams: 3, edges: 9, poisonEvery: 400 * time.Millisecond, work: 100 * time.Millisecond, longWork: time.Second, hold: 100 * time.Millisecond, downtime: 1500 * time.Millisecond},
	{name: "slow poison, 18 upstreams, 79 instances", upstreams: 18, edges: 79, poisonEvery: 1500 * time.Millisecond, work: 300 * time.Millisecond, longWork: 3 * time.Second, hold: 200 * time.Millisecond, downtime: 3200 * time.Millisecond},
	{name: "no poison, herds end at once", upstreams: 12, edges: 9, herd: true, work: 300 * time.Millisecond, longWork: 3 * time.Second, downtime: 2 * time.Second},
	{name: "no poison, upstreams flap", upstreams: 6, edges: 9, flap: true, work: 300 * time.Millisecond, longWork: 2 * time.Second, downtime: time.Second},
	{name: "poison among flapping upstreams", upstreams: 12, edges: 9, flap: true, poisonEvery: 400 * time.Millisecond, work: 300 * time.Millisecond, longWork: 2 * time.Second, hold: 200 * time.Millisecond, downtime: time.Second},
}

// compareAll runs all strategies, for docs/design/quarantine.md.
var compareAll = flag.Bool("quarantine.all", false, "run all strategies, not only the one that instances use")

// chosen is the index of the strategy that instances use.
const chosen = 6

func runStrategy(w strategy, s scenario, seeds int) (sum outcome) {
	for seed := range uint64(seeds) {
		o := newSimulation(seed, w, s).play()
		sum.crashes += o.crashes
		sum.late = max(sum.late, o.late)
		sum.innocent += o.innocent
		sum.refused += o.refused
		sum.sent += o.sent
		sum.served += o.served
	}
	return sum
}

// Guards against too many repeats of a crashing request, and against harm to requests that crash
// nothing: at most one in 500 of them may be refused.
func TestWaysCompared(t *testing.T) {
	g := NewWithT(t)
	const seeds = 20
	for _, s := range scenarios {
		t.Log(s.name)
		for i, w := range strategies {
			if i != chosen && !*compareAll {
				continue
			}
			o := runStrategy(w, s, seeds)
			const part = 1.0 / seeds
			t.Logf("  %-36s crashes %6.1f, repeats late (worst) %3d, innocent %5.2f, refused %5.2f, served %.4f", w.name, part*float64(o.crashes), o.late,
				part*float64(o.innocent), part*float64(o.refused), float64(o.served)/float64(o.sent))
			if i == chosen {
				g.Expect(o.late).To(BeNumerically("<=", 3), s.name)
				g.Expect(o.refused).To(BeNumerically("<=", o.sent/500), s.name)
			}
		}
	}
}
