package relay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

const (
	// scanLimit is the number of upstreams of a service up to which a choice looks at all of them.
	// Beyond it, a choice looks at those that an index gives, so that a request costs the same
	// however many there are.
	scanLimit = 256
	// plainDraws is how many upstreams are drawn for a request to a service without engines, and
	// localDraws how many of them from the own failure domain.
	plainDraws, localDraws = 32, 24
	// wideDraws is how many are drawn if the queues of all others are too long.
	wideDraws = 64
	// drawTries bounds the draws for each upstream that is needed, as some are not eligible.
	drawTries = 8
)

// choice holds the upstreams that the current choice considers, in buffers that are reused.
type choice struct {
	candidates []*upstream
	states     []balance.Upstream
	observed   []balance.Observed
	// partial is set if candidates are not all upstreams of the service. homes is the number of
	// home upstreams, which come first then, and round distinguishes choices in upstream.chosenIn.
	partial bool
	homes   int
	round   uint64
	// meanActive is the mean number of requests in flight at a candidate.
	meanActive float64
	// fetchSource has the prompt of the request cached; nil if no candidate has.
	fetchSource *upstream
}

// selection is what the choice of an upstream depends on besides the request.
type selection struct {
	service *service
	domain  string
	now     time.Time
	avoid   []*upstream
	// tokens is what the request needs of an engine's memory, both in tokens; zero for plain services.
	tokens, memory int
	// quickLimit is the end of the quick pool, zero if there is none, and pools is set if the request
	// keeps to its pool.
	quickLimit uint64
	pools      bool
	// fresh is set if the loads of other instances are recent.
	fresh bool
}

// choose picks an upstream for a request and reserves capacity there; nil means that none is left.
// Upstreams in avoid are excluded. If the queue of the chosen one exceeds the request's limit,
// nothing is reserved and busy is true.
func (f *fleet) choose(r *request, domain string, avoid []*upstream) (u *upstream, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() { f.settleGrant(r, u) }()
	now := time.Now()
	r.pauseLeft, r.allConnected = 0, false
	sel := &selection{service: f.service(r.service), domain: domain, now: now, avoid: avoid, tokens: r.tokens, memory: r.capacity, fresh: now.Sub(f.remoteLoadsAt) < remoteLoadTTL}
	f.assignPool(r, sel)
	request := f.balanceRequest(r, sel)
	q := &request
	c := f.pick(r, q, sel)
	if c.Index == balance.None {
		r.pauseLeft, r.allConnected = f.pauseLeft(), f.allConnected(r, sel)
		return nil, r.allLimited || r.pauseLeft > 0 || r.allConnected || f.noRoom(sel)
	}
	f.recordPrediction(r, q, c)
	if r.tokens > 0 && len(avoid) == 0 {
		f.recordAndShed(r, q, c, sel)
		if r.shed {
			return nil, true
		}
	}
	if r.quick && c.QueueMS > maxQuickQueueShare*float64(r.route.Target.Milliseconds()) {
		// A quick request may overflow to any engine; a long one in the quick pool would delay the
		// quick ones.
		sel.pools = false
		if c = f.pick(r, q, sel); c.Index == balance.None {
			return nil, r.allLimited || f.noRoom(sel)
		}
	}
	if c.QueueMS > r.maxQueueMS && r.tokens > 0 {
		return nil, true
	}
	u = f.choice.candidates[c.Index]
	if !f.useToken(r, u) {
		return nil, true
	}
	f.recordPrediction(r, q, c)
	r.nominalMS, r.fetchFrom = balance.NominalWait(&f.choice.states[c.Index], q), ""
	if f.choice.states[c.Index].Fetchable {
		r.fetchFrom = f.choice.fetchSource.address
	}
	r.software = u.software
	f.reserve(u, r, now)
	return u, false
}

// balanceRequest describes a request to the choice.
func (f *fleet) balanceRequest(r *request, sel *selection) balance.Request {
	q := balance.Request{Affinity: r.affinity, Shared: r.sharedTokens, Unshared: r.tokens - r.sharedTokens, Domain: sel.domain, Random: rand.Float64(), FetchRate: r.fetchRate, MaxQueueMS: r.maxQueueMS}
	if r.capacity == 0 {
		q.LoadAgeMS, q.HoldMS = f.loadAgeMS(sel.now), sel.service.holdTime.MS()
	}
	if r.tokens > 0 {
		q.Rate = sel.service.rates.rate.PerMS()
	}
	return q
}

// maxQuickQueueShare is the share of its objective that a quick request may queue in its own pool
// before it may use any engine. The rest is needed for its own prompt and for load that has not
// been reported yet.
const maxQuickQueueShare = 0.25

// recordPrediction records what is predicted for a request at a candidate.
func (f *fleet) recordPrediction(r *request, q *balance.Request, c balance.Choice) {
	state := &f.choice.states[c.Index]
	r.predictedMS, r.upstream = c.FirstEventMS, f.choice.candidates[c.Index].id
	r.taken, r.slots, r.meanTaken = state.Active, state.Slots, f.choice.meanActive
	r.uncachedTokens, r.queuedTokens = int(balance.UncachedTokens(state, q)), state.QueuedTokens
}

// reserve reserves capacity at an upstream, and lists its prompt for the next report if that is due.
func (f *fleet) reserve(u *upstream, r *request, now time.Time) {
	f.used[u] = struct{}{}
	f.recordChange(u)
	u.take(now)
	u.queuedTokens += r.uncachedTokens
	u.usedTokens += r.tokens
	if r.affinity == 0 {
		f.service(r.service).recordUse(u)
		return
	}
	prompts := &f.service(r.service).prompts
	prompts.Record(now, r.affinity, u)
	if len(f.newPlacements) < maxPendingPlacements && prompts.TryAnnounce(now, r.affinity, u) {
		f.newPlacements = append(f.newPlacements, servingsvc.PromptPlacement{Prompt: r.affinity, FirstIndex: u.incarnation})
	}
}

// pick describes the candidates for a request and chooses among them. If the queues of all are too
// long, it looks at more of them.
func (f *fleet) pick(r *request, q *balance.Request, sel *selection) balance.Choice {
	f.collect(r, sel, sampleDraws(r))
	c := f.describeAndChoose(r, q, sel)
	if f.choice.partial && c.Index != balance.None && r.maxQueueMS > 0 && c.QueueMS > r.maxQueueMS {
		f.collect(r, sel, wideDraws)
		c = f.describeAndChoose(r, q, sel)
	}
	return c
}

// sampleDraws returns how many random upstreams are considered for a request.
func sampleDraws(r *request) int {
	if r.capacity == 0 {
		return plainDraws
	}
	return balance.SampleSize
}

func (f *fleet) describeAndChoose(r *request, q *balance.Request, sel *selection) balance.Choice {
	peers := f.describe(r, sel)
	q.Partial, q.PeerErrors, q.OwnSlots = f.choice.partial, peers.ErrorShare(), sel.service.ownSlots
	return f.chooseWithinLimits(r, q)
}

// collect determines the candidates: all upstreams of a small service; of a large one the home
// upstreams of the prompt, those that have it cached, and random ones. If none of these is eligible,
// all are candidates.
func (f *fleet) collect(r *request, sel *selection, draws int) {
	c, s := &f.choice, sel.service
	c.round++
	c.candidates, c.partial, c.homes = c.candidates[:0], false, 0
	if s.len() > scanLimit && f.collectSome(r, sel, draws) {
		c.partial = true
		return
	}
	c.candidates = append(c.candidates[:0], s.ready.list...)
}

// collectSome collects the candidates of a large service, and reports whether there are any.
func (f *fleet) collectSome(r *request, sel *selection, draws int) bool {
	c, s := &f.choice, sel.service
	eligible := func(u *upstream) bool { return f.eligible(r, sel, u) }
	if r.affinity != 0 {
		c.candidates = s.index.Homes(c.candidates, r.affinity, eligible)
		c.homes = len(c.candidates)
		for _, u := range c.candidates {
			u.chosenIn = c.round
		}
		s.prompts.Holders(sel.now, r.affinity, func(u *upstream, _ bool) {
			if u.service == s && eligible(u) {
				c.add(u)
			}
		})
	}
	if r.capacity == 0 {
		for _, u := range s.recent {
			if u.service == s && u.domain == sel.domain && eligible(u) {
				c.add(u)
			}
		}
		local := s.inDomain(sel.domain).list
		c.draw(localDraws, len(local), func(i int) *upstream { return local[i] }, eligible)
		draws -= localDraws
	}
	from, to := sel.poolRange(r)
	c.draw(draws, to-from, func(i int) *upstream { return s.index.At(from + i) }, eligible)
	return len(c.candidates) > 0
}

// add adds a candidate once.
func (c *choice) add(u *upstream) bool {
	if u.chosenIn == c.round {
		return false
	}
	u.chosenIn = c.round
	c.candidates = append(c.candidates, u)
	return true
}

// draw adds up to n random eligible upstreams out of count.
func (c *choice) draw(n, count int, at func(int) *upstream, eligible func(*upstream) bool) {
	for tries := n * drawTries; n > 0 && count > 0 && tries > 0; tries-- {
		if u := at(rand.IntN(count)); eligible(u) && c.add(u) {
			n--
		}
	}
}

// poolRange returns the part of the pool order from which a request may draw.
func (sel *selection) poolRange(r *request) (from, to int) {
	s := sel.service
	switch {
	case !sel.pools:
		return 0, s.len()
	case r.quick:
		return 0, s.quickCount
	}
	return s.quickCount, s.len()
}

// eligible reports whether an upstream is preferred for a request: reachable as far as is known, in
// the request's pool, and with connections left.
func (f *fleet) eligible(r *request, sel *selection, u *upstream) bool {
	return !sel.otherPool(r, u) && !f.excluded(r, sel, u) && !f.suspect(sel, u)
}

func (sel *selection) otherPool(r *request, u *upstream) bool {
	return sel.pools && u.place.Before(sel.quickLimit) != r.quick
}

func (f *fleet) excluded(r *request, sel *selection, u *upstream) bool {
	return u.active >= sel.service.maxConns || f.unsuitable(r, sel, u)
}

// unsuitable reports whether an upstream may not get a request, however few this instance has sent there.
func (f *fleet) unsuitable(r *request, sel *selection, u *upstream) bool {
	return r.otherVersion(u) || slices.Contains(sel.avoid, u) || u.gate.Closed(clock.Now) || f.lacksRoom(sel, u)
}

// allConnected reports whether a candidate of the latest choice was left out only because this instance uses
// all connections that it may open to it. That says nothing about the upstream: the requests may wait in this
// instance for CPU time. The caller holds mu.
func (f *fleet) allConnected(r *request, sel *selection) bool {
	for _, u := range f.choice.candidates {
		if u.active >= sel.service.maxConns && !f.unsuitable(r, sel, u) {
			return true
		}
	}
	return false
}

func (f *fleet) suspect(sel *selection, u *upstream) bool {
	return u.suspect(sel.now) || u.domain != sel.domain && f.domains.suspect(sel.now, u.domain)
}

// describe determines the states of the candidates and returns the observations of all upstreams
// of the service.
func (f *fleet) describe(r *request, sel *selection) (peers balance.Observed) {
	c, s := &f.choice, sel.service
	c.states, c.observed = c.states[:0], c.observed[:0]
	spreads := r.capacity == 0 && !c.partial && f.forwarders > 1
	if spreads {
		f.shareSlots(s)
	}
	active := 0
	for i, u := range c.candidates {
		b, observed := u.describe(sel.now)
		if others := f.remoteLoads[u.incarnation]; sel.fresh {
			b.Active += others.Active
			b.QueuedTokens += others.QueuedTokens
			b.UsedTokens += others.UsedTokens
			observed.Add(f.remoteObserved[u.incarnation])
		}
		if b.Own = u.active; spreads {
			b.NextSlot = u.nextSlot()
		}
		// A single instance has connections to all upstreams of a small service, and uses them in turn.
		if (c.partial || spreads) && r.affinity == 0 {
			b.Connected, b.ReconnectDue = u.pool.connected(sel.now)
		}
		active += b.Active
		b.Capacity, b.Granted = r.capacity, r.granted != 0 && u.incarnation == r.granted
		if !u.gate.Closed(clock.Now) {
			b.LimitShare = f.limitShare(r, u)
		}
		b.SlotTimeMS = s.rates.slotTime(u.place.Before(sel.quickLimit)).MS()
		b.Suspect, b.OtherPool, b.Excluded = f.suspect(sel, u), sel.otherPool(r, u), f.excluded(r, sel, u)
		b.Home, b.Sampled = i < c.homes, i >= c.homes
		u.candidateAt = i
		c.states = append(c.states, b)
		c.observed = append(c.observed, observed)
	}
	if peers = s.peerObserved(sel.now, sel.fresh); !c.partial {
		peers = balance.SumObserved(c.observed)
	}
	balance.ScorePeers(c.states, c.observed, peers)
	c.meanActive = float64(active) / float64(max(1, len(c.candidates)))
	c.fetchSource = nil
	if r.affinity != 0 {
		f.describeCached(r, sel)
	}
	return peers
}

// describeCached records which candidates have the request's prompt cached, and whether the others
// can fetch it from one of them. An upstream that just failed the request is no source.
func (f *fleet) describeCached(r *request, sel *selection) {
	c := &f.choice
	sel.service.prompts.Holders(sel.now, r.affinity, func(u *upstream, full bool) {
		if u.service != sel.service || u.candidateAt >= len(c.candidates) || c.candidates[u.candidateAt] != u {
			return
		}
		b := &c.states[u.candidateAt]
		b.CachedShare = 1
		if r.fetchRate > 0 && full && !b.Suspect && !b.Excluded && (c.fetchSource == nil || u.active < c.fetchSource.active) {
			c.fetchSource = u
		}
	})
	if c.fetchSource == nil {
		return
	}
	for i := range c.states {
		c.states[i].Fetchable = c.states[i].CachedShare == 0
	}
}
