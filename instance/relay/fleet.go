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

// fleet holds what this instance knows of all upstreams.
type fleet struct {
	log *eventlog.Sink

	mu        sync.Mutex
	upstreams map[string]*upstream
	// byBegun holds the upstreams by their beginnings, which name them in messages.
	byBegun  map[uint64]*upstream
	services map[string][]*upstream
	domains  domains
	scratch  []balance.Upstream
	observed []balance.Observed
	// holder keeps the prompt of the request that scratch is about; nil means nobody.
	holder *upstream
	pools  map[string]*balance.Pools
	paces  map[string]*pace
	ids    []string
	// quickCount is how many upstreams are set apart, by service.
	quickCount map[string]int
	// others is the work that other instances have under way, as of othersAt, by the
	// beginnings of the upstreams.
	others   map[uint64]servingsvc.Load
	othersAt time.Time
	// observedByOthers is what other instances observed of upstreams, by their beginnings,
	// and told what this one told last, at toldAt.
	observedByOthers, told map[uint64]balance.Observed
	toldAt                 time.Time
	// placed lists the prompts that were sent to upstreams since the last report.
	placed []servingsvc.PromptPlacement
	// limits are those that upstreams name, nil where they name none; queue counts who waits
	// for them.
	limits Limits
	queue  queue
}

func newFleet(log *eventlog.Sink, limits Limits) *fleet {
	return &fleet{log: log, limits: limits, queue: queue{}, upstreams: map[string]*upstream{}, byBegun: map[uint64]*upstream{}, services: map[string][]*upstream{}, domains: domains{}, pools: map[string]*balance.Pools{},
		paces: map[string]*pace{}, others: map[uint64]servingsvc.Load{}, observedByOthers: map[uint64]balance.Observed{}, told: map[uint64]balance.Observed{}, quickCount: map[string]int{}}
}

// update takes in which incarnations there are, and returns those that have ended without a
// leave. One that is not usable any more gets no new work from here on; its work under way
// goes on.
func (f *fleet) update(v *follow.View) (crashed []*upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.upstreams {
		if v.Upstreams[id] == nil {
			delete(f.upstreams, id)
			delete(f.byBegun, u.begun)
			u.retire()
			f.log.Event("upstream_gone").Str("upstream", id).Str("address", u.address).Int("index", int64(v.Index)).End()
		}
	}
	f.services = map[string][]*upstream{}
	for id, info := range v.Upstreams {
		u := f.upstreams[id]
		if u == nil || u.address != info.Address || u.begun != info.FirstIndex {
			// An upstream that started again keeps nothing, is as fast as any, and has none
			// of the work that its ID had before.
			if u != nil {
				if u.state == serving.Ready {
					crashed = append(crashed, u)
				}
				delete(f.byBegun, u.begun)
				u.retire()
				f.log.Event("upstream_restarted").Str("upstream", id).Str("address", info.Address).Int("born", info.StartedAt).Int("index", int64(v.Index)).End()
			}
			u = newUpstream(info)
			f.upstreams[id], f.byBegun[u.begun] = u, u
		}
		if u.state == serving.Ready && info.State == serving.Superseded {
			crashed = append(crashed, u)
		}
		f.note(u, info, v.Index)
		u.maxConns = connectionShare(v, info.Service)
		if u.state == serving.Ready {
			f.services[info.Service] = append(f.services[info.Service], u)
		} else {
			u.closeIdle(time.Time{})
		}
	}
	return crashed
}

func (f *fleet) note(u *upstream, info *serving.Upstream, index uint64) {
	if u.state != info.State || u.silent != info.Silent {
		f.log.Event("upstream_state").Str("upstream", info.ID).Str("service", info.Service).Str("address", info.Address).
			Str("state", info.State.String()).Bool("silent", info.Silent).Int("index", int64(index)).End()
	}
	u.state, u.silent, u.slots, u.domain = info.State, info.Silent, max(1, info.Slots), info.Domain
}

// connectionShare is how many connections this instance may have to one upstream of
// a service: its part of what the upstream allows all of them, with room for being
// sent more than its part of the callers.
func connectionShare(v *follow.View, service string) int {
	const unbounded, room = 256, 1.5
	if v.Routes == nil {
		return unbounded
	}
	s := v.Routes.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return unbounded
	}
	return max(2, int(room*float64(s.MaxConnections)/float64(v.Forwarders)))
}

// choose picks an upstream for a request and books its work there; nil means that
// none is left. Upstreams in avoid are not picked. Where the chosen one has more
// waiting than the request may have before it, nothing is booked, and busy is true.
func (f *fleet) choose(r *request, domain string, avoid []*upstream) (u *upstream, busy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.services[r.service]
	now := time.Now()
	f.describe(r, list, now, domain, avoid, true)
	q := &balance.Request{Affinity: r.affinity, Shared: r.shared, Unshared: r.tokens - r.shared, Domain: domain, Random: rand.Float64(), FetchRate: r.fetchRate, MaxQueueMS: r.maxAhead}
	if r.tokens > 0 {
		q.Rate = f.pace(r.service).rate.PerMS()
	}
	c := f.pick(r, q, list)
	if c.Index == balance.None {
		return nil, r.limited
	}
	r.predicted, r.upstream = c.FirstEventMS, list[c.Index].id
	r.unread, r.ahead = int(balance.UncachedTokens(&f.scratch[c.Index], q)), f.scratch[c.Index].QueuedTokens
	if r.tokens > 0 && len(avoid) == 0 {
		f.offer(r, q, c, now)
		if r.shed {
			return nil, true
		}
	}
	if r.quick && c.QueueMS > overflowShare*float64(r.route.Target.Milliseconds()) {
		// A quick request harms nobody elsewhere; a long one among quick ones would.
		f.describe(r, list, now, domain, avoid, false)
		if c = f.pick(r, q, list); c.Index == balance.None {
			return nil, r.limited
		}
	}
	if c.QueueMS > r.maxAhead && r.tokens > 0 {
		return nil, true
	}
	u = list[c.Index]
	if !f.spend(r, u) {
		return nil, true
	}
	r.predicted, r.nominal = c.FirstEventMS, balance.NominalWait(&f.scratch[c.Index], q)
	r.upstream, r.unread, r.ahead = u.id, int(balance.UncachedTokens(&f.scratch[c.Index], q)), f.scratch[c.Index].QueuedTokens
	r.fetchFrom = ""
	if f.scratch[c.Index].Fetchable {
		r.fetchFrom = f.holder.address
	}
	u.begin(r, now)
	if r.affinity != 0 && len(f.placed) < maxPlaced && u.kept.TryAnnounce(now, r.affinity) {
		f.placed = append(f.placed, servingsvc.PromptPlacement{Prompt: r.affinity, FirstIndex: u.begun})
	}
	return u, false
}

// overflowShare is the part of its objective that a quick request may wait at the engines
// for its kind before it goes to any engine: the rest is needed for its own prompt and for
// what nobody has told yet.
const overflowShare = 0.25

// describe fills scratch with what is known of the candidates; with pools, also which of
// them are for the other kind of requests.
func (f *fleet) describe(r *request, list []*upstream, now time.Time, domain string, avoid []*upstream, pools bool) {
	f.scratch, f.observed = f.scratch[:0], f.observed[:0]
	quick := f.split(r, list, now)
	fresh := now.Sub(f.othersAt) < othersAge
	pace := f.pace(r.service)
	for _, u := range list {
		b, observed := u.describe(now)
		if others := f.others[u.begun]; fresh {
			b.Active += others.Active
			b.QueuedTokens += others.QueuedTokens
			b.UsedTokens += others.UsedTokens
			observed.Add(f.observedByOthers[u.begun])
		}
		b.Capacity, b.LimitShare = r.capacity, f.takes(r, u)
		b.SlotTimeMS = pace.residence(quick[u.id]).MS()
		b.Suspect = b.Suspect || u.domain != domain && f.domains.suspect(now, u.domain)
		b.OtherPool = pools && quick != nil && quick[u.id] != r.quick
		b.Excluded = u.active >= u.maxConns || slices.Contains(avoid, u)
		f.scratch = append(f.scratch, b)
		f.observed = append(f.observed, observed)
	}
	balance.ScorePeers(f.scratch, f.observed)
	f.holder = nil
	if r.affinity == 0 {
		return
	}
	f.describeKept(r, list, now)
}

// describeKept says which candidates keep the request's prompt, and whether the others
// can take it over from one of them: not from one that just failed the request.
func (f *fleet) describeKept(r *request, list []*upstream, now time.Time) {
	for i, u := range list {
		b := &f.scratch[i]
		b.CachedShare = u.kept.CachedShare(now, r.affinity)
		if r.fetchRate > 0 && !b.Suspect && !b.Excluded && (f.holder == nil || u.active < f.holder.active) && u.kept.FullyCached(now, r.affinity) {
			f.holder = u
		}
	}
	if f.holder == nil {
		return
	}
	for i := range f.scratch {
		f.scratch[i].Fetchable = f.scratch[i].CachedShare == 0
	}
}

// unreachable notes that an upstream could not be reached.
func (f *fleet) unreachable(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.domains.unreachable(time.Now(), u.domain, u.id) {
		f.log.Event("domain_suspect").Str("domain", u.domain).Str("upstream", u.id).MS("for", domainSuspect).End()
	}
}

// reached notes that an upstream answered.
func (f *fleet) reached(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.domains.reached(u.domain)
}

// known reports whether there is any upstream of a service.
func (f *fleet) known(service string) int {
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

// engineOf returns what a service's engines can do, or nil.
func engineOf(v *follow.View, service string) *route.Engine {
	if s := v.Routes.Service(service); s != nil {
		return s.Engine
	}
	return nil
}
