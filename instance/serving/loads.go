package serving

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/ratelimit"
	"github.com/comfreyladder/comfreyladder/core/wire"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const channelLoads = "serving.loads"

const (
	// reportInterval is the time between two whole reports among members, routesInterval that
	// between two exchanges of the loads of routes while upstreams are busy.
	reportInterval = 300 * time.Millisecond
	routesInterval = 100 * time.Millisecond
	// maxLoadAge is how long a load counts without a newer report.
	maxLoadAge = 1500 * time.Millisecond
)

const (
	// minTotalCacheTime is how long one encoded sum of all loads serves all requests, at least.
	// Encoding it for each response was most of a member's work with 300 instances and 3,000
	// upstreams.
	minTotalCacheTime = 10 * time.Millisecond
	// totalCacheFactor bounds the share of time that encoding takes: it is the shortest time between
	// two encodings, in durations of one.
	totalCacheFactor = 25
)

// PromptPlacement records that the shared segments of a prompt, identified by their hash, were
// sent to an upstream, which caches them from then on.
type PromptPlacement struct {
	wire.Array
	Prompt uint64
	// FirstIndex identifies the incarnation of the upstream, as in Load.
	FirstIndex uint64
}

// Report is the work of one instance, or of all others.
type Report struct {
	Work Work `codec:"w"`
	// Placements lists the prompts placed since the last report.
	Placements []PromptPlacement `codec:"p,omitempty"`
	// Busy reports that upstreams have many tokens to prefill, so that recent loads matter.
	Busy bool `codec:"b,omitempty"`
	// Sequence orders the reports of an instance among its load updates.
	Sequence uint64 `codec:"q,omitempty"`
	// HasObserved reports that Observed is included, and requests it in the response.
	HasObserved bool          `codec:"o,omitempty"`
	Observed    []Observation `codec:"v,omitempty"`
	// Limits are the rate limits that upstreams announced.
	Limits []ratelimit.Statement `codec:"l,omitempty"`
}

// Summary is the work of all instances as known to one member.
type Summary struct {
	// Total is the encoded Work of all instances, including the one that asks.
	Total []byte `codec:"w,omitempty"`
	// Placements lists the prompts that others placed since the last response.
	Placements []PromptPlacement `codec:"p,omitempty"`
	Busy       bool              `codec:"b,omitempty"`
	// HasObserved reports that Observed is included: the encoded observations of all instances,
	// including the one that asks.
	HasObserved bool   `codec:"o,omitempty"`
	Observed    []byte `codec:"v,omitempty"`
	// Limits are the rate limits that upstreams announced, as reported by all instances.
	Limits []ratelimit.Statement `codec:"l,omitempty"`
}

// Others returns the work of all instances but one, which has reported own, and the
// observations of all.
func (s *Summary) Others(own *Work) (*Report, error) {
	r := &Report{Placements: s.Placements, Busy: s.Busy, HasObserved: s.HasObserved, Limits: s.Limits}
	if len(s.Observed) > 0 {
		if err := link.Decode(s.Observed, &r.Observed); err != nil {
			return nil, err
		}
	}
	if len(s.Total) == 0 {
		return r, nil
	}
	if err := link.Decode(s.Total, &r.Work); err != nil {
		return nil, err
	}
	r.Work.subtract(own)
	return r, nil
}

type loadReport struct {
	at       time.Time
	work     Work
	busy     bool
	sequence uint64
}

// reportedPlacement is a placement with the name of its sender.
type reportedPlacement struct {
	PromptPlacement
	from string
}

// maxPlacements bounds the placements that a member holds for instances that ask rarely or have
// just started: those of half a minute at 300 new placements a second. maxPlacementsPerResponse
// bounds those in one response.
const (
	maxPlacements            = 8192
	maxPlacementsPerResponse = 1024
)

// placementLog holds the latest placements in order. next is the number of the next one.
type placementLog struct {
	entries []reportedPlacement
	next    uint64
}

func (l *placementLog) add(from string, placed []PromptPlacement) {
	for _, p := range placed {
		l.entries = append(l.entries, reportedPlacement{p, from})
		l.next++
	}
	if extra := len(l.entries) - maxPlacements; extra > maxPlacements/4 {
		l.entries = append([]reportedPlacement(nil), l.entries[extra:]...)
	}
}

// since returns the placements from a number on, the oldest first, except those that the
// named sender reported, and the number to continue from. A number from another member's
// log is too high or too low; then nothing or all that is held is new, and either is harmless.
func (l *placementLog) since(number uint64, except string) (list []PromptPlacement, next uint64) {
	first := l.next - uint64(len(l.entries))
	from := min(max(number, first), l.next)
	for i, n := range l.entries[from-first:] {
		if len(list) == maxPlacementsPerResponse {
			return list, from + uint64(i)
		}
		if n.from != except {
			list = append(list, n.PromptPlacement)
		}
	}
	return list, l.next
}

// loadReports holds the latest load reports by sender: watchers are the instances that ask
// this member, members the other members. sent holds the loads that other members were told last.
type loadReports struct {
	watchers, members map[string]loadReport
	sent              map[uint64]Load
}

func newLoadReports() loadReports {
	return loadReports{watchers: map[string]loadReport{}, members: map[string]loadReport{}, sent: map[uint64]Load{}}
}

// sum adds up the loads of the instances that ask this member, and those of the other
// members if others is set.
func (b *loadReports) sum(now time.Time, others bool) Work {
	total := newSum()
	total.addAll(now, b.watchers)
	if others {
		total.addAll(now, b.members)
	}
	return total.work()
}

// busy reports whether any instance considers upstreams busy.
func (b *loadReports) busy(now time.Time, others bool) bool {
	return anyBusy(now, b.watchers) || others && anyBusy(now, b.members)
}

func anyBusy(now time.Time, reports map[string]loadReport) bool {
	for _, r := range reports {
		if r.busy && now.Sub(r.at) < maxLoadAge {
			return true
		}
	}
	return false
}

// shareLoads sends the loads and placements of the instances that ask this member to the
// other members: what changed, and a whole report now and then.
func (s *Service) shareLoads(ctx context.Context) {
	idle := false
	var reportedAt, routesAt time.Time
	members := 1
	for clock.Sleep(ctx, changesInterval(members)) {
		g := s.cfg.Replica()
		if g == nil {
			continue
		}
		st := g.Status()
		members = len(st.Members)
		now := clock.Now()
		if now.Sub(reportedAt) < reportInterval {
			routes := now.Sub(routesAt) >= routesInterval
			if routes {
				routesAt = now
			}
			s.sendChanges(&st, s.takeChanges(now, routes))
			continue
		}
		reportedAt, routesAt = now, now
		r := s.takeReport(now)
		quiet := r.Work.empty() && len(r.Placements)+len(r.Observed)+len(r.Limits) == 0
		if quiet && idle {
			continue
		}
		idle = quiet
		s.sendReport(&st, &r)
	}
}

// takeReport returns the whole report to the other members.
func (s *Service) takeReport(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Work: s.loads.sum(now, false), Placements: s.unsentPlacements, Busy: s.loads.busy(now, false), Limits: s.limits.statements(now)}
	s.unsentPlacements = nil
	s.loads.changedLoads(&r.Work)
	if now.Sub(s.observedSentAt) >= ObservationInterval {
		r.HasObserved, r.Observed, s.observedSentAt = true, s.observed.sum(now), now
	}
	return r
}

// takeChanges returns what changed since the last report or update to the other members.
func (s *Service) takeChanges(now time.Time, routes bool) *LoadUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.loads.sum(now, false)
	u := &LoadUpdate{Loads: s.loads.changedLoads(&work), Placements: s.unsentPlacements}
	s.unsentPlacements = nil
	if u.Busy = s.loads.busy(now, false); routes && u.Busy {
		u.Routes = work.Routes
	}
	return u
}

func (s *Service) sendChanges(st *consensus.Status, u *LoadUpdate) {
	if u.empty() {
		return
	}
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelChanges, u); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("changed loads not sent")
		}
	}
}

func (s *Service) sendReport(st *consensus.Status, r *Report) {
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelLoads, r); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("loads not sent")
		}
	}
}

func otherNames(members raft.Members, self raft.MemberID) (list []string) {
	for _, m := range members {
		if m.ID != self {
			list = append(list, m.Name)
		}
	}
	return list
}

func (s *Service) receiveLoads(_ context.Context, from string, msg link.Message) (any, error) {
	var r Report
	if err := msg.Decode(&r); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads.members[from] = loadReport{at: clock.Now(), work: r.Work, busy: r.Busy}
	if r.HasObserved {
		s.observed.members[from] = observedReport{clock.Now(), r.Observed}
	}
	s.placements.add(from, r.Placements)
	s.limits.merge(clock.Now(), r.Limits)
	return nil, nil
}

// recordReport records the report of an instance that asks this member.
func (s *Service) recordReport(from string, r *Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.heard(clock.Now())
	if r.Sequence >= s.loads.watchers[from].sequence || r.Sequence == 0 {
		s.loads.watchers[from] = loadReport{at: clock.Now(), work: r.Work, busy: r.Busy, sequence: r.Sequence}
	}
	if r.HasObserved {
		s.observed.watchers[from] = observedReport{clock.Now(), r.Observed}
	}
	s.placements.add(from, r.Placements)
	s.limits.merge(clock.Now(), r.Limits)
	if len(s.unsentPlacements) < maxPlacements {
		s.unsentPlacements = append(s.unsentPlacements, r.Placements...)
	}
}

// summaryFor returns the summary of all reports and the number of the placement to send
// next. observes includes the observations.
func (s *Service) summaryFor(name string, since uint64, observes bool) (out Summary, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if now.Sub(s.encodedTotalAt) >= max(minTotalCacheTime, totalCacheFactor*s.encodingTook) {
		s.encodedTotal, s.encodedTotalAt, s.totalBusy = s.encodeTotal(now), now, s.loads.busy(now, true)
		s.encodingTook = clock.Since(now)
	}
	out = Summary{Total: s.encodedTotal, Busy: s.totalBusy, Limits: s.limits.statements(now)}
	out.Placements, next = s.placements.since(since, name)
	if observes {
		out.HasObserved, out.Observed = true, s.encodeObserved(now)
	}
	return out, next
}

// encodeObserved returns the encoded sum of all observations, which is shared by requests
// for a quarter of ObservationInterval. The caller must hold mu.
func (s *Service) encodeObserved(now time.Time) []byte {
	if now.Sub(s.encodedObservedAt) < ObservationInterval/4 {
		return s.encodedObserved
	}
	s.encodedObserved, s.encodedObservedAt = nil, now
	list := s.observed.significant(now)
	if len(list) == 0 {
		return nil
	}
	encoded, err := link.Encode(list)
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Msg("cannot encode the observations of all instances")
		return nil
	}
	s.encodedObserved = encoded
	return encoded
}

// encodeTotal encodes the work of all instances. The caller must hold mu.
func (s *Service) encodeTotal(now time.Time) []byte {
	work := s.loads.sum(now, true)
	if work.empty() {
		return nil
	}
	encoded, err := link.Encode(&work)
	if err != nil {
		s.cfg.Log.Error().Err(err).Str("event", "loads_unreadable").Msg("cannot encode the loads of all instances")
		return nil
	}
	return encoded
}
