package balance_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

// This file simulates, in virtual time and without a network, several instances that choose among
// the upstreams of a plain service. Each knows its own requests exactly and those of the others as
// of its last load report. An upstream runs as many requests at once as it has slots and queues the
// rest. The tests measure the share of requests that find all slots taken.

const (
	// evenSlots and evenWorkMS describe an upstream, and evenDomains is the number of failure domains.
	evenSlots, evenWorkMS = 4, 40.0
	evenDomains           = 3
	// manyChoosers is a number of instances at which one has few slots, and manyChoosersSeconds the time for
	// which it is played: the shares of two runs differ by 0.01 in 8 s and by less than 0.004 in 32 s.
	manyChoosers, manyChoosersSeconds = 80, 32.0
	// evenWarmUpMS is the time before requests are counted, and evenIdleMS the time after which an
	// idle connection is closed.
	evenWarmUpMS, evenIdleMS = 2000.0, 3200.0
)

// evenCase is one load. rate returns the load at a time, as a share of what the upstreams that are
// present can serve.
type evenCase struct {
	name string
	rate func(ms float64) float64
	// workMS is the duration of a request's work, evenWorkMS if it is zero.
	workMS    float64
	slow      int
	joinAtMS  float64
	joining   int
	seconds   float64
	upstreams int
}

func steady(load float64) func(float64) float64 { return func(float64) float64 { return load } }

// evenCases are the loads of docs/design/two-customers.md, part 2.
func evenCases() []evenCase {
	bursts := func(ms float64) float64 {
		if math.Mod(ms, 1000) < 150 {
			return 1
		}
		return 0.4
	}
	return []evenCase{
		{name: "0.6 steady", rate: steady(0.6), upstreams: 24, seconds: 8},
		{name: "0.6, a third slow", rate: steady(0.6), upstreams: 24, slow: 8, seconds: 8},
		{name: "0.4 with bursts", rate: bursts, upstreams: 24, seconds: 8},
		{name: "0.7, a third joins", rate: steady(0.7), upstreams: 24, joining: 8, joinAtMS: 4000, seconds: 8},
	}
}

// evenUpstream is an upstream of the simulation.
type evenUpstream struct {
	active     int
	workMS     float64
	slotFreeAt [evenSlots]float64
	ready      bool
}

// evenChooser is one instance. others are the requests of the other instances as of takenAt, and
// pending a report that is on its way. seen holds its observations by upstream and othersSeen those
// of the others. idleUntil holds the ends of its idle connections by upstream,
// openedAt when it last opened one.
type evenChooser struct {
	domain            string
	own               []int
	ownSlots          int
	others, pending   []int
	takenAt, nextAt   float64
	pendingAt         float64
	seen              []balance.Observer
	othersSeen        []balance.Observed
	observationsAfter float64
	losesReports      bool
	idleUntil         [][]float64
	openedAt          []float64
}

// evenEnd is the end of a request that was sent at the given time. If learns is not zero, it is the moment at
// which a granter learns of so many more requests of its followers at the upstream, and nothing ends.
type evenEnd struct {
	sent, at          float64
	chooser, upstream int
	learns            int
}

type evenEnds []evenEnd

func (h evenEnds) Len() int           { return len(h) }
func (h evenEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h evenEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *evenEnds) Push(x any)        { *h = append(*h, x.(evenEnd)) }
func (h *evenEnds) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// evenWorld is one run.
type evenWorld struct {
	evenCase
	rng  *rand.Rand
	ups  []evenUpstream
	all  []evenChooser
	ends evenEnds
	evenOptions
	choose func(w *evenWorld, c int, now float64) int
	// seen holds the observations of all choosers by upstream; nil if slowness is not observed.
	seen     []balance.Observer
	states   []balance.Upstream
	observed []balance.Observed
	// shares are the slots of the choosers, granterShares those of the granters.
	shares, granterShares slotShares
	// granters are the members of the control group that grant slots, nil if there are none.
	granters []evenChooser

	asked, waited, opened, most int
	// firstSecond and toJoined count the requests in the second after some upstreams joined, and those
	// of them that these got.
	firstSecond, toJoined int
}

// slotShares holds the positions of the slots of each chooser by upstream, as of a number of ready upstreams.
type slotShares struct {
	owned [][][]int
	ready int
}

// evenOptions are the conditions of a run. ageMS is the time between the load reports of an instance,
// which are delayMS old when they arrive; zero stands for exact counts.
type evenOptions struct {
	choosers, domains int
	ageMS, delayMS    float64
	observes, ranked  bool
	// inPhase lets all choosers get their reports at the same time.
	inPhase bool
	// greedy takes the loads for exact. holdMS is the time for which a request is known to take.
	greedy bool
	holdMS float64
	// cutOffAtMS is when the first chooser stops to get reports, zero for never.
	cutOffAtMS float64
	// granters is the number of members that grant slots, which learn of what their followers do lagMS later.
	granters int
	lagMS    float64
	// lostGrants is the share of requests whose instance gets no grant in time, and unusedGrants the share
	// whose instance uses another upstream than the granted one.
	lostGrants, unusedGrants float64
	// restartAtMS is when the first granter starts again and has forgotten its followers' loads, until they
	// report them 250 ms later; zero for never.
	restartAtMS float64
}

const (
	// observationMS is the time between two reports of observations.
	observationMS = 1000.0
	// granterAgeMS is the time between two reports among members.
	granterAgeMS = 20.0
)

// runEven plays a case and returns the world with its counts.
func runEven(k evenCase, o evenOptions, choose func(*evenWorld, int, float64) int) *evenWorld {
	w := &evenWorld{evenCase: k, rng: rand.New(rand.NewPCG(7, 11)), evenOptions: o, choose: choose}
	for i := range k.upstreams {
		u := evenUpstream{workMS: cmp.Or(k.workMS, evenWorkMS), ready: i < k.upstreams-k.joining}
		if i%3 == 0 && i/3 < k.slow {
			u.workMS *= 3
		}
		w.ups = append(w.ups, u)
	}
	if o.observes {
		w.seen = make([]balance.Observer, k.upstreams)
	}
	for i := range o.choosers {
		w.all = append(w.all, newEvenChooser(i, &w.evenOptions, k.upstreams, float64(i)/float64(o.choosers)))
		w.all[i].losesReports = i == 0 && o.cutOffAtMS > 0
		if o.inPhase {
			w.all[i].nextAt = 0
		}
	}
	for i := range o.granters {
		w.granters = append(w.granters, newEvenChooser(i, &w.evenOptions, k.upstreams, float64(i)/float64(o.granters)))
	}
	w.play()
	return w
}

// newEvenChooser returns a chooser whose first report comes after a part of the time between two.
func newEvenChooser(i int, o *evenOptions, upstreams int, part float64) evenChooser {
	return evenChooser{
		domain: fmt.Sprint("d", i%o.domains), own: make([]int, upstreams), others: make([]int, upstreams), pending: make([]int, upstreams),
		idleUntil: make([][]float64, upstreams), openedAt: slices.Repeat([]float64{math.Inf(-1)}, upstreams), seen: make([]balance.Observer, upstreams), othersSeen: make([]balance.Observed, upstreams),
		nextAt: o.ageMS * part, pendingAt: -1,
	}
}

// play lets requests arrive as a Poisson process at the highest rate, thinned out to the present one.
func (w *evenWorld) play() {
	const peak, reportStep = 1.5, 5.0
	nextStep := 0.0
	for now := 0.0; now < 1000*w.seconds; {
		capacity := 0.0
		for i := range w.ups {
			if w.ups[i].ready = w.ups[i].ready || now >= w.joinAtMS; w.ups[i].ready {
				capacity += evenSlots / w.ups[i].workMS
			}
		}
		now += w.rng.ExpFloat64() / (peak * capacity)
		for len(w.ends) > 0 && w.ends[0].at <= now {
			w.end(heap.Pop(&w.ends).(evenEnd))
		}
		for ; w.ageMS > 0 && nextStep <= now; nextStep += reportStep {
			for i := range w.all {
				w.exchange(&w.all[i], nextStep, w.ageMS, w.delayMS)
			}
			for i := range w.granters {
				w.exchange(&w.granters[i], nextStep, granterAgeMS, granterAgeMS)
			}
		}
		if w.rng.Float64()*peak < w.rate(now) {
			w.send(w.rng.IntN(len(w.all)), now)
		}
	}
}

// exchange lets a report arrive at a chooser or takes the next one.
func (w *evenWorld) exchange(c *evenChooser, now, ageMS, delayMS float64) {
	if c.losesReports && now >= w.cutOffAtMS {
		return
	}
	if c.pendingAt >= 0 && now >= c.pendingAt+delayMS {
		c.others, c.pending, c.takenAt, c.pendingAt = c.pending, c.others, c.pendingAt, -1
	}
	if now < c.nextAt || c.pendingAt >= 0 {
		return
	}
	c.nextAt += max(ageMS, delayMS)
	w.count(c, c.pending)
	c.pendingAt = now
	if w.seen != nil && now >= c.observationsAfter {
		c.observationsAfter = now + observationMS
		for i := range w.ups {
			c.othersSeen[i] = w.seen[i].Sums(virtualTime(now))
			c.othersSeen[i].Subtract(c.seen[i].Sums(virtualTime(now)))
		}
	}
}

// count determines the requests of all other choosers.
func (w *evenWorld) count(c *evenChooser, others []int) {
	for i := range w.ups {
		others[i] = w.ups[i].active - c.own[i]
	}
}

func virtualTime(ms float64) time.Time {
	return time.Unix(1, 0).Add(time.Duration(ms * float64(time.Millisecond)))
}

// tell lets the granter of a chooser learn of a change of its requests at an upstream.
func (w *evenWorld) tell(chooser, upstream, more int, now float64) {
	if len(w.granters) > 0 {
		heap.Push(&w.ends, evenEnd{at: now + w.lagMS, chooser: chooser % len(w.granters), upstream: upstream, learns: more})
	}
}

// latencyFloorMS is the same as in instance/relay.
const latencyFloorMS = 40.0

func (w *evenWorld) end(e evenEnd) {
	if e.learns != 0 {
		w.granters[e.chooser].own[e.upstream] += e.learns
		return
	}
	w.ups[e.upstream].active--
	w.tell(e.chooser, e.upstream, -1, e.at)
	c := &w.all[e.chooser]
	c.own[e.upstream]--
	c.idleUntil[e.upstream] = append(c.idleUntil[e.upstream], e.at+evenIdleMS)
	if w.seen != nil {
		for _, o := range []*balance.Observer{&w.seen[e.upstream], &c.seen[e.upstream]} {
			o.FirstEvent(virtualTime(e.at), latencyFloorMS, latencyFloorMS+e.at-e.sent)
		}
	}
}

func (w *evenWorld) send(chooser int, now float64) {
	c := &w.all[chooser]
	if w.ageMS == 0 {
		w.count(c, c.others)
		c.takenAt = now
	}
	granted := w.grant(chooser, now)
	at := granted
	if granted < 0 || w.rng.Float64() < w.unusedGrants {
		at = w.choose(w, chooser, now)
	}
	if at != granted {
		w.tell(chooser, at, 1, now)
		if granted >= 0 {
			w.tell(chooser, granted, -1, now)
		}
	}
	u := &w.ups[at]
	if now > evenWarmUpMS {
		w.asked++
		if u.active >= evenSlots {
			w.waited++
		}
	}
	if w.joining > 0 && now >= w.joinAtMS && now < w.joinAtMS+1000 {
		w.firstSecond++
		if at >= w.upstreams-w.joining {
			w.toJoined++
		}
	}
	u.active++
	w.most = max(w.most, u.active)
	c.own[at]++
	w.connect(c, at, now)
	slot := 0
	for i := range u.slotFreeAt {
		if u.slotFreeAt[i] < u.slotFreeAt[slot] {
			slot = i
		}
	}
	u.slotFreeAt[slot] = max(now, u.slotFreeAt[slot]) + u.workMS
	heap.Push(&w.ends, evenEnd{sent: now, at: u.slotFreeAt[slot], chooser: chooser, upstream: at})
}

// granterRestartMS is for how long a granter that starts again grants nothing: until all its followers
// have reported their loads.
const granterRestartMS = 300.0

// grant returns the upstream at which the granter of a chooser grants a slot, and counts the slot as taken;
// none if it grants nothing.
func (w *evenWorld) grant(chooser int, now float64) int {
	if len(w.granters) == 0 || w.rng.Float64() < w.lostGrants {
		return balance.None
	}
	at := chooser % len(w.granters)
	if at == 0 && w.restartAtMS > 0 && now >= w.restartAtMS && now < w.restartAtMS+granterRestartMS {
		return balance.None
	}
	g := &w.granters[at]
	upstream := w.chooseAs(g, w.positions(&w.granterShares, w.granters)[at], now, func(int) bool { return false })
	g.own[upstream]++
	return upstream
}

// connect takes the most recently used idle connection, or opens one.
func (w *evenWorld) connect(c *evenChooser, at int, now float64) {
	idle := &c.idleUntil[at]
	for len(*idle) > 0 {
		last := (*idle)[len(*idle)-1]
		*idle = (*idle)[:len(*idle)-1]
		if now < last {
			return
		}
	}
	c.openedAt[at] = now
	if now > evenWarmUpMS {
		w.opened++
	}
}

// openedShare is the number of new connections per request.
func (w *evenWorld) openedShare() float64 { return float64(w.opened) / float64(max(1, w.asked)) }

func (w *evenWorld) share() float64 { return float64(w.waited) / float64(max(1, w.asked)) }

// hasIdle reports whether a chooser has an idle connection.
func (c *evenChooser) hasIdle(at int, now float64) bool {
	idle := c.idleUntil[at]
	return len(idle) > 0 && now < idle[len(idle)-1]
}

// leastLoaded, twoChoices and randomChoice choose with exact counts.
func leastLoaded(w *evenWorld, _ int, _ float64) int {
	best, from := -1, w.rng.IntN(len(w.ups))
	for k := range w.ups {
		i := (from + k) % len(w.ups)
		if w.ups[i].ready && (best < 0 || w.ups[i].active < w.ups[best].active) {
			best = i
		}
	}
	return best
}

func randomChoice(w *evenWorld, _ int, _ float64) int {
	for {
		if i := w.rng.IntN(len(w.ups)); w.ups[i].ready {
			return i
		}
	}
}

func twoChoices(w *evenWorld, c int, now float64) int {
	a, b := randomChoice(w, c, now), randomChoice(w, c, now)
	if w.ups[b].active < w.ups[a].active {
		return b
	}
	return a
}

// chooseByLoads is the choice of an instance, as instance/relay describes it.
func chooseByLoads(w *evenWorld, chooser int, now float64) int {
	c := &w.all[chooser]
	var own [][]int
	if w.ranked {
		own = w.positions(&w.shares, w.all)[chooser]
	}
	return w.chooseAs(c, own, now, func(at int) bool { return !w.greedy && c.hasIdle(at, now) })
}

// chooseAs is the choice of an instance, or of a member for it, that has the own slots with the given
// positions by upstream.
func (w *evenWorld) chooseAs(c *evenChooser, own [][]int, now float64, connected func(at int) bool) int {
	w.states, w.observed = w.states[:0], w.observed[:0]
	for i := range w.ups {
		u := balance.Upstream{ID: evenIDs[i], Domain: evenNames[i%w.domains], Active: max(0, c.own[i]+c.others[i]), Own: max(0, c.own[i]), Slots: evenSlots, Slowness: 1, Connected: connected(i), ReconnectDue: now-c.openedAt[i] >= float64(balance.ReconnectInterval.Milliseconds()), Excluded: !w.ups[i].ready}
		if own != nil && u.Own < len(own[i]) {
			u.NextSlot = own[i][u.Own]
		}
		w.states = append(w.states, u)
		if w.seen != nil {
			o := c.seen[i].Sums(virtualTime(now))
			o.Add(c.othersSeen[i])
			w.observed = append(w.observed, o)
		}
	}
	if w.seen != nil {
		balance.ScorePeers(w.states, w.observed, balance.SumObserved(w.observed))
	}
	r := &balance.Request{Domain: c.domain, Random: w.rng.Float64(), LoadAgeMS: now - c.takenAt, HoldMS: w.holdMS, OwnSlots: c.ownSlots}
	if w.greedy {
		r.LoadAgeMS = 0
	}
	return balance.Choose(w.states, r).Index
}

func (w *evenWorld) ready() (n int) {
	for i := range w.ups {
		if w.ups[i].ready {
			n++
		}
	}
	return n
}

// positions returns the positions of the own slots of each chooser by upstream. Choosers and upstreams are
// ordered by failure domain.
func (w *evenWorld) positions(s *slotShares, all []evenChooser) [][][]int {
	if s.owned != nil && s.ready == w.ready() {
		return s.owned
	}
	s.owned, s.ready = make([][][]int, len(all)), w.ready()
	var order []int
	var list []balance.Shared
	for d := range w.domains {
		for i := d; i < len(w.ups); i += w.domains {
			if w.ups[i].ready {
				order, list = append(order, i), append(list, balance.Shared{Domain: evenNames[d], Slots: evenSlots})
			}
		}
	}
	rank := 0
	for d := range w.domains {
		for c := d; c < len(all); c += w.domains {
			s.owned[c] = make([][]int, len(w.ups))
			positions, total := (balance.Share{Rank: rank, Count: len(all)}).Positions(list)
			all[c].ownSlots = total
			for at, own := range positions {
				s.owned[c][order[at]] = own
			}
			rank++
		}
	}
	return s.owned
}

// evenIDs and evenNames are the IDs of upstreams and the names of failure domains.
var evenIDs, evenNames = names("u", 64), names("d", 8)

func names(prefix string, n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint(prefix, i))
	}
	return list
}
