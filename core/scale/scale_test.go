package scale_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/scale"
)

var origin = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// service is one in three domains with unlike prices.
func service(standard, preemptible int, need float64) *scale.Service {
	s := &scale.Service{Name: "s", Min: 1, Max: 60, BootTime: 4 * time.Second, PreemptiblePrice: 0.22, Need: need, Known: true}
	for i, name := range []string{"a", "b", "c"} {
		s.Domains = append(s.Domains, scale.Domain{
			Name: name, Price: []float64{0.85, 1.2, 1}[i], Ready: scale.Counts{Standard: standard, Preemptible: preemptible},
		})
	}
	return s
}

func sum(p *scale.Plan) (c scale.Counts) {
	for _, w := range p.Targets {
		c.Standard += w.Standard
		c.Preemptible += w.Preemptible
	}
	return c
}

// A deployment starts with expensive upstreams and nobody calls yet. They are given up for
// others only when these serve: a caller that comes meanwhile finds as many as before.
func TestWhatStandsIsHeldUntilOthersServe(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	plan := p.Plan(at(0), service(10, 0, 0))
	g.Expect(plan.Registering).To(BeTrue(), "more may show up")
	plan = p.Plan(at(1), service(30, 0, 0))
	g.Expect(plan.Level).To(Equal(180), "nobody knows what will come")
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 90, Preemptible: 90}))
	plan = p.Plan(at(4), service(30, 15, 0))
	g.Expect(plan.Registering).To(BeFalse())
	g.Expect(sum(&plan).Standard).To(Equal(45))
	plan = p.Plan(at(5), service(30, 30, 0))
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 3, Preemptible: 177}))
}

// The instance that orders is another one than before, or has started anew. It must not
// give up what stands because it knows nothing of the demand yet.
func TestANewHolderGivesNothingUp(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 100 {
		plan := p.Plan(at(float64(i)/4), service(1, 40, 5))
		g.Expect(sum(&plan).Preemptible).To(BeNumerically(">=", 120))
	}
	p = scale.NewPlanner(scale.Config{})
	blind := service(1, 40, 0)
	blind.Known = false
	plan := p.Plan(at(0), blind)
	g.Expect(plan.Level).To(Equal(180), "in doubt there are more")
}

// News of the demand stop, as when the instances are cut off. Nothing is given up.
func TestWithoutNewsTheLevelIsHeld(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 400 {
		p.Plan(at(float64(i)/4), service(1, 20, 30))
	}
	held := p.Plan(at(100), service(1, 20, 30)).Level
	blind := service(1, 20, 0)
	blind.Known = false
	for i := range 400 {
		g.Expect(p.Plan(at(100+float64(i)/4), blind).Level).To(Equal(held))
	}
}

// A deployment has a thousand upstreams a domain, and all are to be exchanged for others. Were
// all ordered at once, the control group would hear from twice as many upstreams, and tell
// thousands of changes to hundreds of instances: these lost touch with it and refused callers.
func TestManyUpstreamsComeInParts(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	s := service(1000, 0, 0)
	s.Max = 2000
	most := 0
	for i := range 1200 {
		plan := p.Plan(at(float64(i)/4), s)
		ordered := sum(&plan)
		most = max(most, ordered.Total())
		g.Expect(ordered.Total()).To(BeNumerically("<=", 4000+400))
		if i%20 != 0 {
			continue
		}
		for d := range s.Domains {
			ready, want := &s.Domains[d].Ready, plan.Targets[d]
			g.Expect(want.Preemptible-ready.Preemptible).To(BeNumerically("<=", 140), "at a time, in a domain")
			*ready = want.Counts
		}
	}
	plan := p.Plan(at(301), s)
	g.Expect(plan.Level).To(Equal(4000))
	g.Expect(sum(&plan).Standard).To(Equal(3), "all are exchanged in the end")
	g.Expect(most).To(BeNumerically(">", 3900))
}

// Demand triples within a second and falls again. Upstreams are ordered at once, and given
// back slowly: the next burst mostly comes soon.
func TestTheLevelGrowsAtOnceAndFallsSlowly(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 4000 {
		p.Plan(at(float64(i)/4), service(1, 20, 20))
	}
	g.Expect(p.Plan(at(1000), service(1, 20, 20)).Level).To(Equal(40))
	g.Expect(p.Plan(at(1000.25), service(1, 20, 60)).Level).To(Equal(120))
	g.Expect(p.Plan(at(1020), service(1, 40, 20)).Level).To(Equal(120))
	level := p.Plan(at(1032), service(1, 40, 20)).Level
	g.Expect(level).To(And(BeNumerically(">", 40), BeNumerically("<", 120)))
}

// All preemptible upstreams of a domain are taken back, with two seconds' notice. The others
// get more at the notice; what can't be had as preemptible ones is ordered as standard ones
// only as far as the demand could not be borne else.
func TestALossIsMadeUpForAtTheNotice(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 400 {
		p.Plan(at(float64(i)/4), service(1, 20, 30))
	}
	lost := service(1, 20, 30)
	lost.Domains[0].Ready.Preemptible, lost.Domains[0].Leaving.Preemptible = 0, 20
	plan := p.Plan(at(100), lost)
	g.Expect(plan.Targets[0].Preemptible).To(BeNumerically(">=", 19), "it goes on to want its own")
	g.Expect(plan.Targets[1].Preemptible).To(BeNumerically(">=", 28))
	g.Expect(plan.Targets[2].Preemptible).To(BeNumerically(">=", 28))
	g.Expect(sum(&plan).Standard).To(Equal(3))
	// Nobody has any more: what there is has to bear 30, and does.
	p.Refused("b")
	p.Refused("c")
	plan = p.Plan(at(100.5), lost)
	g.Expect(sum(&plan).Standard).To(Equal(3))
	lost.Need = 60
	plan = p.Plan(at(100.75), lost)
	g.Expect(sum(&plan).Standard).To(Equal(3), "it may be over before others serve")
	plan = p.Plan(at(102.25), lost)
	g.Expect(sum(&plan).Standard).To(Equal(20), "60 are needed, 40 preemptible ones are left")
	g.Expect(plan.Targets[0].Standard).To(Equal(18), "the cheapest domain has places")
	lost.Need = 30
	plan = p.Plan(at(104), lost)
	g.Expect(plan.Targets[0].Standard).To(Equal(18), "what boots is not given up for a moment's calm")
}

// An order of more was refused, and one of as many as there are is accepted: that proves
// nothing about more.
func TestARefusalHoldsUntilMoreWasHad(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 400 {
		p.Plan(at(float64(i)/4), service(1, 20, 30))
	}
	p.Refused("a")
	p.Accepted("a", 20)
	plan := p.Plan(at(100), service(1, 20, 45))
	g.Expect(plan.Targets[1].Preemptible).To(BeNumerically(">", plan.Targets[0].Preemptible-1))
	g.Expect(sum(&plan).Preemptible).To(BeNumerically(">", 87))
	p.Accepted("a", 29)
	plan = p.Plan(at(100.25), service(1, 20, 45))
	g.Expect(sum(&plan).Total()).To(Equal(90))
}

// Where there are no preemptible upstreams, standard ones follow the demand.
func TestWithoutPreemptibleOnes(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	s := service(20, 0, 40)
	s.PreemptiblePrice = 0
	p.Plan(at(0), s)
	plan := p.Plan(at(3), s)
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 80}))
}

// Whatever is told, orders stay within the limits, and never give up what the demand needs.
func TestOrdersStayWithinTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := scale.NewPlanner(scale.Config{})
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "looks") {
			now += rapid.Float64Range(0.05, 20).Draw(t, "pause")
			s := service(0, 0, rapid.Float64Range(0, 400).Draw(t, "need"))
			s.Known = rapid.Bool().Draw(t, "known")
			s.Max = rapid.IntRange(1, 60).Draw(t, "max")
			s.Min = rapid.IntRange(0, s.Max).Draw(t, "min")
			ready := 0
			for i := range s.Domains {
				d := &s.Domains[i]
				d.Ready.Standard = rapid.IntRange(0, s.Max).Draw(t, "standard")
				d.Ready.Preemptible = rapid.IntRange(0, s.Max-d.Ready.Standard).Draw(t, "preemptible")
				d.Leaving.Preemptible = rapid.IntRange(0, 20).Draw(t, "leaving")
				ready += d.Ready.Total()
				if rapid.Bool().Draw(t, "refused") {
					p.Refused(d.Name)
				}
			}
			plan := p.Plan(at(now), s)
			gives := 0
			for i, w := range plan.Targets {
				if w.Total() > s.Max || w.Total() < min(s.Min, s.Max) || w.Standard < 0 || w.Preemptible < 0 {
					t.Fatalf("%+v with %d to %d", w, s.Min, s.Max)
				}
				gives += max(0, s.Domains[i].Ready.Standard-w.Standard)
			}
			if gives > 0 && ready-gives < plan.MinServing {
				t.Fatalf("%d of %d given up, %d must serve", gives, ready, plan.MinServing)
			}
		}
	})
}
