package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against capacity that small organisations leave and nobody gets, and against levels above the capacity.
func TestLevelLendsWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Level(10, []float64{1, 2, 20})).To(Equal(7.0))
	g.Expect(Level(10, []float64{20, 20})).To(Equal(5.0))
	g.Expect(math.IsInf(Level(10, []float64{4, 6}), 1)).To(BeTrue())
	g.Expect(math.IsInf(Level(0, nil), 1)).To(BeTrue())
}

// Guards against a deployment with one organisation, or none, that is treated otherwise than before.
func TestOneOrganisationGetsTheShareOfAll(t *testing.T) {
	g := NewWithT(t)
	s, now := New(), time.Unix(100, 0)
	s.Add("", 10)
	g.Expect(s.Admitted(now, "", 0, 40, 0.6)).To(Equal(0.6))
	s.SetRemote(now, Demand{"": 30})
	g.Expect(s.Admitted(now.Add(time.Second), "", 0, 40, 0.6)).To(Equal(0.6))
}

// Guards against an organisation that is starved since it asks for many times the level.
func TestNoOrganisationIsStarved(t *testing.T) {
	g := NewWithT(t)
	s, now := New(), time.Unix(100, 0)
	s.Add("large", 1000)
	for i := range 9 {
		s.Add(fmt.Sprint("small", i), 11)
	}
	g.Expect(s.Admitted(now, "small1", 1, 1099, 0.1)).To(Equal(1.0))
	g.Expect(s.Admitted(now, "large", 1, 1099, 0.1)).To(BeNumerically("~", MinShare*0.1, 1e-9))
}

// Guards against levels by reports of long ago, after this instance has lost contact.
func TestOldReportsAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	s, now := New(), time.Unix(100, 0)
	s.Add("a", 10)
	s.Add("b", 10)
	s.SetRemote(now, Demand{"a": 980})
	g.Expect(s.Admitted(now, "a", 0, 1000, 0.5)).To(BeNumerically("<", 0.6))
	g.Expect(s.Admitted(now, "b", 0, 1000, 0.5)).To(Equal(1.0))
	later := now.Add(maxRemoteAge + time.Millisecond)
	g.Expect(s.Admitted(later, "a", 0, 1000, 0.5)).To(BeNumerically("~", s.Admitted(later, "b", 0, 1000, 0.5), 1e-9), "by the own demand")
}

// Guards against capacity that is left unused since a request counts against itself: work is heavy-tailed (log-normal,
// sigma 1.1), demand 1.3 times the capacity, and 78 instances have reports that are 0.25 to 0.5 s old.
func TestWorkOfVaryingSizeUsesTheCapacity(t *testing.T) {
	const sigma, tau, perSecond, step, instances = 1.1, 1.0, 250.0, 0.01, 78
	g, rng := NewWithT(t), rand.New(rand.NewPCG(1, 2))
	rate, sum := zipf(24)
	capacity := perSecond * math.Exp(sigma*sigma/2) / 1.3
	shares := make([]*Shares, instances)
	for i := range shares {
		shares[i] = New()
	}
	history, total, asked, admitted, drawn := []Demand{}, 0.0, 0.0, 0.0, 0.0
	for at := range 3000 {
		now, decay := time.Unix(100, int64(at)*int64(10*time.Millisecond)), math.Exp(-step/tau)
		total *= decay
		for _, s := range shares {
			s.Decay(decay)
		}
		if at%25 == 0 {
			history = append(history, sumOf(shares))
			spread(shares, now, history[max(0, len(history)-2)])
		}
		for i, r := range rate {
			for n := perSecond * r / sum * step; rng.Float64() < n; n-- {
				work, name, s := math.Exp(sigma*rng.NormFloat64()), fmt.Sprint("o", i), shares[rng.IntN(instances)]
				s.Add(name, work)
				total += work
				if at < 500 {
					continue
				}
				share := min(1, capacity*tau/total)
				asked, drawn = asked+work, drawn+share*work
				admitted += work * s.Admitted(now, name, work, total, share)
			}
		}
	}
	t.Logf("admitted %.3f of the work, %.3f by the share of all", admitted/asked, drawn/asked)
	g.Expect(admitted).To(BeNumerically(">=", 0.99*drawn))
	g.Expect(admitted).To(BeNumerically("<=", 1.02*drawn))
}

// fleet plays instances that admit the requests of 24 organisations (Zipf, exponent 1.2) for 10 s, one of which asks 7.5
// times its usual from 2.0 to 8.5 s. The demand is then 1.3 times the capacity. The given number of instances report
// their demand; reports are 0.36 s old. It
// returns the share that is served during the flood, by organisation and of the capacity, and the organisations that
// then ask for no more than their fair share.
func fleet(instances, flooding int, flood, fair bool, reporting int) (served []float64, used float64, within []int) {
	const (
		organisations, capacity, tau = 24, 2000.0, 0.75
		step                         = 10 * time.Millisecond
		reportEvery, reportAge       = 6, 6 // steps between two reports, and reports
	)
	rng := rand.New(rand.NewPCG(1, uint64(flooding)))
	rate, sum := zipf(organisations)
	sum += 6.5 * rate[flooding]
	rates := map[bool][]float64{false: rate, true: slices.Clone(rate)}
	if flood {
		rates[true][flooding] *= 7.5
	}
	shares := make([]*Shares, instances)
	for i := range shares {
		shares[i] = New()
	}
	asked, admitted := make([]float64, organisations), make([]float64, organisations)
	total, history, start := 0.0, []Demand{}, time.Unix(100, 0)
	for at := range int(10 * time.Second / step) {
		now := start.Add(time.Duration(at) * step)
		flooded := at >= 200 && at < 850
		decay := math.Exp(-step.Seconds() / tau)
		total *= decay
		for _, s := range shares {
			s.Decay(decay)
		}
		if reporting > 0 && at%reportEvery == 0 {
			history = append(history, sumOf(shares[:reporting]))
			spread(shares, now, history[max(0, len(history)-1-reportAge)])
		}
		for i, r := range rates[flooded] {
			name := fmt.Sprint("o", i)
			for n := 1.3 * capacity * r / sum * step.Seconds(); rng.Float64() < n; n-- {
				s := shares[rng.IntN(instances)]
				s.Add(name, 1)
				total++
				share := min(1, capacity*tau/total)
				if fair {
					share = s.Admitted(now, name, 1, total, share)
				}
				if !flooded {
					continue
				}
				asked[i]++
				if rng.Float64() < share {
					admitted[i]++
				}
			}
		}
	}
	for i := range asked {
		served = append(served, admitted[i]/max(1, asked[i]))
		used += admitted[i] / (capacity * 6.5)
	}
	return served, used, withinShare(capacity*6.5, asked)
}

// zipf returns the rates of organisations and their sum.
func zipf(organisations int) (rate []float64, sum float64) {
	for i := range organisations {
		rate = append(rate, math.Pow(float64(i+1), -1.2))
		sum += rate[i]
	}
	return rate, sum
}

// sumOf returns the demand that all instances report.
func sumOf(shares []*Shares) Demand {
	all := Demand{}
	for _, s := range shares {
		for name, work := range s.Largest(16) {
			all[name] += work
		}
	}
	return all
}

// spread tells all instances an earlier sum, without their own part.
func spread(shares []*Shares, now time.Time, sum Demand) {
	for _, s := range shares {
		others := Demand{}
		for name, work := range sum {
			others[name] = max(0, work-s.local[name]*s.scale)
		}
		s.SetRemote(now, others)
	}
}

// withinShare returns the organisations that ask for no more than their fair share of a capacity.
func withinShare(capacity float64, asked []float64) (within []int) {
	level := Level(capacity, slices.Clone(asked))
	for i := range asked {
		if asked[i] <= level {
			within = append(within, i)
		}
	}
	return within
}

// Guards against an organisation whose flood takes from those that ask no more than their fair share. Which
// one floods decides how many are beyond their share without it.
func TestFloodTakesOnlyFromTheFlooding(t *testing.T) {
	for _, instances := range []int{2, 88} {
		for _, flooding := range []int{0, 9} {
			g := NewWithT(t)
			before, _, _ := fleet(instances, flooding, false, true, instances)
			today, usedToday, _ := fleet(instances, flooding, true, false, instances)
			served, used, within := fleet(instances, flooding, true, true, instances)
			alone, usedAlone, _ := fleet(instances, flooding, true, true, 0)
			least, leastToday, leastAlone := 1.0, 1.0, 1.0
			for _, i := range within {
				least, leastToday = min(least, served[i]/before[i]), min(leastToday, today[i]/before[i])
				leastAlone = min(leastAlone, alone[i]/before[i])
			}
			t.Logf("%2d instances, number %d floods: least served %.3f (by own demand %.3f, today %.3f), flooding %.3f (%.3f, %.3f), used %.3f (%.3f, %.3f); %d within their share",
				instances, flooding, least, leastAlone, leastToday, served[flooding], alone[flooding], today[flooding], used, usedAlone, usedToday, len(within))
			g.Expect(least).To(BeNumerically(">=", 0.95))
			g.Expect(used).To(BeNumerically(">=", 0.95*usedToday))
		}
	}
}

// Guards against capacity that is left unused since instances that see no shortage, or of an older build, do not
// report their demand by organisation.
func TestDemandThatIsNotReportedLeavesNoCapacityUnused(t *testing.T) {
	for _, reporting := range []int{8, 29, 60} {
		for _, flooding := range []int{0, 9} {
			g := NewWithT(t)
			before, _, _ := fleet(88, flooding, false, true, reporting)
			_, usedByAll, _ := fleet(88, flooding, true, false, reporting)
			served, used, within := fleet(88, flooding, true, true, reporting)
			least := 1.0
			for _, i := range within {
				least = min(least, served[i]/before[i])
			}
			t.Logf("%d of 88 instances report, number %d floods: used %.3f (%.3f by the share of all), least served %.3f", reporting, flooding, used, usedByAll, least)
			g.Expect(used).To(BeNumerically(">=", 0.95*usedByAll))
			g.Expect(least).To(BeNumerically(">=", 0.95))
		}
	}
}

// BenchmarkAdmitted measures a decision under overload right after a report, by the number of organisations: all
// decisions of the following refreshInterval cost a map look-up.
func BenchmarkAdmitted(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, total := New(), 0.0
			for i := range n {
				work := 1 + float64(i%100)
				s.Add(fmt.Sprint("o", i), work)
				total += work
			}
			now := time.Unix(100, 0)
			s.SetRemote(now, s.Largest(128))
			for i := 0; b.Loop(); i++ {
				now = now.Add(refreshInterval)
				s.remoteAt = now
				s.Admitted(now, "o7", 1, total, 0.7)
			}
		})
	}
}
