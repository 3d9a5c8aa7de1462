// Package balance chooses the upstream for a request in three steps: filters remove unusable
// upstreams, a cost model estimates what the request costs at each remaining candidate, and a picker
// takes the cheapest. Among candidates of nearly equal cost it takes the first in the rendezvous
// order of the request's affinity. The package handles no connections.
package balance

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Upstream is the state of one upstream as far as it is known.
type Upstream struct {
	ID     string
	Domain string
	// Active is the number of requests in flight there from all known instances, and Slots the
	// number that it runs concurrently.
	Active, Slots int
	// Own is the part of Active that this instance sent, and NextSlot the position of the first free
	// one of its own slots there, counted from one; zero if there is none. See Share.
	Own, NextSlot int
	// Granted says that a member of the control group granted a slot there for this request.
	Granted bool
	// QueuedTokens is the number of prompt tokens waiting for prefill, and UsedTokens the number
	// that its requests hold in KV memory, out of Capacity. All three are zero for upstreams that
	// are not model engines.
	QueuedTokens, UsedTokens, Capacity int
	// Home and Sampled are set in a partial list, see Request.Partial: Home for the home upstreams
	// of the prompt, Sampled for those drawn at random.
	Home, Sampled bool
	// CachedShare is the share of the request's shared tokens that the upstream is believed to have
	// cached. Fetchable says that the rest can be fetched from another upstream.
	CachedShare float64
	Fetchable   bool
	// SlotTimeMS is the mean time for which a request holds a slot, in milliseconds; zero if
	// unknown.
	SlotTimeMS float64
	// Connected says that the instance has an idle connection to the upstream.
	Connected bool
	// ReconnectDue says that the instance has opened no connection to the upstream for ReconnectInterval.
	ReconnectDue bool
	// LimitShare is the share of its peers' request rate that the upstream accepts under the rate
	// limit it announced; zero if it announced none.
	LimitShare float64
	// Slowness is the upstream's response time relative to its peers; 1 is normal.
	Slowness float64
	// Errors is the share of its recent answers that failed.
	Errors float64
	// OtherPool says that the upstream belongs to the pool for another type of request; it is used
	// only when no upstream of the request's own pool is usable. Suspect upstreams are used only
	// when no other is left, Excluded ones never.
	OtherPool, Suspect, Excluded bool
}

// preference ranks upstreams by health and pool membership for a request; lower is better.
type preference int

const (
	preferred preference = iota
	otherPool
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
		return otherPool
	}
	return preferred
}

// bestPreference returns the lowest preference present in the list; only upstreams with this
// preference are candidates.
func bestPreference(list []Upstream) preference {
	best := unusable
	for i := range list {
		best = min(best, list[i].preference())
	}
	return best
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	// Affinity is the hash of the prompt prefix that an upstream may have cached; zero if there is
	// none.
	Affinity uint64
	// Shared is the number of prompt tokens that other requests have in common with this one, and
	// Unshared the number that they do not.
	Shared, Unshared int
	// Rate is an engine's prefill rate, and FetchRate the rate at which it fetches cached tokens
	// from another engine, both in tokens per millisecond. Zero means that fetching is not
	// supported.
	Rate, FetchRate float64
	// Domain is the failure domain of the instance that sends the request.
	Domain string
	// Random is a random number drawn uniformly from [0, 1).
	Random float64
	// MaxQueueMS is the longest queueing time that the request tolerates, in milliseconds; zero
	// means no limit.
	MaxQueueMS float64
	// LoadAgeMS is the age of the loads of other instances in milliseconds; zero if they are exact,
	// infinite if none are known. HoldMS is the mean time for which a request is in flight at a
	// plain service, in milliseconds; zero if unknown.
	LoadAgeMS, HoldMS float64
	// OwnSlots is the number of slots that the instance fills before it uses others.
	OwnSlots int
	// Partial says that the list holds only the upstreams to consider, as chosen by an Index, and
	// not all of the service. PeerErrors is then the failure share of all of them together.
	Partial    bool
	PeerErrors float64
}

// Choice is the chosen upstream with the predicted latency there.
type Choice struct {
	Index int
	// FirstEventMS is the predicted time to the first event in milliseconds, and QueueMS the part of
	// it spent queueing. Both are zero for upstreams that are not model engines.
	FirstEventMS, QueueMS float64
}

// None is the Index of a Choice when no upstream is usable.
const None = -1

const (
	// crossDomainCostMS is the cost of a route to another failure domain, in milliseconds: traffic
	// between domains is billed, and such connections fail more often.
	crossDomainCostMS = 4.0
	// duplicatePrefillWeight weighs the cost, beyond the request's own wait, of prefilling tokens
	// that another engine has cached: it delays other requests on the engine and evicts their shared
	// prefixes.
	duplicatePrefillWeight = 6.0
	// Candidates whose cost exceeds the lowest by no more than equalCostShare (relative) plus
	// equalCostMS (in milliseconds) count as equal. Always picking the lowest would send all
	// instances, which see the same slightly stale loads, to the same upstream.
	equalCostShare, equalCostMS = 0.15, 6.0
	// memoryHighWater is the share of an engine's KV memory that requests may hold before further
	// ones preempt running requests and evict cached prefixes.
	memoryHighWater = 0.85
	// fullMemoryFactor multiplies the cost of an engine above memoryHighWater.
	fullMemoryFactor = 6.0
	// SampleSize is the number of randomly drawn upstreams that are considered besides those that
	// cache the prompt and its home upstreams. See isCandidate.
	SampleSize = 2
	// HomeCount is the number of home upstreams for a prompt that no upstream has cached, and
	// nonHomeWeight weighs the cost of prefilling it elsewhere.
	HomeCount     = 3
	nonHomeWeight = 2.0
	// failureWeight multiplies the cost of an upstream by its failure share in excess of the lowest
	// among the candidates. Failures common to all candidates are attributed to the requests.
	failureWeight = 25.0
	// failureTolerance is the difference in failure shares that is attributed to chance.
	failureTolerance = 0.12
	// fullOccupancyCostMS is the cost of a fully occupied upstream that is not a model engine, in
	// milliseconds.
	fullOccupancyCostMS = 60.0
)

// Choose returns the upstream to use for the request.
func Choose(list []Upstream, r *Request) Choice {
	best := bestPreference(list)
	if best == unusable {
		return Choice{Index: None}
	}
	candidate := func(u *Upstream) bool { return u.preference() == best }
	c := costs{request: r, baselineErrors: minErrorShare(list, best)}
	if r.Partial {
		c.baselineErrors = min(c.baselineErrors, r.PeerErrors)
	} else {
		c.rankAll(list, candidate)
	}
	if r.spreads(list) {
		return Choice{Index: c.spread(list, candidate)}
	}
	at := c.cheapest(list, func(u *Upstream) bool { return candidate(u) && c.isCandidate(u) })
	if r.MaxQueueMS > 0 && queueMS(&list[at], r) > r.MaxQueueMS {
		at = c.cheapest(list, candidate)
	}
	return Choice{Index: at, FirstEventMS: firstEventMS(&list[at], r), QueueMS: queueMS(&list[at], r)}
}

// rankAll determines the home and the sampled upstreams of a list that holds all candidates.
func (c *costs) rankAll(list []Upstream, candidate func(*Upstream) bool) {
	if c.request.Affinity != 0 {
		c.homeScore = kthHighestScore(list, c.request.Affinity, HomeCount, candidate)
	}
	c.sampleScore = kthHighestScore(list, c.sampleSeed(), SampleSize, func(u *Upstream) bool { return candidate(u) && !c.isHome(u) })
}

// cheapest picks an upstream for which may returns true, among those whose cost is nearly the
// lowest.
func (c *costs) cheapest(list []Upstream, may func(*Upstream) bool) int {
	lowest := math.Inf(1)
	for i := range list {
		if may(&list[i]) {
			lowest = min(lowest, c.estimate(&list[i]))
		}
	}
	return pick(list, c.request, func(u *Upstream) bool { return may(u) && c.estimate(u) <= lowest*(1+equalCostShare)+equalCostMS })
}

// isCandidate reports whether an engine's cost is considered. All instances see the same loads,
// delayed by some hundred milliseconds; if all of them considered every engine, all would send the
// requests of that interval to the one that looked idle. Each request therefore considers only the
// engines that cache its prompt, its home upstreams and a few random ones.
func (c *costs) isCandidate(u *Upstream) bool {
	return u.Capacity == 0 || u.CachedShare > 0 || c.isHome(u) || c.isSampled(u)
}

func (c *costs) isSampled(u *Upstream) bool {
	if c.request.Partial {
		return u.Sampled
	}
	return rendezvous(c.sampleSeed(), u.ID) >= c.sampleScore
}

// isHome reports whether the upstream is one of the prompt's home upstreams.
func (c *costs) isHome(u *Upstream) bool {
	if c.request.Partial {
		return u.Home
	}
	return c.request.Affinity != 0 && rendezvous(c.request.Affinity, u.ID) >= c.homeScore
}

// sampleSeed returns the random number of the request as a seed for rendezvous scores.
func (c *costs) sampleSeed() uint64 { return math.Float64bits(c.request.Random) }

// pick chooses among the near-cheapest candidates: the first in the rendezvous order of the affinity
// or, without one, a candidate in the local failure domain, else any, and of these one with an idle
// connection. Ties rotate with the random start.
func pick(list []Upstream, r *Request, isNear func(*Upstream) bool) int {
	best, score := None, uint64(0)
	start := int(r.Random * float64(len(list)))
	for k := range list {
		i := (start + k) % len(list)
		u := &list[i]
		if !isNear(u) {
			continue
		}
		s := u.rank(r)
		if best == None || s > score {
			best, score = i, s
		}
	}
	return best
}

// rank orders candidates of nearly equal cost; higher is better.
func (u *Upstream) rank(r *Request) uint64 {
	if r.Affinity != 0 {
		return rendezvous(r.Affinity, u.ID)
	}
	rank := uint64(1)
	if u.Domain == r.Domain {
		rank += 2
	}
	if u.Connected {
		rank++
	}
	return rank
}

// UncachedTokens returns how many of the request's tokens the upstream would have to prefill.
func UncachedTokens(u *Upstream, r *Request) float64 {
	if u.Fetchable {
		return float64(r.Unshared)
	}
	return uncachedWithoutFetch(u, r)
}

// uncachedWithoutFetch is UncachedTokens without fetching from another upstream.
func uncachedWithoutFetch(u *Upstream, r *Request) float64 {
	return float64(r.Unshared) + (1-u.CachedShare)*float64(r.Shared)
}

// fetchMS returns how long fetching the cached tokens from another upstream takes, in milliseconds.
func fetchMS(u *Upstream, r *Request) float64 {
	if !u.Fetchable {
		return 0
	}
	return (1 - u.CachedShare) * float64(r.Shared) / r.FetchRate
}

// NominalWait predicts the time to the first event, in milliseconds, at an upstream that is as fast
// as its peers.
func NominalWait(u *Upstream, r *Request) float64 {
	peer := *u
	peer.Slowness = 1
	return firstEventMS(&peer, r)
}

// firstEventMS predicts the time to the first event, in milliseconds.
func firstEventMS(u *Upstream, r *Request) float64 {
	if u.Capacity == 0 || r.Rate <= 0 {
		return 0
	}
	return queueMS(u, r) + UncachedTokens(u, r)/r.Rate*u.Slowness + fetchMS(u, r)
}

// queueMS predicts how long the request queues before its prefill starts, in milliseconds: for the
// prefill queued before it or for a free slot, whichever takes longer.
func queueMS(u *Upstream, r *Request) float64 {
	if u.Capacity == 0 || r.Rate <= 0 {
		return 0
	}
	return max(float64(u.QueuedTokens)/r.Rate, slotWaitMS(u)) * u.Slowness
}

// slotWaitMS predicts the time until a slot is free for one more request, in milliseconds: a full
// engine frees slots at the rate at which requests end. On engines with 12 slots, requests that
// found 8 more than that in flight waited for over a second while other engines had free slots.
func slotWaitMS(u *Upstream) float64 {
	over := u.Active + 1 - u.Slots
	if over <= 0 || u.Slots == 0 {
		return 0
	}
	return float64(over) * u.SlotTimeMS / float64(u.Slots)
}

// minErrorShare returns the lowest failure share among the candidates.
func minErrorShare(list []Upstream, best preference) float64 {
	common := 1.0
	for i := range list {
		if list[i].preference() == best {
			common = min(common, list[i].Errors)
		}
	}
	return common
}

// costs estimates the cost of a request at each candidate.
type costs struct {
	request *Request
	// baselineErrors is the lowest failure share among the candidates. homeScore is the lowest score
	// of the prompt's home upstreams, which are the first upstreams in its rendezvous order.
	// Instances that see a new prompt at the same moment do not know of each other; choosing among
	// the same few upstreams, they mostly agree.
	baselineErrors float64
	homeScore      uint64
	// sampleScore is the lowest score of the randomly drawn upstreams.
	sampleScore uint64
}

// estimate returns the cost of the request at an upstream, in milliseconds.
func (c *costs) estimate(u *Upstream) float64 {
	r := c.request
	if u.Capacity == 0 || r.Rate <= 0 {
		return c.plainCost(u, float64(u.Active), u.Slots)
	}
	// Tokens that could be fetched from another engine cost as much as prefilled ones, since
	// fetching uses memory and moves gigabytes. When they cost only the fetch itself, prompts
	// went wherever the queue was shortest: 1,112 GB were moved in a minute of high load to save
	// 0.3 of 13 million prefilled tokens.
	cost := queueMS(u, r) + uncachedWithoutFetch(u, r)/r.Rate*u.Slowness + duplicatePrefillWeight*(1-u.CachedShare)*float64(r.Shared)/r.Rate
	if u.CachedShare == 0 && r.Affinity != 0 && !c.isHome(u) {
		cost += nonHomeWeight * float64(r.Shared) / r.Rate
	}
	if float64(u.UsedTokens+r.Shared+r.Unshared) > memoryHighWater*float64(u.Capacity) {
		cost *= fullMemoryFactor
	}
	return c.withPenalties(u, cost)
}

// plainCost returns the cost of a request at an upstream of a plain service with the given number of
// requests in flight on its slots.
func (c *costs) plainCost(u *Upstream, active float64, slots int) float64 {
	return c.withPenalties(u, fullOccupancyCostMS*(active+1)/float64(max(1, slots))*u.Slowness)
}

// withPenalties adds to a cost what failures and another failure domain cost.
func (c *costs) withPenalties(u *Upstream, cost float64) float64 {
	cost *= 1 + failureWeight*max(0, u.Errors-c.baselineErrors-failureTolerance)
	if u.Domain != c.request.Domain {
		cost += crossDomainCostMS
	}
	return cost
}

// kthHighestScore returns the k-th highest rendezvous score of the candidates for a seed; zero if
// there are fewer than k.
func kthHighestScore(list []Upstream, seed uint64, k int, candidate func(*Upstream) bool) uint64 {
	var top [HomeCount]uint64
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

// rendezvous returns the rendezvous hashing score of an upstream for an affinity.
func rendezvous(affinity uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(affinity)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
