package balance

import (
	"cmp"
	"slices"
)

// routeDemand is the number of engines that a route needs: minimum with engines at their highest
// permitted utilisation, comfortable without queueing and with short pauses between tokens.
type routeDemand struct {
	name                 string
	rank                 float64
	quick                bool
	minimum, comfortable float64
}

// demandsByRank returns the demand of each route, most urgent first.
func demandsByRank(loads map[string]RouteLoad, e *Engine) []routeDemand {
	most := longest(loads)
	list := make([]routeDemand, 0, len(loads))
	for name, l := range loads {
		c := routeDemand{name: name, rank: l.Rank, quick: quick(&l, most)}
		c.minimum = e.enginesFor(l.UncachedTokens+decodeCostTokens*l.Requests, l.SlotTime)
		c.comfortable = c.minimum
		if c.quick {
			c.comfortable = e.enginesFor(quickPrefillHeadroom*l.UncachedTokens+decodeCostTokens*l.Requests, quickSlotHeadroom*l.SlotTime)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b routeDemand) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return list
}

// Need is the number of engines that a set of requests needs: Minimum with engines at their highest
// permitted utilisation, Comfortable without queueing and with short pauses in quick streams.
type Need struct{ Minimum, Comfortable float64 }

// poolNeed is the number of engines that the quick and the other pool need for their comfortable
// demand; both are zero if the capacity of an engine is unknown.
type poolNeed struct{ quick, long float64 }

// ampleFactor is how many times its need a pool must have to be left as it is.
const ampleFactor = 2.0

func needOf(demands []routeDemand, e *Engine) (n poolNeed) {
	if e.PerMS == 0 || e.Slots == 0 {
		return poolNeed{}
	}
	for i := range demands {
		if demands[i].quick {
			n.quick += demands[i].comfortable
		} else {
			n.long += demands[i].comfortable
		}
	}
	return n
}

// amply reports whether both pools have engines to spare, and there is work for both.
func (n poolNeed) amply(quick, upstreams int) bool {
	return n.quick > 0 && n.long > 0 && float64(quick) >= ampleFactor*n.quick && float64(upstreams-quick) >= ampleFactor*n.long
}

// EstimateNeed returns the number of engines that the loads of a service's routes need.
func EstimateNeed(loads map[string]RouteLoad, e *Engine) (n Need) {
	for _, c := range demandsByRank(loads, e) {
		n.Minimum += c.minimum
		n.Comfortable += c.comfortable
	}
	return n
}

// enginesFor returns how many engines are needed for the given prompt tokens and seconds of slot
// time within loadWindow. While the capacity of an engine is unknown, it returns a number
// proportional to the tokens. Slots are included because engines with few slots run out of them long
// before prefill saturates: by prefill alone, 45 of 112 engines with 12 slots each ran 1 to 5 quick
// requests, while 13 to 25 long ones were in flight to each of the others.
func (e *Engine) enginesFor(tokens, slotTime float64) float64 {
	if e.PerMS == 0 || e.Slots == 0 {
		return tokens
	}
	prefill := tokens / (e.PerMS * 1000 * e.loadWindow()) / maxPrefillShare
	return max(prefill, slotTime/e.loadWindow()/e.Slots)
}

// quickEngineShare returns the share of the engines for quick requests. With enough engines, both
// pools get engines in proportion to their comfortable demand. Under a shortage, dividing the
// deficit equally would make urgent requests late while less urgent ones are on time. The most
// urgent routes then get their minimum first and the others the rest, except for the share of each
// route that is always admitted.
func quickEngineShare(demands []routeDemand, engines float64) float64 {
	quick, all := 0.0, 0.0
	for _, c := range demands {
		all += c.comfortable
		if c.quick {
			quick += c.comfortable
		}
	}
	if quick == 0 {
		return 0
	}
	if engines == 0 || all <= engines {
		return quick / all
	}
	return quickShareUnderShortage(demands, engines)
}

// maxReservedShare is the largest share of the engines reserved for the requests that are always
// admitted. Without this bound, a flood of the least urgent requests would leave no engines for the
// others.
const maxReservedShare = 0.5

// quickShareUnderShortage returns the share of the engines for quick requests when there are fewer
// engines than the comfortable demand.
func quickShareUnderShortage(demands []routeDemand, engines float64) float64 {
	minimum, comfortable := 0.0, 0.0
	for _, c := range demands {
		minimum += c.minimum
		comfortable += c.comfortable
	}
	reserved := min(minAdmittedShare, maxReservedShare*engines/minimum)
	left := engines - reserved*minimum
	quick, all := 0.0, 0.0
	assign := func(c *routeDemand, n float64) {
		all += n
		if c.quick {
			quick += n
		}
	}
	for i := range demands {
		c := &demands[i]
		more := min((1-reserved)*c.minimum, left)
		left -= more
		assign(c, reserved*c.minimum+more)
	}
	for i := range demands {
		assign(&demands[i], left*demands[i].comfortable/comfortable)
	}
	return quick / all
}
