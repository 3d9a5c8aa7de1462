package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// service is the state of one service as known to this instance. The fleet's mutex guards it.
type service struct {
	name string
	// ready holds the upstreams that may get work, in no particular order, and byDomain the same by
	// failure domain. index orders them for the choice.
	ready    upstreamList
	byDomain map[string]*upstreamList
	index    balance.Index[*upstream]
	// recent holds the upstreams that requests without a prompt were sent to last, in a ring with the
	// next position recentAt: there are likely connections to them.
	recent   []*upstream
	recentAt int
	// versions counts the ready upstreams by the version of their software.
	versions map[string]int
	// slots is the sum of the slots of the ready upstreams.
	slots int
	// ownSlots is the number of slots that this instance fills first, and shared is set while they are
	// up to date. holdTime is the mean time for which requests without a prompt are in flight.
	ownSlots int
	shared   bool
	holdTime balance.SlotTime
	// remoteActive is the number of requests of other instances, and avoided holds the upstreams that this
	// instance could not use when a slot was granted there.
	remoteActive int
	avoided      []avoidedUpstream
	// maxConns is how many connections this instance may open to one upstream.
	maxConns int
	// healthPath is where an upstream tells whether it is well, empty if that is not known.
	healthPath string
	warmUp     warmUp
	prompts    balance.PromptIndex[*upstream]
	pools      *balance.Pools
	// hasEngines is set once any instance has received a request with a prompt.
	hasEngines bool
	// quickCount is the size of the quick pool.
	quickCount int
	rates      *engineRate
	// peers holds the observations of all upstreams by this instance, and remotePeers those by the
	// others.
	peers       *peerObserver
	remotePeers balance.Observed
	// remoteQueued is the number of prompt tokens that requests of other instances have queued.
	remoteQueued int
}

// upstreamList is a list with removal in constant time; at is the place of the positions.
type upstreamList struct {
	list []*upstream
	at   func(*upstream) *int
}

func (l *upstreamList) add(u *upstream) {
	*l.at(u) = len(l.list)
	l.list = append(l.list, u)
}

func (l *upstreamList) remove(u *upstream) {
	i, last := *l.at(u), len(l.list)-1
	l.list[i] = l.list[last]
	*l.at(l.list[i]) = i
	l.list[last] = nil
	l.list = l.list[:last]
}

// peerObserver sums up what this instance observes of all upstreams of a service, and holds whether
// they are brittle. It is safe for concurrent use.
type peerObserver struct {
	brittle backpressure.Brittle

	mu       sync.Mutex
	observer balance.Observer
}

func (p *peerObserver) observe(f func(*balance.Observer)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.observer)
}

func (p *peerObserver) sums(now time.Time) balance.Observed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.observer.Sums(now)
}

func newService(name string) *service {
	return &service{
		name: name, ready: upstreamList{at: func(u *upstream) *int { return &u.readyAt }}, byDomain: map[string]*upstreamList{}, versions: map[string]int{},
		maxConns: unboundedConns, pools: balance.NewPools(), rates: &engineRate{routes: map[string]*balance.SlotTime{}}, peers: &peerObserver{},
	}
}

// service returns the state of a service. The caller holds mu.
func (f *fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = newService(name)
		f.services[name] = s
	}
	return s
}

// add makes an upstream eligible for work.
func (s *service) add(u *upstream) {
	u.service = s
	u.peers.Store(s.peers)
	s.ready.add(u)
	s.inDomain(u.domain).add(u)
	s.slots += u.slots
	s.shared = false
	s.versions[u.software]++
	u.place = s.index.Add(u.id, u)
}

// remove is the opposite of add.
func (s *service) remove(u *upstream) {
	u.service = nil
	s.ready.remove(u)
	s.inDomain(u.domain).remove(u)
	s.slots -= u.slots
	s.shared = false
	if s.versions[u.software]--; s.versions[u.software] == 0 {
		delete(s.versions, u.software)
	}
	s.index.Remove(u.place)
}

func (s *service) inDomain(domain string) *upstreamList {
	l := s.byDomain[domain]
	if l == nil {
		l = &upstreamList{at: func(u *upstream) *int { return &u.domainAt }}
		s.byDomain[domain] = l
	}
	return l
}

// maxRecent is the number of upstreams in service.recent.
const maxRecent = 16

// recordUse records that a request without a prompt is sent to an upstream.
func (s *service) recordUse(u *upstream) {
	if slices.Contains(s.recent, u) {
		return
	}
	if len(s.recent) < maxRecent {
		s.recent = append(s.recent, u)
		return
	}
	s.recent[s.recentAt] = u
	s.recentAt = (s.recentAt + 1) % maxRecent
}

// len returns the number of upstreams that may get work.
func (s *service) len() int { return len(s.ready.list) }

// peerObserved returns the observations of all upstreams by all instances.
func (s *service) peerObserved(now time.Time, fresh bool) balance.Observed {
	all := s.peers.sums(now)
	if fresh {
		all.Add(s.remotePeers)
	}
	return all
}

const (
	// unboundedConns is the number of connections to an upstream that declares no limit.
	unboundedConns = 256
	// connHeadroom allows for an uneven distribution of callers over instances.
	connHeadroom = 1.5
	minConns     = 2
)

// healthPath returns the health path of a service, empty if there is none.
func healthPath(v *follow.View, service string) string {
	if v.Routes == nil {
		return ""
	}
	if s := v.Routes.Service(service); s != nil {
		return s.HealthPath
	}
	return ""
}

// connectionShare is how many connections this instance may open to one upstream of a service: its
// share of the upstream's limit, plus headroom.
func connectionShare(v *follow.View, service string) int {
	if v.Routes == nil {
		return unboundedConns
	}
	s := v.Routes.Service(service)
	if s == nil || s.MaxConnections <= 0 {
		return unboundedConns
	}
	return max(minConns, int(connHeadroom*float64(s.MaxConnections)/float64(v.Forwarders)))
}
