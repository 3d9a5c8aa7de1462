package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// fleet is the state of all upstreams as known to this instance.
type fleet struct {
	log *eventlog.Sink

	mu        sync.Mutex
	upstreams map[string]*upstream
	// byIncarnation holds the upstreams by the log index at which they registered, which identifies
	// them in messages.
	byIncarnation map[uint64]*upstream
	services      map[string][]*upstream
	domains       domains
	scratch       []balance.Upstream
	observed      []balance.Observed
	// fetchSource has the prompt of the request described by scratch cached; nil if no upstream
	// has.
	fetchSource *upstream
	pools       map[string]*balance.Pools
	engineRates map[string]*engineRate
	ids         []string
	// quickCount is the size of the quick pool, by service.
	quickCount map[string]int
	// remoteLoads is the work that other instances have in flight as of remoteLoadsAt, by
	// incarnation.
	remoteLoads   map[uint64]servingsvc.Load
	remoteLoadsAt time.Time
	// remoteObserved is what other instances observed of upstreams, by incarnation.
	// reportedObserved is what this instance last reported, at observedReportedAt.
	remoteObserved, reportedObserved map[uint64]balance.Observed
	observedReportedAt               time.Time
	// newPlacements lists the prompts sent to upstreams since the last report.
	newPlacements []servingsvc.PromptPlacement
	// limits are the rate limits that upstreams announce, nil if disabled. queue counts the
	// requests that wait for a token.
	limits Limits
	queue  queue
}

func newFleet(log *eventlog.Sink, limits Limits) *fleet {
	return &fleet{log: log, limits: limits, queue: queue{}, upstreams: map[string]*upstream{}, byIncarnation: map[uint64]*upstream{}, services: map[string][]*upstream{}, domains: domains{}, pools: map[string]*balance.Pools{},
		engineRates: map[string]*engineRate{}, remoteLoads: map[uint64]servingsvc.Load{}, remoteObserved: map[uint64]balance.Observed{}, reportedObserved: map[uint64]balance.Observed{}, quickCount: map[string]int{}}
}

// update applies the registered incarnations and returns those that ended without leaving. An
// upstream that is no longer usable receives no new work; its requests in flight continue.
func (f *fleet) update(v *follow.View) (crashed []*upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		if v.Upstreams[id] == nil {
			delete(f.upstreams, id)
			delete(f.byIncarnation, u.incarnation)
			u.retire()
			f.log.Event("upstream_gone").Str("upstream", id).Str("address", u.address).Int("index", int64(v.Index)).End()
		}
	}
	f.services = map[string][]*upstream{}
	for id, info := range v.Upstreams {
		u := f.upstreams[id]
		if u == nil || u.address != info.Address || u.incarnation != info.FirstIndex {
			// A restarted upstream has an empty cache, no latency history and none of the requests
			// that were in flight under its ID.
			if u != nil {
				if u.state == serving.Ready {
					crashed = append(crashed, u)
				}
				delete(f.byIncarnation, u.incarnation)
				u.retire()
				f.log.Event("upstream_restarted").Str("upstream", id).Str("address", info.Address).Int("born", info.StartedAt).Int("index", int64(v.Index)).End()
			}
			u = newUpstream(info)
			f.upstreams[id], f.byIncarnation[u.incarnation] = u, u
		}
		if u.state == serving.Ready && info.State == serving.Superseded {
			crashed = append(crashed, u)
		}
		f.applyInfo(u, info, v.Index)
		u.maxConns = connectionShare(v, info.Service)
		if u.state == serving.Ready {
			f.services[info.Service] = append(f.services[info.Service], u)
		} else {
			u.closeIdle(time.Time{})
		}
	}
	return crashed
}

func (f *fleet) applyInfo(u *upstream, info *serving.Upstream, index uint64) {
	if u.state != info.State || u.silent != info.Silent {
		f.log.Event("upstream_state").Str("upstream", info.ID).Str("service", info.Service).Str("address", info.Address).
			Str("state", info.State.String()).Bool("silent", info.Silent).Int("index", int64(index)).End()
	}
	u.state, u.silent, u.slots, u.domain = info.State, info.Silent, max(1, info.Slots), info.Domain
}

// connectionShare is how many connections this instance may open to one upstream of a service: its
// share of the upstream's limit, plus headroom for an uneven distribution of callers.
func connectionShare(v *follow.View, service string) int {
	const unbounded, headroom = 256, 1.5
	if v.Routes == nil {
		return unbounded
	}
	s := v.Routes.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return unbounded
	}
	return max(2, int(headroom*float64(s.MaxConnections)/float64(v.Forwarders)))
}

// choose picks an upstream for a request and reserves capacity there; nil means that none is left.
// Upstreams in avoid are excluded. If the queue of the chosen one exceeds the request's limit,
// nothing is reserved and busy is true.
func (f *fleet) choose(r *request, domain string, avoid []*upstream) (u *upstream, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[r.service]
	now := time.Now()
	f.describe(r, list, now, domain, avoid, true)
	q := &balance.Request{Affinity: r.affinity, Shared: r.sharedTokens, Unshared: r.tokens - r.sharedTokens, Domain: domain, Random: rand.Float64(), FetchRate: r.fetchRate, MaxQueueMS: r.maxQueueMS}
	if r.tokens > 0 {
		q.Rate = f.engineRateOf(r.service).rate.PerMS()
	}
	c := f.chooseWithinLimits(r, q, list)
	if c.Index == balance.None {
		return nil, r.allLimited
	}
	r.predictedMS, r.upstream = c.FirstEventMS, list[c.Index].id
	r.uncachedTokens, r.queuedTokens = int(balance.UncachedTokens(&f.scratch[c.Index], q)), f.scratch[c.Index].QueuedTokens
	if r.tokens > 0 && len(avoid) == 0 {
		f.recordAndShed(r, q, c, now)
		if r.shed {
			return nil, true
		}
	}
	if r.quick && c.QueueMS > maxQuickQueueShare*float64(r.route.Target.Milliseconds()) {
		// A quick request may overflow to any engine; a long one in the quick pool would delay the
		// quick ones.
		f.describe(r, list, now, domain, avoid, false)
		if c = f.chooseWithinLimits(r, q, list); c.Index == balance.None {
			return nil, r.allLimited
		}
	}
	if c.QueueMS > r.maxQueueMS && r.tokens > 0 {
		return nil, true
	}
	u = list[c.Index]
	if !f.useToken(r, u) {
		return nil, true
	}
	r.predictedMS, r.nominalMS = c.FirstEventMS, balance.NominalWait(&f.scratch[c.Index], q)
	r.upstream, r.uncachedTokens, r.queuedTokens = u.id, int(balance.UncachedTokens(&f.scratch[c.Index], q)), f.scratch[c.Index].QueuedTokens
	r.fetchFrom = ""
	if f.scratch[c.Index].Fetchable {
		r.fetchFrom = f.fetchSource.address
	}
	u.reserve(r, now)
	if r.affinity != 0 && len(f.newPlacements) < maxPendingPlacements && u.promptCache.TryAnnounce(now, r.affinity) {
		f.newPlacements = append(f.newPlacements, servingsvc.PromptPlacement{Prompt: r.affinity, FirstIndex: u.incarnation})
	}
	return u, false
}

// maxQuickQueueShare is the share of its objective that a quick request may queue in its own pool
// before it may use any engine. The rest is needed for its own prompt and for load that has not
// been reported yet.
const maxQuickQueueShare = 0.25

// describe fills scratch with the state of the candidates; with pools, also which of them belong to
// the other pool.
func (f *fleet) describe(r *request, list []*upstream, now time.Time, domain string, avoid []*upstream, pools bool) {
	f.scratch, f.observed = f.scratch[:0], f.observed[:0]
	quick := f.assignPool(r, list, now)
	fresh := now.Sub(f.remoteLoadsAt) < remoteLoadTTL
	rates := f.engineRateOf(r.service)
	for _, u := range list {
		b, observed := u.describe(now)
		if others := f.remoteLoads[u.incarnation]; fresh {
			b.Active += others.Active
			b.QueuedTokens += others.QueuedTokens
			b.UsedTokens += others.UsedTokens
			observed.Add(f.remoteObserved[u.incarnation])
		}
		b.Capacity, b.LimitShare = r.capacity, f.limitShare(r, u)
		b.SlotTimeMS = rates.slotTime(quick[u.id]).MS()
		b.Suspect = b.Suspect || u.domain != domain && f.domains.suspect(now, u.domain)
		b.OtherPool = pools && quick != nil && quick[u.id] != r.quick
		b.Excluded = u.active >= u.maxConns || slices.Contains(avoid, u)
		f.scratch = append(f.scratch, b)
		f.observed = append(f.observed, observed)
	}
	balance.ScorePeers(f.scratch, f.observed)
	f.fetchSource = nil
	if r.affinity == 0 {
		return
	}
	f.describeCached(r, list, now)
}

// describeCached records which candidates have the request's prompt cached, and whether the others
// can fetch it from one of them. An upstream that just failed the request is no source.
func (f *fleet) describeCached(r *request, list []*upstream, now time.Time) {
	for i, u := range list {
		b := &f.scratch[i]
		b.CachedShare = u.promptCache.CachedShare(now, r.affinity)
		if r.fetchRate > 0 && !b.Suspect && !b.Excluded && (f.fetchSource == nil || u.active < f.fetchSource.active) && u.promptCache.FullyCached(now, r.affinity) {
			f.fetchSource = u
		}
	}
	if f.fetchSource == nil {
		return
	}
	for i := range f.scratch {
		f.scratch[i].Fetchable = f.scratch[i].CachedShare == 0
	}
}

// unreachable records that an upstream could not be reached.
func (f *fleet) unreachable(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains.unreachable(time.Now(), u.domain, u.id) {
		f.log.Event("domain_suspect").Str("domain", u.domain).Str("upstream", u.id).MS("for", suspectDuration).End()
	}
}

// reached records that an upstream answered.
func (f *fleet) reached(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.domains.reached(u.domain)
}

// countUpstreams returns the number of usable upstreams of a service.
func (f *fleet) countUpstreams(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.services[service])
}

func (f *fleet) closeIdle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.closeIdle(now)
	}
}

func (f *fleet) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.retire()
	}
}

// engineOf returns the engine parameters of a service, or nil.
func engineOf(v *follow.View, service string) *route.Engine {
	if s := v.Routes.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
