package serving

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/wire"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// With many instances, each has hardly a slot of its own. A member grants slots of plain services for
// single requests to the instances that follow it: it knows their loads exactly, and its share of the slots
// is one of a few. A grant counts as a load of its instance, until that reports or updates the load.

// ChannelSlots is the link channel of SlotRequest and SlotGrant.
const ChannelSlots = "serving.slot"

const (
	// MaxGrantedUpstreams is the number of upstreams of a service up to which slots are granted.
	MaxGrantedUpstreams = 256
	// grantDelay is how long a member grants nothing after the first report that followed a time without
	// reports. All instances that follow it report within this time, as it holds a request for 250 ms.
	grantDelay = 300 * time.Millisecond
	// minGrantersAge is the minimum time between two reads of the replicated state for grants, and
	// maxGrantersAge the maximum one, as a change of the members does not change the state.
	minGrantersAge, maxGrantersAge = 100 * time.Millisecond, time.Second
	// minGrantLoadsAge is the minimum time between two sums of the loads for grants. grantLoadsFactor bounds
	// the share of time that they take, as totalCacheFactor.
	minGrantLoadsAge = time.Millisecond
	grantLoadsFactor = totalCacheFactor
)

// SlotRequest asks a member for a slot of a plain service for one request. Fields may only be added at the end.
type SlotRequest struct {
	wire.Array
	// Service is the ServiceHash of the service.
	Service uint32
	// HoldMS is the mean time for which a request is in flight, in milliseconds.
	HoldMS int
	// Avoid lists incarnations that the instance may not use, at most MaxAvoided.
	Avoid []uint64
}

// MaxAvoided bounds SlotRequest.Avoid.
const MaxAvoided = 8

// SlotGrant is the response to a SlotRequest.
type SlotGrant struct {
	wire.Array
	// FirstIndex identifies the incarnation at which the slot is granted; zero if none is.
	FirstIndex uint64
}

// ServiceHash identifies a service in a SlotRequest.
func ServiceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// slotGrants is the state by which a member grants slots. The mutex of the service guards it.
type slotGrants struct {
	// heardAt is when an instance reported last, and since when the first one did after a time without
	// reports.
	heardAt, since time.Time
	// granters holds the granters of the services by ServiceHash as of the state with the given index, and
	// members is the number of members then.
	granters map[uint32]*granter
	index    uint64
	builtAt  time.Time
	members  int
	// loads are the loads of all upstreams as of loadsAt, and of the grants since; loadsTook is how long the
	// sum took.
	loads     map[uint64]balance.GrantLoad
	loadsAt   time.Time
	loadsTook time.Duration
}

// granter grants the slots of one service. observedAt is when its observations were set.
type granter struct {
	*balance.Granter
	observedAt time.Time
}

// heard records a report of an instance.
func (b *slotGrants) heard(now time.Time) {
	if now.Sub(b.heardAt) > maxLoadAge {
		b.since = now
	}
	b.heardAt = now
}

// receiveSlotRequest grants a slot to an instance that follows this member. The response names none if the
// member does not know the loads of its followers, or if its state is not confirmed.
func (s *Service) receiveSlotRequest(_ context.Context, from string, msg link.Message) (any, error) {
	var q SlotRequest
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	g, err := s.replica()
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	if now.Sub(s.confirmations.of(g).confirmedAt()) > maxLoadAge {
		return SlotGrant{}, nil
	}
	s.refreshGranters(g, now)
	return SlotGrant{FirstIndex: s.grantSlot(now, from, &q)}, nil
}

// refreshGranters reads the replicated state if the granters are out of date.
func (s *Service) refreshGranters(g *consensus.Service, now time.Time) {
	if !s.takeRefresh(now) {
		return
	}
	lists := map[uint32][]balance.Grantable{}
	var index uint64
	viewServing(g, func(m *serving.Machine) { index, lists = m.Index(), grantables(m.Each) })
	st := g.Status()
	share := memberShare(st.Members, st.ID)
	granters := make(map[uint32]*granter, len(lists))
	for hash, list := range lists {
		if len(list) <= MaxGrantedUpstreams {
			granters[hash] = &granter{Granter: balance.NewGranter(share, list)}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.granters, s.slots.index, s.slots.members = granters, index, share.Count
}

// takeRefresh reports whether the caller has to read the replicated state for grants.
func (s *Service) takeRefresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.slots.builtAt)
	if age < minGrantersAge || age < maxGrantersAge && s.index == s.slots.index {
		return false
	}
	s.slots.builtAt = now
	return true
}

// grantables returns the ready upstreams by ServiceHash. Two services with the same hash would share
// upstreams: neither is listed.
func grantables(each func(func(*serving.Upstream))) map[uint32][]balance.Grantable {
	lists, names := map[uint32][]balance.Grantable{}, map[uint32]string{}
	each(func(u *serving.Upstream) {
		if !u.Usable() {
			return
		}
		hash := ServiceHash(u.Service)
		if name, known := names[hash]; known && name != u.Service {
			lists[hash] = nil
			return
		}
		if names[hash] == "" {
			names[hash], lists[hash] = u.Service, make([]balance.Grantable, 0, 1)
		}
		if lists[hash] != nil {
			lists[hash] = append(lists[hash], balance.Grantable{ID: u.ID, Domain: u.Domain, FirstIndex: u.FirstIndex, Slots: max(1, u.Slots), Suspect: u.Silent})
		}
	})
	return lists
}

// memberShare returns the share of a member among all members, which are ordered by failure domain and name.
func memberShare(members raft.Members, self raft.MemberID) balance.Share {
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b raft.Member) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	return balance.Share{Rank: slices.IndexFunc(order, func(m raft.Member) bool { return m.ID == self }), Count: len(order)}
}

// grantSlot grants a slot to an instance and counts it as a load of the instance; zero if none is granted.
func (s *Service) grantSlot(now time.Time, from string, q *SlotRequest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, follows := s.loads.watchers[from]
	g := s.slots.granters[q.Service]
	if g == nil || !follows || now.Sub(r.at) > maxLoadAge || now.Sub(s.slots.since) < grantDelay || len(q.Avoid) > MaxAvoided {
		return 0
	}
	s.sumGrantLoads(now)
	s.observeForGrants(now, g)
	request := balance.GrantRequest{Domain: s.ranks.domains[from], Random: rand.Float64(), LoadAgeMS: ms(changesInterval(s.slots.members)), HoldMS: float64(q.HoldMS), Avoid: q.Avoid}
	at, ok := g.Grant(&request, func(i uint64) balance.GrantLoad { return s.slots.loads[i] })
	if !ok {
		return 0
	}
	l := s.slots.loads[at]
	l.Own++
	s.slots.loads[at] = l
	r.countGrant(at)
	s.loads.watchers[from] = r
	return at
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// countGrant counts a granted slot as a load of the instance that sent the report.
func (r *loadReport) countGrant(at uint64) {
	for i := range r.work.Loads {
		if l := &r.work.Loads[i]; l.FirstIndex == at {
			l.Active++
			return
		}
	}
	r.work.Loads = append(r.work.Loads, Load{FirstIndex: at, Active: 1})
}

// sumGrantLoads adds up the loads of all upstreams if the last sum is too old. The caller holds mu.
func (s *Service) sumGrantLoads(now time.Time) {
	b := &s.slots
	if b.loads != nil && now.Sub(b.loadsAt) < max(minGrantLoadsAge, grantLoadsFactor*b.loadsTook) {
		return
	}
	if b.loads == nil {
		b.loads = map[uint64]balance.GrantLoad{}
	}
	clear(b.loads)
	eachLoad(now, s.loads.watchers, func(l *Load) {
		sum := b.loads[l.FirstIndex]
		sum.Own += l.Active
		b.loads[l.FirstIndex] = sum
	})
	eachLoad(now, s.loads.members, func(l *Load) {
		sum := b.loads[l.FirstIndex]
		sum.Others += l.Active
		b.loads[l.FirstIndex] = sum
	})
	b.loadsAt, b.loadsTook = now, clock.Since(now)
}

// eachLoad calls f for the loads in the reports that are at most maxLoadAge old.
func eachLoad(now time.Time, reports map[string]loadReport, f func(*Load)) {
	for _, r := range reports {
		if now.Sub(r.at) > maxLoadAge {
			continue
		}
		for i := range r.work.Loads {
			f(&r.work.Loads[i])
		}
	}
}

// observeForGrants sets what all instances observed of the upstreams, once for each exchange of observations.
// The caller holds mu.
func (s *Service) observeForGrants(now time.Time, g *granter) {
	if now.Sub(g.observedAt) < ObservationInterval {
		return
	}
	g.observedAt = now
	total := map[uint64]*Observation{}
	addObserved(total, now, s.observed.watchers)
	addObserved(total, now, s.observed.members)
	g.Observe(func(i uint64) balance.Observed {
		o := total[i]
		if o == nil {
			return balance.Observed{}
		}
		return balance.Observed{Answers: float64(o.Answers) / hundredths, Failures: float64(o.Failures) / hundredths, Predicted: float64(o.Predicted), Took: float64(o.Took)}
	})
}
