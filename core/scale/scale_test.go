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

// service returns a service in three domains with different prices.
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

// Guards against giving up expensive upstreams before their replacements serve: after the start
// without any requests yet, the first caller must find as much capacity as before.
func TestKeepsUpstreamsUntilReplacementsServe(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	plan := p.Plan(at(0), service(10, 0, 0))
	g.Expect(plan.Registering).To(BeTrue(), "more may register")
	plan = p.Plan(at(1), service(30, 0, 0))
	g.Expect(plan.Level).To(Equal(180), "the demand is not known yet")
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 90, Preemptible: 90}))
	plan = p.Plan(at(4), service(30, 15, 0))
	g.Expect(plan.Registering).To(BeFalse())
	g.Expect(sum(&plan).Standard).To(Equal(45))
	plan = p.Plan(at(5), service(30, 30, 0))
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 3, Preemptible: 177}))
}

// After a restart or a change of the instance that orders, existing upstreams must be kept, although
// the demand is not known yet.
func TestNewPlannerKeepsExistingUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 100 {
		plan := p.Plan(at(float64(i)/4), service(1, 40, 5))
		g.Expect(sum(&plan).Preemptible).To(BeNumerically(">=", 120))
	}
	p = scale.NewPlanner(scale.Config{})
	unknownDemand := service(1, 40, 0)
	unknownDemand.Known = false
	plan := p.Plan(at(0), unknownDemand)
	g.Expect(plan.Level).To(Equal(180), "starts with the maximum")
}

// While the demand is unknown, for example because instances are cut off, the level is held.
func TestUnknownDemandHoldsLevel(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 400 {
		p.Plan(at(float64(i)/4), service(1, 20, 30))
	}
	level := p.Plan(at(100), service(1, 20, 30)).Level
	unknownDemand := service(1, 20, 0)
	unknownDemand.Known = false
	for i := range 400 {
		g.Expect(p.Plan(at(100+float64(i)/4), unknownDemand).Level).To(Equal(level))
	}
}

// Guards against exchanging all upstreams of a large deployment at once: twice as many would report
// to the control group, and thousands of changes would be announced to hundreds of instances, which
// lost contact and refused requests when this happened.
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
			g.Expect(want.Preemptible-ready.Preemptible).To(BeNumerically("<=", 140), "pending at a time in a domain")
			*ready = want.Counts
		}
	}
	plan := p.Plan(at(301), s)
	g.Expect(plan.Level).To(Equal(4000))
	g.Expect(sum(&plan).Standard).To(Equal(3), "all are replaced eventually")
	g.Expect(most).To(BeNumerically(">", 3900))
}

// The demand triples within a second and falls again. Upstreams are ordered immediately and released
// slowly, because the next burst usually follows soon.
func TestLevelRisesImmediatelyAndFallsSlowly(t *testing.T) {
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

// All preemptible upstreams of a domain are reclaimed with two seconds' notice. The other domains
// get more at the notice. Standard ones replace unavailable preemptible ones only as far as the
// demand requires.
func TestReplacesReclaimedUpstreamsAtNotice(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	for i := range 400 {
		p.Plan(at(float64(i)/4), service(1, 20, 30))
	}
	lost := service(1, 20, 30)
	lost.Domains[0].Ready.Preemptible, lost.Domains[0].Leaving.Preemptible = 0, 20
	plan := p.Plan(at(100), lost)
	g.Expect(plan.Targets[0].Preemptible).To(BeNumerically(">=", 19), "the domain's own target is kept")
	g.Expect(plan.Targets[1].Preemptible).To(BeNumerically(">=", 28))
	g.Expect(plan.Targets[2].Preemptible).To(BeNumerically(">=", 28))
	g.Expect(sum(&plan).Standard).To(Equal(3))
	// No domain has more available; the remaining upstreams suffice for a need of 30.
	p.Refused("b")
	p.Refused("c")
	plan = p.Plan(at(100.5), lost)
	g.Expect(sum(&plan).Standard).To(Equal(3))
	lost.Need = 60
	plan = p.Plan(at(100.75), lost)
	g.Expect(sum(&plan).Standard).To(Equal(3), "the demand may end before others serve")
	plan = p.Plan(at(102.25), lost)
	g.Expect(sum(&plan).Standard).To(Equal(20), "60 are needed, 40 preemptible ones are left")
	g.Expect(plan.Targets[0].Standard).To(Equal(18), "the cheapest domain has free places")
	lost.Need = 30
	plan = p.Plan(at(104), lost)
	g.Expect(plan.Targets[0].Standard).To(Equal(18), "booting upstreams survive a brief lull")
}

// After a refusal of a larger order, the acceptance of an order for the existing number does not
// show that there are more.
func TestRefusalAppliesUntilLargerOrderIsAccepted(t *testing.T) {
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

// Without preemptible upstreams, standard ones follow the demand.
func TestWithoutPreemptibleOnes(t *testing.T) {
	g := NewWithT(t)
	p := scale.NewPlanner(scale.Config{})
	s := service(20, 0, 40)
	s.PreemptiblePrice = 0
	p.Plan(at(0), s)
	plan := p.Plan(at(3), s)
	g.Expect(sum(&plan)).To(Equal(scale.Counts{Standard: 80}))
}

// Orders must stay within the limits and keep the upstreams that the demand requires, whatever the
// input.
func TestOrdersStayWithinLimits(t *testing.T) {
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
			released := 0
			for i, w := range plan.Targets {
				if w.Total() > s.Max || w.Total() < min(s.Min, s.Max) || w.Standard < 0 || w.Preemptible < 0 {
					t.Fatalf("%+v with %d to %d", w, s.Min, s.Max)
				}
				released += max(0, s.Domains[i].Ready.Standard-w.Standard)
			}
			if released > 0 && ready-released < plan.MinServing {
				t.Fatalf("%d of %d released, %d must serve", released, ready, plan.MinServing)
			}
		}
	})
}
