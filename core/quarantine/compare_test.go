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

// judge is a way to find requests that crash upstreams.
type judge interface {
	RecordCrash(upstream uint64, at time.Time, underWay []quarantine.Attempt)
	RecordSuccess(f quarantine.Fingerprint, at time.Time)
	Suspects(now time.Time) []quarantine.Fingerprint
	ToQuarantine(now time.Time) []quarantine.Fingerprint
	MarkQuarantined(f quarantine.Fingerprint)
}

// never quarantines nothing.
type never struct{}

func (never) RecordCrash(uint64, time.Time, []quarantine.Attempt) {}
func (never) RecordSuccess(quarantine.Fingerprint, time.Time)     {}
func (never) Suspects(time.Time) []quarantine.Fingerprint         { return nil }
func (never) ToQuarantine(time.Time) []quarantine.Fingerprint     { return nil }
func (never) MarkQuarantined(quarantine.Fingerprint)              {}

// counter quarantines whatever was under way at three crashes without a success.
type counter struct {
	never
	seen map[quarantine.Fingerprint]map[uint64]bool
}

func newCounter() judge { return &counter{seen: map[quarantine.Fingerprint]map[uint64]bool{}} }

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

func ledgerOf(crashes int, at time.Duration) func() judge {
	return func() judge {
		p := quarantine.DefaultPolicy
		p.QuarantineThreshold, p.SuspectThreshold, p.SettleDelay = crashes, crashes-1, at
		return quarantine.NewLedger(p)
	}
}

// way is a judge and how it is told and tells.
type way struct {
	name string
	new  func() judge
	// alone has each instance judge for itself.
	alone bool
	// up bounds how long a report takes, down how long a verdict does.
	up, down time.Duration
	// spare has suspects not repeated by instances, trials is how many runs a quarantined request
	// has to prove itself.
	spare  bool
	trials int
}

// scene is what happens to the upstreams.
type scene struct {
	name                           string
	upstreams, edges               int
	poisonEvery                    time.Duration
	herd, flap                     bool
	work, longWork, hold, downtime time.Duration
}

// outcome is what came of it.
type outcome struct {
	crashes, late, innocent, refused, sent, served int
}

// world plays a scene in virtual time.
type world struct {
	rng   *rand.Rand
	w     way
	s     scene
	now   time.Time
	queue events
	up    []*simUpstream
	// judges are those of the instances, or one.
	judges []judge
	// known is what each instance holds for quarantined, suspects for suspected.
	known, suspects []map[quarantine.Fingerprint]bool
	lives           uint64
	crashed         []time.Time
	poisoned, wrong map[quarantine.Fingerprint]bool
	// trials is when a quarantined request may have its trial; zero once it had.
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
	playFor = 20 * time.Second
	// callerPause is a caller's pause before it comes again, callerTries how often it comes.
	callerPause, callerTries = 100 * time.Millisecond, 2
	edgeTries                = 2
	inContact                = 3 * time.Second
	trialAfter               = time.Second
)

func newWorld(seed uint64, w way, s scene) *world {
	x := &world{rng: rand.New(rand.NewPCG(seed, 35)), w: w, s: s, now: epoch, poisoned: map[quarantine.Fingerprint]bool{}, wrong: map[quarantine.Fingerprint]bool{}, trials: map[quarantine.Fingerprint]time.Time{}, tried: map[quarantine.Fingerprint]int{}}
	for range s.upstreams {
		x.lives++
		x.up = append(x.up, &simUpstream{life: x.lives})
	}
	for range s.edges {
		x.known = append(x.known, map[quarantine.Fingerprint]bool{})
		x.suspects = append(x.suspects, map[quarantine.Fingerprint]bool{})
		if w.alone || len(x.judges) == 0 {
			x.judges = append(x.judges, w.new())
		}
	}
	return x
}

func (x *world) after(d time.Duration, do func()) { heap.Push(&x.queue, event{x.now.Add(d), do}) }

// upTo draws a time between a tenth of a bound and the bound.
func (x *world) upTo(d time.Duration) time.Duration {
	return d/10 + time.Duration(x.rng.Int64N(int64(d)*9/10+1))
}

func (x *world) every(mean time.Duration, do func()) {
	x.after(time.Duration(x.rng.ExpFloat64()*float64(mean)), func() {
		do()
		x.every(mean, do)
	})
}

func (x *world) play() outcome {
	n := 0
	x.every(20*time.Millisecond, func() {
		n++
		work := x.upTo(x.s.work)
		if n%4 == 0 {
			work = x.upTo(x.s.longWork)
		}
		x.arrive(&simRequest{f: named(fmt.Sprint("unique ", n)), work: work})
	})
	x.every(25*time.Millisecond, func() { x.arrive(&simRequest{f: named(fmt.Sprint("status ", n%4)), work: x.s.work}) })
	if x.s.poisonEvery > 0 {
		x.poisoned[named("poison")] = true
		x.every(x.s.poisonEvery, func() { x.arrive(&simRequest{f: named("poison"), poison: true, work: x.upTo(x.s.hold)}) })
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
	for len(x.queue) > 0 && x.queue[0].at.Before(epoch.Add(playFor)) {
		e := heap.Pop(&x.queue).(event)
		x.now = e.at
		e.do()
	}
	x.out.innocent = len(x.wrong)
	return x.out
}

// arrive takes a request of a caller.
func (x *world) arrive(r *simRequest) {
	if !r.poison && r.callers == 0 {
		x.out.sent++
	}
	r.callers++
	r.edge, r.sent = x.rng.IntN(x.s.edges), 0
	x.send(r)
}

func (x *world) send(r *simRequest) {
	var up []*simUpstream
	for _, u := range x.up {
		if !u.down {
			up = append(up, u)
		}
	}
	if x.known[r.edge][r.f] && (len(up) == 0 || !x.tries(r.f)) {
		if !r.poison {
			x.out.refused++
		}
		return
	}
	if len(up) == 0 {
		x.again(r)
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
		x.tell(r.edge, func(j judge) { j.RecordSuccess(r.f, ended) })
		if x.known[r.edge][r.f] {
			x.after(x.upTo(x.w.up)+x.upTo(x.w.down), func() {
				for e := range x.known {
					delete(x.known[e], r.f)
				}
			})
		}
	})
}

// tries reports whether a quarantined request has its trial now.
func (x *world) tries(f quarantine.Fingerprint) bool {
	at := x.trials[f]
	if x.tried[f] >= x.w.trials || at.IsZero() || x.now.Before(at) || x.now.Sub(x.lastTrial) < trialAfter {
		return false
	}
	x.tried[f]++
	x.trials[f], x.lastTrial = x.now.Add(trialAfter), x.now
	return true
}

// again has the caller of a request that failed come again.
func (x *world) again(r *simRequest) {
	if r.poison || r.callers >= callerTries {
		return
	}
	x.after(callerPause, func() { x.arrive(r) })
}

func (x *world) crash(u *simUpstream) {
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
		x.tell(edge, func(j judge) { j.RecordCrash(life, at, []quarantine.Attempt{a}) })
	}
	for _, r := range lost {
		spared := x.w.spare && x.suspects[r.edge][r.f]
		if r.sent < edgeTries && !spared && !x.known[r.edge][r.f] {
			x.after(time.Millisecond, func() { x.send(r) })
			continue
		}
		x.again(r)
	}
}

// tell reports to the judge that is responsible for an instance, which looks at it a while
// after, and once more when all is settled.
func (x *world) tell(edge int, report func(judge)) {
	at := 0
	if x.w.alone {
		at = edge
	}
	x.after(x.upTo(x.w.up), func() {
		report(x.judges[at])
		x.look(at)
		x.after(quarantine.DefaultPolicy.SettleDelay+time.Millisecond, func() { x.look(at) })
	})
}

func (x *world) look(at int) {
	j := x.judges[at]
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
		if x.w.alone && e != at {
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

var ways = []way{
	{name: "no memory (as it was)", new: func() judge { return never{} }, up: atOnce, down: atOnce},
	{name: "each instance alone, 3 crashes", new: ledgerOf(3, 0), alone: true, up: time.Millisecond, down: time.Millisecond},
	{name: "all, with questions, counted to 3", new: newCounter, up: asked, down: asked},
	{name: "all, at once, counted to 3", new: newCounter, up: atOnce, down: atOnce},
	{name: "all, at once, explained, 3", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce},
	{name: "the same, suspects not repeated", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true},
	{name: "the same, one trial", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true, trials: 1},
	{name: "the same, two trials", new: ledgerOf(3, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true, trials: 2},
	{name: "the same with 4 crashes, no trial", new: ledgerOf(4, 100*time.Millisecond), up: atOnce, down: atOnce, spare: true},
	{name: "the same with questions, 3", new: ledgerOf(3, 100*time.Millisecond), up: asked, down: asked, spare: true},
}

var scenes = []scene{
	{name: "poison, 6 upstreams", upstreams: 6, edges: 4, poisonEvery: 400 * time.Millisecond, work: 100 * time.Millisecond, longWork: time.Second, hold: 60 * time.Millisecond, downtime: 1500 * time.Millisecond},
	{name: "poison, 18 busy upstreams", upstreams: 18, edges: 9, poisonEvery: 200 * time.Millisecond, work: 300 * time.Millisecond, longWork: 3 * time.Second, hold: 800 * time.Millisecond, downtime: 3200 * time.Millisecond},
	{name: "poison, 3 upstreams", upstreams: 3, edges: 9, poisonEvery: 400 * time.Millisecond, work: 100 * time.Millisecond, longWork: time.Second, hold: 100 * time.Millisecond, downtime: 1500 * time.Millisecond},
	{name: "slow poison, 18 upstreams, 79 instances", upstreams: 18, edges: 79, poisonEvery: 1500 * time.Millisecond, work: 300 * time.Millisecond, longWork: 3 * time.Second, hold: 200 * time.Millisecond, downtime: 3200 * time.Millisecond},
	{name: "no poison, herds end at once", upstreams: 12, edges: 9, herd: true, work: 300 * time.Millisecond, longWork: 3 * time.Second, downtime: 2 * time.Second},
	{name: "no poison, upstreams flap", upstreams: 6, edges: 9, flap: true, work: 300 * time.Millisecond, longWork: 2 * time.Second, downtime: time.Second},
	{name: "poison among flapping upstreams", upstreams: 12, edges: 9, flap: true, poisonEvery: 400 * time.Millisecond, work: 300 * time.Millisecond, longWork: 2 * time.Second, hold: 200 * time.Millisecond, downtime: time.Second},
}

// compareAll has all ways played, for docs/design/quarantine.md.
var compareAll = flag.Bool("quarantine.all", false, "play all ways, not only the one that instances go")

// chosen is the way that instances go.
const chosen = 6

func compareWay(w way, s scene, seeds int) (sum outcome) {
	for seed := range uint64(seeds) {
		o := newWorld(seed, w, s).play()
		sum.crashes += o.crashes
		sum.late = max(sum.late, o.late)
		sum.innocent += o.innocent
		sum.refused += o.refused
		sum.sent += o.sent
		sum.served += o.served
	}
	return sum
}

// Guards against repeats beyond what is allowed, and against harm to requests that crash
// nothing: at most one in 500 may be refused.
func TestWaysCompared(t *testing.T) {
	g := NewWithT(t)
	const seeds = 20
	for _, s := range scenes {
		t.Log(s.name)
		for i, w := range ways {
			if i != chosen && !*compareAll {
				continue
			}
			o := compareWay(w, s, seeds)
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
