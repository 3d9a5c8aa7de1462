package balance

import (
	"cmp"
	"slices"
)

// claim is how many engines a route asks for. least is what its requests need at an engine
// that is as busy as it may be, ample what they need to be answered without a queue and
// beside short pauses.
type claim struct {
	name         string
	rank         float64
	quick        bool
	least, ample float64
}

// claimsOf returns the claims, the most urgent first.
func claimsOf(loads map[string]RouteLoad, e *Engine) []claim {
	most := longest(loads)
	list := make([]claim, 0, len(loads))
	for name, l := range loads {
		c := claim{name: name, rank: l.Rank, quick: quick(&l, most)}
		c.least = e.need(l.Unread+answering*l.Requests, l.SlotTime)
		c.ample = c.least
		if c.quick {
			c.ample = e.need(quickRoom*l.Unread+answering*l.Requests, slotRoom*l.SlotTime)
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	return list
}

// Need is how many engines some requests need: Least if these are as busy as they may be,
// Ample if nothing waits and the pauses of quick requests stay short.
type Need struct{ Minimum, Comfortable float64 }

// EstimateNeed returns what the loads of a service's routes need.
func EstimateNeed(loads map[string]RouteLoad, e *Engine) (n Need) {
	for _, c := range claimsOf(loads, e) {
		n.Minimum += c.least
		n.Comfortable += c.ample
	}
	return n
}

// need returns how many engines are needed for so many prompt tokens and so many seconds of
// slots in loadWindow, or where it is not known what an engine can do, a number in
// proportion to that. Engines with few slots run out of them long before they read all the
// time: by what is to be read alone, 45 of 112 engines with 12 slots each ran 1 to 5 quick
// requests, while 13 to 25 long ones were on the way to each other.
func (e *Engine) need(tokens, slotTime float64) float64 {
	if e.PerMS == 0 || e.Slots == 0 {
		return tokens
	}
	reading := tokens / (e.PerMS * 1000 * e.loadWindow()) / busiest
	return max(reading, slotTime/e.loadWindow()/e.Slots)
}

// quickPart returns which part of the engines is for quick requests. While there are enough
// engines, each side gets them in proportion to what it has ample with. Where there are
// not, sharing the want alike would make urgent requests late beside less urgent ones that
// are on time: the most urgent routes get what they need at least, and what is left of that
// is for the others, but for the part of each that is admitted in any case.
func quickPart(claims []claim, engines float64) float64 {
	quick, all := 0.0, 0.0
	for _, c := range claims {
		all += c.ample
		if c.quick {
			quick += c.ample
		}
	}
	if quick == 0 {
		return 0
	}
	if engines == 0 || all <= engines {
		return quick / all
	}
	return scarcePart(claims, engines)
}

// reservedMost is the part of the engines that may be kept for what is admitted in any
// case. Without it a flood of the least urgent requests would leave nothing for the others.
const reservedMost = 0.5

func scarcePart(claims []claim, engines float64) float64 {
	least, ample := 0.0, 0.0
	for _, c := range claims {
		least += c.least
		ample += c.ample
	}
	reserved := min(leastAdmitted, reservedMost*engines/least)
	left := engines - reserved*least
	quick, all := 0.0, 0.0
	give := func(c *claim, n float64) {
		all += n
		if c.quick {
			quick += n
		}
	}
	for i := range claims {
		c := &claims[i]
		more := min((1-reserved)*c.least, left)
		left -= more
		give(c, reserved*c.least+more)
	}
	for i := range claims {
		give(&claims[i], left*claims[i].ample/ample)
	}
	return quick / all
}
