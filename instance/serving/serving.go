// Package serving is the service of the replicated serving state on the members of the
// control group. It accepts routing tables from operators and announcements from
// upstreams, and answers the watch requests of the instances that follow the state
// (package follow).
//
// Every response that claims to be current rests on a read that a quorum confirmed
// after the request arrived.
package serving

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// Links is the part of instance/link that this service uses.
type Links interface {
	Send(to, channel string, msg any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Defaults of a Config.
const (
	// DefaultSilenceTimeout is the time without a heartbeat after which an upstream is
	// marked silent: about three heartbeat intervals.
	DefaultSilenceTimeout = 4500 * time.Millisecond
	// DefaultTimeout bounds a change. Callers that get no response in time try another member.
	DefaultTimeout = 3 * time.Second
)

// Config holds the settings of a Service.
type Config struct {
	// Name is the name of this instance and Domain its failure domain.
	Name, Domain string
	// Replica returns the control group member that runs on this instance, or nil.
	Replica func() *consensus.Service
	Links   Links
	// SilenceTimeout and Timeout default to DefaultSilenceTimeout and DefaultTimeout.
	SilenceTimeout, Timeout time.Duration
	// BudgetWindow is the window of the retry budget that instances share; zero if there is none.
	BudgetWindow time.Duration
	// Usage makes the members commit the request counts of the instances.
	Usage bool
	Log   zerolog.Logger
}

// Service is the serving state service of one member. It is safe for concurrent use.
type Service struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// changed is closed and replaced at each change of the state.
	changed chan struct{}
	index   uint64
	// quarantineIndex is the log index of the last change of the quarantine list.
	quarantineIndex uint64
	// lastHeard maps upstreams to the time of their last heartbeat at any member, and
	// watchers maps forwarding instances to the time of their last request. unsentHeard and
	// unsentWatchers hold those that were heard since the last digest, watcherSentAt when a digest
	// last listed an instance. starting holds the members that asked for all instances.
	lastHeard      map[string]time.Time
	unsentHeard    map[string]bool
	watchers       map[string]time.Time
	unsentWatchers map[string]bool
	watcherSentAt  map[string]time.Time
	starting       map[string]bool
	ranks          ranks
	startedAt      time.Time
	// missedDigestsAt is until when digests of other members may be missing.
	missedDigestsAt time.Time
	loads           loadReports
	// encodedTotal is the encoded work of all instances, and totalBusy whether any of them considers
	// upstreams busy, as of encodedTotalAt; encodingTook is how long that took.
	encodedTotal   []byte
	totalBusy      bool
	encodedTotalAt time.Time
	encodingTook   time.Duration
	encoded        encodedChanges
	placements     placementLog
	// observed holds the observations; encodedObserved is their encoded sum, computed at
	// encodedObservedAt. observedSentAt is when they were last sent to the other members.
	observed                          observedReports
	encodedObserved                   []byte
	encodedObservedAt, observedSentAt time.Time
	limits                            limitTracker
	slots                             slotGrants
	// unsentPlacements were not sent to the other members yet.
	unsentPlacements []PromptPlacement
	// table caches the routing table in force.
	table tableCache
	// leaderSince is the time at which this member became the leader; zero while it is not.
	leaderSince time.Time
	// confirmations has its own mutex.
	confirmations replicaConfirmations
	// tunnels has its own mutex.
	tunnels tunnelServers
	// metering has its own mutex. It is nil if usage is not counted.
	metering *metering
}

// New returns a service that is not started and registers its channels.
func New(cfg Config) *Service {
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	s := &Service{
		cfg: cfg, changed: make(chan struct{}), lastHeard: map[string]time.Time{}, unsentHeard: map[string]bool{},
		watchers: map[string]time.Time{}, ranks: newRanks(), unsentWatchers: map[string]bool{}, watcherSentAt: map[string]time.Time{}, starting: map[string]bool{}, startedAt: clock.Now(), missedDigestsAt: clock.Now(), loads: newLoadReports(), observed: newObservedReports(), limits: newLimitTracker(), tunnels: newTunnelServers(),
	}
	if cfg.Usage {
		s.metering = newMetering()
	}
	cfg.Links.Handle(ChannelWatch, s.watch)
	cfg.Links.Handle(channelDigest, s.receiveDigest, link.Lossy())
	cfg.Links.Handle(channelLoads, s.receiveLoads, link.Lossy())
	cfg.Links.Handle(ChannelLoadUpdate, s.receiveUpdate, link.Lossy())
	cfg.Links.Handle(channelChanges, s.receiveChanges, link.Lossy())
	cfg.Links.Handle(ChannelSlots, s.receiveSlotRequest)
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.exchangeDigests(ctx) })
	s.done.Go(func() { s.shareLoads(ctx) })
	if s.metering != nil {
		s.done.Go(func() { s.commitUsage(ctx) })
	}
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return nil
}

var errNoMember = fault.New(fault.Unavailable, "this instance is not a member of the control group yet").WithRetryAfter(time.Second)

func (s *Service) replica() (*consensus.Service, error) {
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	return g, nil
}

// viewServing runs f on the serving state; f must not retain its argument.
func viewServing(g *consensus.Service, f func(*serving.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(serving.Name).(*serving.Machine)) })
}

// viewUsage runs f on the usage counts; f must not retain its argument.
func viewUsage(g *consensus.Service, f func(*usage.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(usage.Name).(*usage.Machine)) })
}

// viewQuarantine runs f on the quarantine list; f must not retain its argument.
func viewQuarantine(g *consensus.Service, f func(*quarantine.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(quarantine.Name).(*quarantine.Machine)) })
}

// stateIndexes returns the log indexes of the last changes of the serving state and of
// the quarantine list.
func stateIndexes(g *consensus.Service) (index, quarantined uint64) {
	viewServing(g, func(m *serving.Machine) { index = m.Index() })
	viewQuarantine(g, func(m *quarantine.Machine) { quarantined = m.Index() })
	return index, quarantined
}

// Applied is called after each control log entry that this member applied.
func (s *Service) Applied(uint64) {
	g := s.cfg.Replica()
	if g == nil {
		return
	}
	index, quarantined := stateIndexes(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	if index == s.index && quarantined == s.quarantineIndex {
		return
	}
	s.index, s.quarantineIndex = index, quarantined
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put replicates a routing table together with its source text. It returns once this
// table, or one of a higher version, is in force; repeating a table or sending an older
// one gives the same result. It fails with fault.Invalid if the table is invalid,
// whatever its version, and otherwise like consensus.Propose.
func (s *Service) Put(ctx context.Context, t *route.Table, source []byte) error {
	if err := t.Validate(); err != nil {
		return err
	}
	encoded, err := corecontrol.Marshal(t)
	if err != nil {
		return err
	}
	for _, field := range t.Ignored {
		s.cfg.Log.Warn().Str("event", "table_field_ignored").Uint64("version", t.Version).Str("field", field).Msg("invalid value in a routing table, treated as absent")
	}
	err = s.propose(ctx, &serving.Command{Put: &serving.Put{Version: t.Version, Table: encoded, Source: source}})
	s.cfg.Log.Info().Str("event", "table_put").Uint64("version", t.Version).Int("bytes", len(source)).
		Int("routes", len(t.Routes)).Str("outcome", outcome(err)).Err(err).Msg("routing table from an operator")
	return err
}

func outcome(err error) string {
	if err == nil {
		return "acknowledged"
	}
	return string(fault.CodeOf(err))
}

func (s *Service) propose(ctx context.Context, c *serving.Command) error {
	g, err := s.replica()
	if err != nil {
		return err
	}
	data, err := corecontrol.Marshal(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	_, _, err = g.Propose(ctx, serving.Name, data)
	return err
}

// Newest returns the newest version and its source text after a quorum confirmed that it
// is the newest. It fails with fault.Unavailable, also while there is no table.
func (s *Service) Newest(ctx context.Context) (version uint64, source []byte, err error) {
	g, err := s.replica()
	if err != nil {
		return 0, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timeout)
	defer cancel()
	if _, err := g.Read(ctx); err != nil {
		return 0, nil, err
	}
	viewServing(g, func(m *serving.Machine) { version, source = m.Source() })
	if version == 0 {
		return 0, nil, fault.New(fault.Unavailable, "there is no routing table yet").WithRetryAfter(time.Second)
	}
	return version, source, nil
}

// Announce handles a heartbeat of an upstream. A heartbeat that does not change the confirmed state
// is not replicated. Once Announce returns without an error, every confirmed response
// reflects it.
func (s *Service) Announce(ctx context.Context, u serving.Upstream) error {
	g, err := s.replica()
	if err != nil {
		return err
	}
	s.recordHeartbeat(u.ID)
	known, changes := compareState(g, &u)
	if !changes {
		// The state of a member that is cut off or stopped may lack that the upstream fell silent.
		if _, err := s.confirmations.of(g).after(ctx, clock.Now()); err != nil {
			return fault.New(fault.Unavailable, "no quorum confirms the state of this member").WithRetryAfter(heartbeatRetryAfter)
		}
		if known, changes = compareState(g, &u); !changes {
			return nil
		}
	}
	err = s.propose(ctx, &serving.Command{Announce: &u})
	if err == nil && !isRecorded(g, u.ID) {
		err = fault.New(fault.Overloaded, "upstream %s was not recorded: there are %d others already", u.ID, serving.MaxUpstreams)
	}
	s.cfg.Log.Info().Str("event", "upstream_announced").Str("upstream", u.ID).Str("service", u.Service).Str("address", u.Address).
		Str("state", u.State.String()).Int64("born", u.StartedAt).Uint64("sequence", u.Sequence).Str("before", known.State.String()).Bool("was_silent", known.Silent).Bool("preemptible", u.Preemptible).Int64("leaves_ms", u.LeavesMS).Int64("warm_ms", u.WarmMS).
		Str("outcome", outcome(err)).Err(err).Msg("heartbeat of an upstream")
	return err
}

// heartbeatRetryAfter is the retry hint for a heartbeat at a member without a quorum: an election takes
// about as long.
const heartbeatRetryAfter = 500 * time.Millisecond

// compareState returns what a replica knows of an upstream, and whether a heartbeat changes it.
func compareState(g *consensus.Service, u *serving.Upstream) (known serving.Upstream, changes bool) {
	var ok bool
	viewServing(g, func(m *serving.Machine) {
		known, ok = m.Upstream(u.ID)
		changes = !ok || serving.ChangesState(&known, u) || m.ChangesWarmUp(&known, u, time.Now())
	})
	return known, changes
}

// isRecorded reports whether this member's state contains an upstream.
func isRecorded(g *consensus.Service, id string) (ok bool) {
	viewServing(g, func(m *serving.Machine) { _, ok = m.Upstream(id) })
	return ok
}

// Leave deregisters an upstream that started at startedAt, in Unix milliseconds; zero if
// the start is unknown. Once Leave returns without an error, every confirmed response
// reflects it.
func (s *Service) Leave(ctx context.Context, id string, startedAt int64) error {
	err := s.propose(ctx, &serving.Command{Leave: id, LeaveStartedAt: startedAt})
	s.cfg.Log.Info().Str("event", "upstream_left").Str("upstream", id).Int64("born", startedAt).Str("outcome", outcome(err)).Err(err).Msg("upstream deregistered")
	return err
}

func (s *Service) recordHeartbeat(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeard[id] = clock.Now()
	s.unsentHeard[id] = true
}
