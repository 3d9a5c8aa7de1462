// Package balance chooses the upstream for a request, as a chain of small steps:
// filters take out what can't be used, a model of each candidate says what the
// request would cost there, and a picker takes the cheapest one, or among equally
// cheap ones the first in the order of the request's affinity. It knows nothing of
// connections.
package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Upstream is what is known of one upstream.
type Upstream struct {
	ID     string
	Domain string
	// Active counts the requests under way there, of all instances as far as is
	// known, and Slots those that it runs at once.
	Active, Slots int
	// QueuedTokens is how many prompt tokens wait to be read there, UsedTokens how many its
	// requests hold in its memory, which has room for Capacity. They are zero for
	// upstreams that are no engines.
	QueuedTokens, UsedTokens, Capacity int
	// CachedShare is the part of the request's shared tokens that is believed to be there, and
	// Fetched says that the rest can be taken over from another upstream.
	CachedShare    float64
	Fetchable bool
	// SlotTimeMS is for how long a request holds one of its slots, in milliseconds; zero
	// means that it is not known.
	SlotTimeMS float64
	// LimitShare is the part of what its peers take that it takes by a limit that it names; zero
	// means that it names none.
	LimitShare float64
	// Slowness is how much longer than its peers' its answers have taken; 1 is normal.
	Slowness float64
	// Errors is the part of its latest answers that failed.
	Errors float64
	// OtherPool says that the upstream is for other requests than this one: it is picked
	// when none of the request's own can be used. Suspect upstreams are picked only when
	// no other is left, Excluded ones never.
	OtherPool, Suspect, Excluded bool
}

// preference is how well an upstream suits a request, by what is known of its health and
// of what it is for; lower is better.
type preference int

const (
	own preference = iota
	elsewhere
	suspect
	unusable
)

func (u *Upstream) preference() preference {
	switch {
	case u.Excluded:
		return unusable
	case u.Suspect:
		return suspect
	case u.OtherPool:
		return elsewhere
	}
	return own
}

// bestPreference is that of the candidates among which the choice is made.
func bestPreference(list []Upstream) preference {
	best := unusable
	for i := range list {
		best = min(best, list[i].preference())
	}
	return best
}

// Request is what is known of a request.
type Request struct {
	// Affinity is the hash of what an upstream may have kept; zero for nothing.
	Affinity uint64
	// Shared and Unshared are the prompt tokens that are shared with other requests and
	// those that are not.
	Shared, Unshared int
	// Rate is how many prompt tokens an engine reads in a millisecond, FetchRate how many
	// it takes over from another one; zero means that it can't.
	Rate, FetchRate float64
	// Domain is the failure domain of the instance that asks.
	Domain string
	// Random is a number drawn uniformly from [0, 1).
	Random float64
	// MaxQueueMS is how much may wait before it, in milliseconds; zero means any.
	MaxQueueMS float64
}

// Choice is an upstream with what is predicted of the request there.
type Choice struct {
	Index int
	// FirstEventMS is the predicted time to the first event in milliseconds, and QueueMS the
	// part of it for what waits before the request; zero for upstreams that are no
	// engines.
	FirstEventMS, QueueMS float64
}

// None is the index when no upstream is left.
const None = -1

const (
	// otherDomain is what a way to another failure domain costs, in milliseconds:
	// bytes between domains have a price, and such a way is cut more often.
	otherDomain = 4.0
	// prefillAgain weighs what a request makes an engine read that another one keeps,
	// beside its own wait: it delays the others there and pushes out what they share.
	prefillAgain = 6.0
	// near is up to which cost above the lowest one candidates count as equal, as a
	// part and in milliseconds. Picking the very lowest would send all instances,
	// which see the same numbers a moment late, to the same upstream.
	near, nearMS = 0.15, 6.0
	// memoryLimit is the part of an engine's memory that requests may hold before
	// more of them push each other and what is kept out.
	memoryLimit = 0.85
	// crowded multiplies the cost of an engine without free memory.
	crowded = 6.0
	// sample is how many upstreams are weighed besides those that keep the prompt and its
	// homes. See considered.
	sample = 2
	// homes is how many upstreams a prompt that nobody keeps may well go to, and awayFromHome
	// weighs what it costs to read it anywhere else.
	homes        = 3
	awayFromHome = 2.0
	// failing multiplies the cost of an upstream, by what part more of its requests
	// fail than of its peers'. Failures that all have alike are the requests' own.
	failing = 25.0
	// tolerated is what the share of failures may differ by chance.
	tolerated = 0.12
	// slotMS is the cost of a busy slot at an upstream that is no engine.
	slotMS = 60.0
)

// Choose picks the upstream to use.
func Choose(list []Upstream, r *Request) Choice {
	best := bestPreference(list)
	if best == unusable {
		return Choice{Index: None}
	}
	candidate := func(u *Upstream) bool { return u.preference() == best }
	c := costs{request: r, common: commonErrors(list, best)}
	if r.Affinity != 0 {
		c.homeScore = leastOfTop(list, r.Affinity, homes, candidate)
	}
	c.sampleScore = leastOfTop(list, c.drawn(), sample, func(u *Upstream) bool { return candidate(u) && !c.isHome(u) })
	at := c.cheapest(list, func(u *Upstream) bool { return candidate(u) && c.considered(u) })
	if r.MaxQueueMS > 0 && ahead(&list[at], r) > r.MaxQueueMS {
		at = c.cheapest(list, candidate)
	}
	return Choice{Index: at, FirstEventMS: wait(&list[at], r), QueueMS: ahead(&list[at], r)}
}

// cheapest picks among the near ones of the upstreams that may be taken.
func (c *costs) cheapest(list []Upstream, may func(*Upstream) bool) int {
	lowest := math.Inf(1)
	for i := range list {
		if may(&list[i]) {
			lowest = min(lowest, c.of(&list[i]))
		}
	}
	return pick(list, c.request, func(u *Upstream) bool { return may(u) && c.of(u) <= lowest*(1+near)+nearMS })
}

// considered reports whether an engine is weighed at all. All instances see the same
// loads some hundred milliseconds late; if all weighed all engines, all would send what
// comes in that time to the one that looked idle. So each request weighs those that keep
// its prompt, the homes of it, and a few drawn by lot.
func (c *costs) considered(u *Upstream) bool {
	return u.Capacity == 0 || u.CachedShare > 0 || c.isHome(u) || rendezvous(c.drawn(), u.ID) >= c.sampleScore
}

// isHome reports whether an upstream is a home of the request's prompt.
func (c *costs) isHome(u *Upstream) bool {
	return c.request.Affinity != 0 && rendezvous(c.request.Affinity, u.ID) >= c.homeScore
}

// drawn is the draw as a seed for scores.
func (c *costs) drawn() uint64 { return math.Float64bits(c.request.Random) }

// pick takes one of the near candidates: the first one in the order of the affinity,
// or else one in the own failure domain, or else any, in turns.
func pick(list []Upstream, r *Request, isNear func(*Upstream) bool) int {
	best, score := None, uint64(0)
	start := int(r.Random * float64(len(list)))
	for k := range list {
		i := (start + k) % len(list)
		u := &list[i]
		if !isNear(u) {
			continue
		}
		s := uint64(1)
		switch {
		case r.Affinity != 0:
			s = rendezvous(r.Affinity, u.ID)
		case u.Domain == r.Domain:
			s = 2
		}
		if best == None || s > score {
			best, score = i, s
		}
	}
	return best
}

// UncachedTokens is how many tokens of the request an upstream would have to read.
func UncachedTokens(u *Upstream, r *Request) float64 {
	if u.Fetchable {
		return float64(r.Unshared)
	}
	return wholeUnread(u, r)
}

// wholeUnread is Unread where nothing is taken over from another upstream.
func wholeUnread(u *Upstream, r *Request) float64 {
	return float64(r.Unshared) + (1-u.CachedShare)*float64(r.Shared)
}

// fetching is how long the taking over takes, in milliseconds.
func fetching(u *Upstream, r *Request) float64 {
	if !u.Fetchable {
		return 0
	}
	return (1 - u.CachedShare) * float64(r.Shared) / r.FetchRate
}

// NominalWait predicts the time to the first event, in milliseconds, at an upstream that is as
// fast as its peers.
func NominalWait(u *Upstream, r *Request) float64 {
	peer := *u
	peer.Slowness = 1
	return wait(&peer, r)
}

// wait predicts the time to the first event, in milliseconds.
func wait(u *Upstream, r *Request) float64 {
	if u.Capacity == 0 || r.Rate <= 0 {
		return 0
	}
	return ahead(u, r) + UncachedTokens(u, r)/r.Rate*u.Slowness + fetching(u, r)
}

// ahead predicts how long the request waits before its prompt is read, in milliseconds:
// for what is to be read before it, or for a slot, whichever is longer.
func ahead(u *Upstream, r *Request) float64 {
	if u.Capacity == 0 || r.Rate <= 0 {
		return 0
	}
	return max(float64(u.QueuedTokens)/r.Rate, slotWait(u)) * u.Slowness
}

// slotWait predicts the time until a slot is free for one more request: an engine with all
// slots taken frees them at the pace at which requests end. Where engines have 12 slots,
// requests that found 8 more than that on the way waited for a second and more beside
// engines with free ones.
func slotWait(u *Upstream) float64 {
	over := u.Active + 1 - u.Slots
	if over <= 0 || u.Slots == 0 {
		return 0
	}
	return float64(over) * u.SlotTimeMS / float64(u.Slots)
}

// commonErrors is the smallest part of failed answers among the candidates.
func commonErrors(list []Upstream, best preference) float64 {
	common := 1.0
	for i := range list {
		if list[i].preference() == best {
			common = min(common, list[i].Errors)
		}
	}
	return common
}

// costs works out what a request costs at each candidate.
type costs struct {
	request *Request
	// common is the smallest part of failed answers among the candidates. homeScore is the
	// least score of the homes of the request's prompt: the first upstreams in its order.
	// Instances that meet a new prompt in the same moment don't know of each other;
	// choosing among the same few, they mostly choose the same one.
	common    float64
	homeScore uint64
	// sampleScore is the least score of the upstreams that are drawn.
	sampleScore uint64
}

// of returns the cost at an upstream, in milliseconds.
func (c *costs) of(u *Upstream) float64 {
	r := c.request
	cost := 0.0
	if u.Capacity == 0 || r.Rate <= 0 {
		cost = slotMS * float64(u.Active+1) / float64(max(1, u.Slots)) * u.Slowness
	} else {
		// What could be taken over from another engine counts as if it were read: it takes
		// memory and moves gigabytes. At its own cost, prompts went wherever least waited:
		// 1,112 GB moved in a minute of high load for 0.3 of 13 million tokens less to read.
		cost = ahead(u, r) + wholeUnread(u, r)/r.Rate*u.Slowness + prefillAgain*(1-u.CachedShare)*float64(r.Shared)/r.Rate
		if u.CachedShare == 0 && r.Affinity != 0 && !c.isHome(u) {
			cost += awayFromHome * float64(r.Shared) / r.Rate
		}
		if float64(u.UsedTokens+r.Shared+r.Unshared) > memoryLimit*float64(u.Capacity) {
			cost *= crowded
		}
	}
	cost *= 1 + failing*max(0, u.Errors-c.common-tolerated)
	if u.Domain != r.Domain {
		cost += otherDomain
	}
	return cost
}

// leastOfTop returns the least of the k highest scores that a seed gives the candidates;
// zero if there are not as many.
func leastOfTop(list []Upstream, seed uint64, k int, candidate func(*Upstream) bool) uint64 {
	var top [homes]uint64
	for i := range list {
		if !candidate(&list[i]) {
			continue
		}
		s := rendezvous(seed, list[i].ID)
		for j := range top[:k] {
			if s > top[j] {
				s, top[j] = top[j], s
			}
		}
	}
	return top[k-1]
}

func rendezvous(affinity uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(affinity)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
