package balance

import (
	"math"
	"time"
)

// The loads of other instances are some hundred milliseconds old, several times the duration of a
// request to a plain service. If all instances send their requests to the upstream that had the
// least load then, it gets all requests of that time. Each instance therefore has slots of its own,
// which it fills first: its own requests are known exactly. Beyond them it chooses at random, with
// weights by the expected load.

// ReconnectInterval is the time without a new connection after which an instance with a light load chooses
// an upstream of a plain service as if it had an idle one. Otherwise an upstream that can be used again is
// hardly chosen, as no instance has a connection to it. It is a little shorter than an idle connection is
// kept by default, so that an upstream whose connection has expired is due. Under load own slots bring
// requests there, and this rule would open a fifth more connections at 80 instances.
const ReconnectInterval = 3 * time.Second

const (
	// connectedWeight is how much more likely an upstream with an idle connection is. With 80
	// instances and a load of 0.6 it reduces new connections from 0.15 per request to 0.07.
	connectedWeight = 8.0
	// minSharedLoad is the mean number of requests per slot from which own slots are filled first. Below
	// it a random choice finds a free slot nearly always, and the first own slots alone would get all
	// requests of an instance: its other upstreams would not be known, nor used again after a failure.
	minSharedLoad = 0.2
	// maxOwnSlowness is the slowness up to which own slots are filled first. A slower upstream gets
	// only what the weights leave for it.
	maxOwnSlowness = 3.0
)

// spreads reports whether the request is for a plain service of which all upstreams are listed. Of a
// large service each request considers a few upstreams drawn at random, which spreads them already.
func (r *Request) spreads(list []Upstream) bool {
	return r.LoadAgeMS > 0 && !r.Partial && r.Affinity == 0 && (r.Rate <= 0 || len(list) > 0 && list[0].Capacity == 0)
}

// spread chooses among upstreams whose loads are partly old.
func (c *costs) spread(list []Upstream, may func(*Upstream) bool) int {
	if at := c.granted(list, may); at != None {
		return at
	}
	light := c.loadPerSlot(list, may) < minSharedLoad
	if !light {
		if at := c.ownSlot(list, may); at != None {
			return at
		}
	}
	return c.draw(list, may, light)
}

// granted returns the upstream at which a slot was granted, unless this instance knows it to be slow or
// to fail; None if there is no such grant.
func (c *costs) granted(list []Upstream, may func(*Upstream) bool) int {
	for i := range list {
		if u := &list[i]; u.Granted {
			if may(u) && !c.isPoor(u) {
				return i
			}
			break
		}
	}
	return None
}

// isPoor reports whether an upstream is too slow, or fails too often, for slots to be filled there first.
func (c *costs) isPoor(u *Upstream) bool { return u.Slowness > maxOwnSlowness || c.fails(u) }

// loadPerSlot returns the mean number of requests per slot, as reported or at the own slots, whichever is
// higher. A mean of many upstreams changes less than the load of one, so old reports tell it well enough.
func (c *costs) loadPerSlot(list []Upstream, may func(*Upstream) bool) float64 {
	active, own, slots := 0, 0, 0
	for i := range list {
		if u := &list[i]; may(u) {
			active += u.Active
			own += u.Own
			slots += u.Slots
		}
	}
	return max(float64(active)/float64(max(1, slots)), float64(own)/float64(max(1, c.request.OwnSlots)))
}

// ownSlot returns the upstream with the free slot of this instance that costs least, where the
// position of the slot counts as load; None if no slot is free.
func (c *costs) ownSlot(list []Upstream, may func(*Upstream) bool) int {
	best, lowest := None, math.Inf(1)
	for i := range list {
		u := &list[i]
		if u.NextSlot == 0 || !may(u) || c.isPoor(u) {
			continue
		}
		cost := c.plainCost(u, float64(u.NextSlot-1), c.request.OwnSlots)
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// draw draws an upstream at random, the more likely the less it costs at the load that it is
// expected to have. light says that few slots are taken.
func (c *costs) draw(list []Upstream, may func(*Upstream) bool, light bool) int {
	mean, trust := c.othersPerSlot(list, may), c.trust()
	weight := func(u *Upstream) float64 {
		if !may(u) {
			return 0
		}
		others := trust*float64(u.Active-u.Own) + (1-trust)*mean*float64(u.Slots)
		// Powers of the cost from 2 to 16 gave the same shares of waiting requests, within 0.02; higher
		// ones send fewer requests to slow upstreams.
		cost := c.plainCost(u, float64(u.Own)+others, u.Slots)
		w := 1 / (cost * cost * cost * cost)
		if u.Connected || light && u.ReconnectDue {
			w *= connectedWeight
		}
		return w
	}
	sum, last := 0.0, None
	for i := range list {
		sum += weight(&list[i])
	}
	left := c.request.Random * sum
	for i := range list {
		w := weight(&list[i])
		if w == 0 {
			continue
		}
		last = i
		if left -= w; left < 0 {
			break
		}
	}
	return last
}

// othersPerSlot returns the mean number of requests of other instances per slot.
func (c *costs) othersPerSlot(list []Upstream, may func(*Upstream) bool) float64 {
	others, slots := 0, 0
	for i := range list {
		if u := &list[i]; may(u) {
			others += u.Active - u.Own
			slots += u.Slots
		}
	}
	return float64(others) / float64(max(1, slots))
}

// trust returns the share of the requests of other instances that are expected to be still in
// flight: the reported load of an upstream tells nothing about those that came since.
func (c *costs) trust() float64 {
	if c.request.HoldMS <= 0 {
		return 0
	}
	return math.Exp(-c.request.LoadAgeMS / c.request.HoldMS)
}

// fails reports whether the upstream fails more requests than its peers.
func (c *costs) fails(u *Upstream) bool { return u.Errors-c.baselineErrors > failureTolerance }
