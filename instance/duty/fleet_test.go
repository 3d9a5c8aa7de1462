package duty_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/duty"
)

// boot is how long an ordered upstream takes to serve.
const boot = 4 * time.Second

// fleet is the upstreams of a service in three domains, as orders make them.
type fleet struct {
	mu   sync.Mutex
	need float64
	// ordered is what was accepted, at a time, and ready what served before that.
	ordered map[subject]int
	at      map[subject]time.Time
	before  map[subject]int
	// none lists domains without preemptible upstreams to be had.
	none map[string]bool
	// taken and refused count orders.
	taken, refused int
}

type subject struct {
	domain      string
	preemptible bool
}

var domains = []string{"x", "y", "z"}

func newFleet() *fleet {
	f := &fleet{ordered: map[subject]int{}, at: map[subject]time.Time{}, before: map[subject]int{}, none: map[string]bool{}}
	for _, d := range domains {
		f.ordered[subject{d, false}] = 10
	}
	return f
}

func (f *fleet) set(change func(f *fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// ready needs mu.
func (f *fleet) ready(k subject) int {
	if time.Since(f.at[k]) < boot {
		return min(f.before[k], f.ordered[k])
	}
	return f.ordered[k]
}

// take takes an order; false means that there are none.
func (f *fleet) take(o *duty.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := subject{o.Domain, o.Preemptible}
	if o.Preemptible && f.none[o.Domain] && o.Count > f.ready(k) {
		f.refused++
		return false
	}
	f.taken++
	f.before[k] = f.ready(k)
	f.ordered[k], f.at[k] = o.Count, time.Now()
	return true
}

// lose takes back the preemptible upstreams of a domain.
func (f *fleet) lose(domain string) {
	k := subject{domain, true}
	f.ordered[k], f.before[k], f.none[domain] = 0, 0, true
}

// look tells what is known of the service.
func (f *fleet) look() []scale.Service {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := scale.Service{Name: "s", Min: 1, Max: 40, BootTime: boot, PreemptiblePrice: 0.2, Need: f.need, Known: true}
	for _, d := range domains {
		s.Domains = append(s.Domains, scale.Domain{
			Name: d, Price: 1, Ready: scale.Counts{Standard: f.ready(subject{d, false}), Preemptible: f.ready(subject{d, true})},
		})
	}
	return []scale.Service{s}
}

func (f *fleet) counts() (taken, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.taken, f.refused
}

// least returns the fewest preemptible upstreams that serve in a domain.
func (f *fleet) least() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := 1 << 30
	for _, d := range domains {
		least = min(least, f.ready(subject{d, true}))
	}
	return least
}

// What stands is exchanged for preemptible upstreams at the start; after that calls are made
// only when something changes.
func TestOrdersAreGivenOnce(t *testing.T) {
	play(t, func(w *world) {
		w.fleet.set(func(f *fleet) { f.need = 45 })
		time.Sleep(30 * time.Second)
		Expect(w.fleet.look()[0].Domains[0].Ready.Standard).To(Equal(1))
		Expect(w.fleet.least()).To(BeNumerically(">=", 29))
		taken, _ := w.fleet.counts()
		Expect(taken).To(BeNumerically("<", 20))
		time.Sleep(20 * time.Second)
		again, _ := w.fleet.counts()
		Expect(again).To(Equal(taken))
	})
}

// The holder is killed while all upstreams are needed. Its successor knows neither what was
// ordered nor what was needed before, and must not give up what serves.
func TestANewHolderLeavesWhatServes(t *testing.T) {
	play(t, func(w *world) {
		w.fleet.set(func(f *fleet) { f.need = 55 })
		time.Sleep(20 * time.Second)
		serve := w.fleet.least()
		for range 5 {
			w.holder().kill()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				Expect(w.fleet.least()).To(BeNumerically(">=", serve))
			}
			for _, name := range []string{"a", "b", "c"} {
				if w.nodes[name] == nil {
					w.run(name)
				}
			}
		}
	})
}

// A domain's preemptible upstreams are taken back and not to be had for ten seconds. It is
// asked once a second, and has them again a second after they are to be had.
func TestARefusedOrderIsTriedAgain(t *testing.T) {
	play(t, func(w *world) {
		w.fleet.set(func(f *fleet) { f.need = 45 })
		time.Sleep(20 * time.Second)
		w.fleet.set(func(f *fleet) { f.lose("y") })
		time.Sleep(17 * time.Second)
		_, refused := w.fleet.counts()
		Expect(refused).To(And(BeNumerically(">", 5), BeNumerically("<=", 18)), "calls cost")
		w.fleet.set(func(f *fleet) { f.none["y"] = false })
		time.Sleep(1500*time.Millisecond + boot)
		Expect(w.fleet.least()).To(BeNumerically(">=", 29))
	})
}

// An operator tries the settings of autoscaling: all members plan, and nothing is ordered.
// Usage is reported as ever.
func TestADryRunOrdersNothing(t *testing.T) {
	play(t, func(w *world) {
		for _, n := range w.live() {
			n.kill()
		}
		w.dryRun = true
		for _, name := range []string{"a", "b", "c"} {
			w.run(name)
		}
		before, _ := w.fleet.counts()
		begun := time.Now()
		w.fleet.set(func(f *fleet) { f.need = 45 })
		time.Sleep(30 * time.Second)
		taken, refused := w.fleet.counts()
		Expect(taken).To(Equal(before))
		Expect(refused).To(BeZero())
		orders := w.holder().Service.View().Orders
		Expect(orders).NotTo(BeEmpty())
		Expect(orders[1].Wanted).To(BeNumerically(">=", 29), "what would be ordered is told")
		w.reported(begun)
	})
}
