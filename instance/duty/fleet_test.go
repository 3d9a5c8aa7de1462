package duty_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/duty"
)

// boot is the time from an order until an upstream is ready.
const boot = 4 * time.Second

// fleet is the set of upstreams of a service in three domains, as changed by orders.
type fleet struct {
	mu   sync.Mutex
	need float64
	// ordered is the accepted count, accepted at the time in at, and before the number that was ready
	// before that.
	ordered map[subject]int
	at      map[subject]time.Time
	before  map[subject]int
	// unavailable lists domains in which no preemptible upstreams are available.
	unavailable map[string]bool
	// accepted and refused count orders.
	accepted, refused int
}

type subject struct {
	domain      string
	preemptible bool
}

var domains = []string{"x", "y", "z"}

func newFleet() *fleet {
	f := &fleet{ordered: map[subject]int{}, at: map[subject]time.Time{}, before: map[subject]int{}, unavailable: map[string]bool{}}
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

// ready returns the number of ready upstreams. The caller must hold mu.
func (f *fleet) ready(k subject) int {
	if time.Since(f.at[k]) < boot {
		return min(f.before[k], f.ordered[k])
	}
	return f.ordered[k]
}

// accept accepts an order; false means that no upstreams are available.
func (f *fleet) accept(o *duty.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := subject{o.Domain, o.Preemptible}
	if o.Preemptible && f.unavailable[o.Domain] && o.Count > f.ready(k) {
		f.refused++
		return false
	}
	f.accepted++
	f.before[k] = f.ready(k)
	f.ordered[k], f.at[k] = o.Count, time.Now()
	return true
}

// reclaim takes back the preemptible upstreams of a domain.
func (f *fleet) reclaim(domain string) {
	k := subject{domain, true}
	f.ordered[k], f.before[k], f.unavailable[domain] = 0, 0, true
}

// services returns the state of the service.
func (f *fleet) services() []scale.Service {
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
	return f.accepted, f.refused
}

// minPreemptible returns the smallest number of ready preemptible upstreams in a domain.
func (f *fleet) minPreemptible() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := 1 << 30
	for _, d := range domains {
		least = min(least, f.ready(subject{d, true}))
	}
	return least
}

// Existing upstreams are replaced by preemptible ones at the start. After that, calls are made only
// when something changes.
func TestOrdersAreGivenOnce(t *testing.T) {
	simulate(t, func(w *simulation) {
		w.fleet.set(func(f *fleet) { f.need = 45 })
		time.Sleep(30 * time.Second)
		Expect(w.fleet.services()[0].Domains[0].Ready.Standard).To(Equal(1))
		Expect(w.fleet.minPreemptible()).To(BeNumerically(">=", 29))
		taken, _ := w.fleet.counts()
		Expect(taken).To(BeNumerically("<", 20))
		time.Sleep(20 * time.Second)
		again, _ := w.fleet.counts()
		Expect(again).To(Equal(taken))
	})
}

// The holder is killed while all upstreams are needed. Its successor knows neither what was ordered
// nor the demand before, and must not release ready upstreams.
func TestNewHolderKeepsServingUpstreams(t *testing.T) {
	simulate(t, func(w *simulation) {
		w.fleet.set(func(f *fleet) { f.need = 55 })
		time.Sleep(20 * time.Second)
		serve := w.fleet.minPreemptible()
		for range 5 {
			w.holder().kill()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				Expect(w.fleet.minPreemptible()).To(BeNumerically(">=", serve))
			}
			for _, name := range []string{"a", "b", "c"} {
				if w.members[name] == nil {
					w.run(name)
				}
			}
		}
	})
}

// The preemptible upstreams of a domain are reclaimed and unavailable for 17 seconds. The order must
// be retried about once a second, and be met a second after they are available again.
func TestRefusedOrderIsRetried(t *testing.T) {
	simulate(t, func(w *simulation) {
		w.fleet.set(func(f *fleet) { f.need = 45 })
		time.Sleep(20 * time.Second)
		w.fleet.set(func(f *fleet) { f.reclaim("y") })
		time.Sleep(17 * time.Second)
		_, refused := w.fleet.counts()
		Expect(refused).To(And(BeNumerically(">", 5), BeNumerically("<=", 18)), "calls cost")
		w.fleet.set(func(f *fleet) { f.unavailable["y"] = false })
		time.Sleep(1500*time.Millisecond + boot)
		Expect(w.fleet.minPreemptible()).To(BeNumerically(">=", 29))
	})
}

// An operator tries the autoscaling settings in a dry run: all members plan, and nothing is ordered.
// Usage is still reported.
func TestDryRunOrdersNothing(t *testing.T) {
	simulate(t, func(w *simulation) {
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
		Expect(orders[1].Wanted).To(BeNumerically(">=", 29), "the view shows what would be ordered")
		w.checkReported(begun)
	})
}
