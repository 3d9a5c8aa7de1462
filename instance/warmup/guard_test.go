package warmup_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/registry"
	core "github.com/comfreyladder/comfreyladder/core/warmup"
	"github.com/comfreyladder/comfreyladder/instance/warmup"
)

const (
	engineName = "e-1"
	coldFor    = 8 * time.Second
	lifetime   = core.PermitLifetime
)

var rule = warmup.Rule{Name: "e-*", Limited: true, ColdFor: coldFor}

// world is a guard in virtual time with the permits that the leader has granted it.
type world struct {
	*warmup.Guard
	now     time.Time
	granted []time.Time
	demands int
}

func newWorld() *world {
	w := &world{now: time.Unix(1_790_000_000, 0)}
	w.Guard = warmup.New(warmup.Config{Permits: w, RuleOf: func(string) warmup.Rule { return rule }, Log: zerolog.Nop(), Now: func() time.Time { return w.now }})
	return w
}

func (w *world) Available(uint64) bool {
	for len(w.granted) > 0 && !w.now.Before(w.granted[0]) {
		w.granted = w.granted[1:]
	}
	return len(w.granted) > 0
}

func (w *world) AddDemand(uint64, int) { w.demands++ }

func (w *world) UseUntil(upstream uint64, _ int) (until time.Time, ok bool) {
	if !w.Available(upstream) {
		return time.Time{}, false
	}
	until, w.granted = w.granted[0], w.granted[1:]
	return until, true
}

func (w *world) ReturnUntil(_ uint64, until time.Time) { w.granted = append(w.granted, until) }

func (w *world) grant() { w.granted = append(w.granted, w.now.Add(lifetime)) }

// beat applies a heartbeat, which says how long the engine stays cold if left is not negative.
func (w *world) beat(incarnation, sequence uint64, left int64, r warmup.Rule) {
	e := warmup.Engine{Name: engineName, Incarnation: incarnation, Sequence: sequence, Models: []string{"m"}, Rule: r}
	if left >= 0 {
		e.LeftMillis = &left
	}
	w.Update([]warmup.Engine{e}, r.Limited)
}

// pass lets time go by with a heartbeat each second.
func (w *world) pass(d time.Duration, incarnation, sequence uint64) {
	for end := w.now.Add(d); w.now.Before(end); sequence++ {
		w.now = w.now.Add(min(time.Second, end.Sub(w.now)))
		w.beat(incarnation, sequence, -1, rule)
	}
}

// sends reports whether a request would be sent now, without a wait.
func (w *world) sends() bool {
	p, ok := w.Use(engineName, 0)
	return ok && p.Check() == nil
}

// Guards against requests without a permit to an engine that has just started, and against a limit that
// outlives its warm-up.
func TestStartedEngineNeedsPermitsUntilItIsWarm(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.beat(1, 1, -1, rule)
	g.Expect(w.sends()).To(BeFalse())
	names, all := w.Withhold("m", 0, nil, true)
	g.Expect(names).To(Equal([]string{engineName}))
	g.Expect(all).To(BeTrue())
	g.Expect(w.demands).To(BeNumerically(">", 0))
	_, all = w.Withhold("m", 0, []string{engineName}, true)
	g.Expect(all).To(BeFalse(), "a model of which all engines are excluded")
	w.grant()
	g.Expect(w.sends()).To(BeTrue())
	g.Expect(w.sends()).To(BeFalse(), "one permit for one request")
	w.pass(coldFor, 1, 2)
	g.Expect(w.sends()).To(BeTrue())
	g.Expect(w.Cold()).To(BeZero())
	g.Expect(w.Sent()).To(BeEquivalentTo(1))
}

// Guards against an effect without a rate in the intent.
func TestWithoutARateNothingIsLimited(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.beat(1, 1, 5000, warmup.Rule{Name: "e-*", ColdFor: coldFor})
	g.Expect(w.sends()).To(BeTrue())
	names, _ := w.Withhold("m", 0, nil, true)
	g.Expect(names).To(BeEmpty())
	g.Expect(w.demands).To(BeZero())
	var none *warmup.Guard
	p, ok := none.Use(engineName, 0)
	g.Expect(ok && p.Check() == nil && !none.Limits()).To(BeTrue())
}

// Guards against old permits of an instance that was suspended, and of a request that was long in connecting.
func TestPermitIsCheckedDirectlyBeforeSending(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.beat(1, 1, -1, rule)
	w.grant()
	p, ok := w.Use(engineName, 0)
	g.Expect(ok).To(BeTrue())
	w.now = w.now.Add(lifetime)
	g.Expect(warmup.IsNoPermit(p.Check())).To(BeTrue())
	g.Expect(w.Expired()).To(BeEquivalentTo(1))
	p.Return()
	_, ok = w.Use(engineName, 0)
	g.Expect(ok).To(BeFalse(), "a returned permit keeps its end")
}

// Guards against requests that were chosen for an engine and reach the process that replaced it, or one that has
// become cold again.
func TestEngineThatStartsAgainAfterTheChoiceReceivesNothing(t *testing.T) {
	g := NewWithT(t)
	for name, change := range map[string]func(w *world){
		"restarted":  func(w *world) { w.beat(2, 1, -1, rule) },
		"cold again": func(w *world) { w.beat(1, 3, 4000, rule) },
		"lost":       func(w *world) { w.Lost(engineName) },
		"refused":    func(w *world) { w.Refused(engineName) },
		"health":     func(w *world) { w.Stated(engineName, time.Second) },
		"suspended":  func(w *world) { w.now = w.now.Add(4 * time.Second) },
	} {
		w := newWorld()
		w.beat(1, 1, 0, rule)
		w.beat(1, 2, 0, rule)
		p, ok := w.Use(engineName, 0)
		g.Expect(ok).To(BeTrue(), name)
		change(w)
		g.Expect(warmup.IsNoPermit(p.Check())).To(BeTrue(), name)
		g.Expect(w.sends()).To(BeFalse(), name)
	}
}

// Guards against a limit after a lost connection that heartbeats of the same process have disproved, and against
// heartbeats that were under way when the connection was lost.
func TestLostConnectionCountsUntilTheSameProcessIsHeard(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.beat(1, 1, 0, rule)
	w.Lost(engineName)
	w.now = w.now.Add(300 * time.Millisecond)
	w.beat(1, 2, 0, rule)
	g.Expect(w.sends()).To(BeFalse())
	w.now = w.now.Add(300 * time.Millisecond)
	w.beat(1, 3, 0, rule)
	g.Expect(w.sends()).To(BeTrue())
}

// Guards against an instance that is granted an engine which it does not know yet and takes for warm.
func TestUnknownEngineNeedsAPermit(t *testing.T) {
	g := NewWithT(t)
	w := newWorld()
	w.Update(nil, true)
	g.Expect(w.sends()).To(BeFalse())
	w.grant()
	g.Expect(w.sends()).To(BeTrue())
}

// Guards against a cold engine that is taken for the only one of its model, or a warm one that is withheld, among many.
func TestColdEngineAmongManyIsWithheldAlone(t *testing.T) {
	g, w := NewWithT(t), newWorld()
	w.Update(manyEngines(300, 1), true)
	names, all := w.Withhold("m", 0, nil, false)
	g.Expect(names).To(Equal([]string{"e-0"}))
	g.Expect(all).To(BeFalse())
	rest := make([]string, 0, 300)
	for i := 1; i < 300; i++ {
		rest = append(rest, fmt.Sprint("e-", i))
	}
	names, all = w.Withhold("m", 0, rest, false)
	g.Expect(names).To(Equal([]string{"e-0"}))
	g.Expect(all).To(BeTrue(), "all others are excluded")
	names, _ = w.Withhold("other", 0, nil, false)
	g.Expect(names).To(BeEmpty())
	w.Lost("e-7")
	names, _ = w.Withhold("m", 0, nil, false)
	g.Expect(names).To(ConsistOf("e-0", "e-7"))
	w.now = w.now.Add(registry.MaxSilence + time.Millisecond)
	names, all = w.Withhold("m", 0, nil, false)
	g.Expect(names).To(HaveLen(300), "all are silent")
	g.Expect(all).To(BeTrue())
}

// manyEngines returns engines of which the first ones are cold.
func manyEngines(n, cold int) (list []warmup.Engine) {
	for i := range n {
		left := int64(0)
		if i < cold {
			left = coldFor.Milliseconds()
		}
		list = append(list, warmup.Engine{Name: fmt.Sprint("e-", i), Incarnation: 1, Sequence: 1, Models: []string{"m"}, LeftMillis: &left, Rule: rule})
	}
	return list
}

// BenchmarkWithhold measures a request's look at the engines by their number, three of which are cold.
func BenchmarkWithhold(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newWorld()
			w.Update(manyEngines(n, 3), true)
			for b.Loop() {
				w.Withhold("m", 0, nil, false)
			}
		})
	}
}
