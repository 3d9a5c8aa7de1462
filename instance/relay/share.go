package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

const (
	// spreadLoadAge is the age up to which loads of other instances say something about an upstream
	// of a plain service.
	spreadLoadAge = 1500 * time.Millisecond
	// loadTransit is the mean age of the loads of other instances on arrival: a member holds
	// a request for 250 ms and has the loads of other members 20 ms later than they.
	loadTransit = 150 * time.Millisecond
)

// shareSlots determines which slots of a service's upstreams are this instance's own. All instances
// that know the same upstreams and instances agree on it, and those of one failure domain have
// mostly slots there. The caller holds mu.
func (f *fleet) shareSlots(s *service) {
	if s.shared {
		return
	}
	s.shared = true
	order := make([]*upstream, s.len())
	for i := range order {
		order[i] = s.index.At(i)
	}
	slices.SortStableFunc(order, func(a, b *upstream) int { return cmp.Compare(a.domain, b.domain) })
	list := make([]balance.Shared, len(order))
	for i, u := range order {
		list[i] = balance.Shared{Domain: u.domain, Slots: u.slots}
	}
	var positions [][]int
	positions, s.ownSlots = (balance.Share{Rank: f.rank - 1, Count: f.forwarders}).Positions(list)
	for i, u := range order {
		u.ownSlots = positions[i]
	}
}

// nextSlot returns the position of the first own slot without a request of this instance, zero if
// there is none.
func (u *upstream) nextSlot() int {
	if u.active < len(u.ownSlots) {
		return u.ownSlots[u.active]
	}
	return 0
}

// loadAgeMS returns the age of the loads of other instances in milliseconds: zero if there are no
// others, infinite if the loads say nothing any more.
func (f *fleet) loadAgeMS(now time.Time) float64 {
	age := now.Sub(f.remoteLoadsAt)
	switch {
	case f.forwarders <= 1:
		return 0
	case age > spreadLoadAge-loadTransit:
		// Without any report the difference is the longest duration.
		return math.Inf(1)
	}
	return float64(age+loadTransit) / float64(time.Millisecond)
}

// evenness is how evenly the upstreams of a service are loaded, as far as this instance knows.
type evenness struct {
	// mean and busiest are the requests in flight at an upstream on average and at most, and waiting
	// those that exceed the slots of their upstreams.
	mean             float64
	busiest, waiting int
}

func (f *fleet) evenness(service string) (e evenness) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.len() == 0 {
		return e
	}
	fresh, all := time.Since(f.remoteLoadsAt) < remoteLoadTTL, 0
	for _, u := range s.ready.list {
		active := u.active
		if fresh {
			active += f.remoteLoads[u.incarnation].Active
		}
		all += active
		e.busiest = max(e.busiest, active)
		e.waiting += max(0, active-u.slots)
	}
	e.mean = float64(all) / float64(s.len())
	return e
}
