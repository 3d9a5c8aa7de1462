// Package serving runs the replicated state that instances forward requests by, at
// the instances of the control group: it takes tables from operators and
// announcements from upstreams, and answers the questions of the instances that
// follow (package follow).
//
// Every answer that says "this is the newest" rests on a read that a quorum has
// confirmed after the question came.
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

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Defaults of a Config.
const (
	// DefaultSilenceTimeout is after what silence an upstream is told to be silent: some
	// three heartbeats.
	DefaultSilenceTimeout = 4500 * time.Millisecond
	// DefaultTimeout bounds a change. Callers that get no answer try elsewhere.
	DefaultTimeout = 3 * time.Second
)

// Config of a Service.
type Config struct {
	// Name is this instance's name, Domain its failure domain.
	Name, Domain string
	// Replica returns the member of the control group that runs here, or nil.
	Replica func() *consensus.Service
	Links   Links
	// SilenceTimeout and Timeout; zero means the defaults.
	SilenceTimeout, Timeout time.Duration
	// Usage has the instances' counts of requests committed.
	Usage bool
	Log   zerolog.Logger
}

// Service is the serving state at one member. It is safe for concurrent use.
type Service struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// news is closed and made anew with each change of the state.
	news  chan struct{}
	index uint64
	// quarantined is the index of the list of quarantined requests.
	quarantined uint64
	heard       map[string]time.Time
	fresh       map[string]bool
	watched     map[string]time.Time
	own         map[string]bool
	loads       loadBook
	// total is the encoded work of all instances, as of totalAt.
	total   []byte
	totalAt time.Time
	encoded encodedChanges
	placed  placedLog
	// observed are the observations, observedAll those of all, encoded, as of observedAt;
	// observedSent is when the other members were told.
	observed                 observedBook
	observedAll              []byte
	observedAt, observedSent time.Time
	limits                   limitBook
	// unsent are the notes that the other members were not told yet.
	unsent []PromptPlacement
	// table is the table in force.
	table tableCache
	// leads is since when this member leads, zero while it does not.
	leads time.Time
	// metering has a mutex of its own; nil where nothing is counted.
	metering *metering
}

// New returns a service that is not started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.SilenceTimeout <= 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	s := &Service{
		cfg: cfg, news: make(chan struct{}), heard: map[string]time.Time{}, fresh: map[string]bool{},
		watched: map[string]time.Time{}, own: map[string]bool{}, loads: newLoadBook(), observed: newObservedBook(), limits: newLimitBook(),
	}
	if cfg.Usage {
		s.metering = newMetering()
	}
	cfg.Links.Handle(ChannelWatch, s.watch)
	cfg.Links.Handle(channelDigest, s.receiveDigest, link.Lossy())
	cfg.Links.Handle(channelLoads, s.receiveLoads, link.Lossy())
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.exchange(ctx) })
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

var errNoMember = fault.New(fault.Unavailable, "this instance is no member of the control group yet").WithRetryAfter(time.Second)

func (s *Service) replica() (*consensus.Service, error) {
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	return g, nil
}

// machine runs f on the state; f must not keep what it gets.
func machine(g *consensus.Service, f func(*serving.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(serving.Name).(*serving.Machine)) })
}

// usageMachine runs f on the counts; f must not keep what it gets.
func usageMachine(g *consensus.Service, f func(*usage.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(usage.Name).(*usage.Machine)) })
}

// quarantineMachine runs f on the quarantined requests; f must not keep what it gets.
func quarantineMachine(g *consensus.Service, f func(*quarantine.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(quarantine.Name).(*quarantine.Machine)) })
}

// indexes returns the log indexes of the last changes of the state and of the quarantine.
func indexes(g *consensus.Service) (index, quarantined uint64) {
	machine(g, func(m *serving.Machine) { index = m.Index() })
	quarantineMachine(g, func(m *quarantine.Machine) { quarantined = m.Index() })
	return index, quarantined
}

// Applied is told of each entry of the control log that this member applied.
func (s *Service) Applied(uint64) {
	g := s.cfg.Replica()
	if g == nil {
		return
	}
	index, quarantined := indexes(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	if index == s.index && quarantined == s.quarantined {
		return
	}
	s.index, s.quarantined = index, quarantined
	close(s.news)
	s.news = make(chan struct{})
}

// Put has a table replicated, with the form in which it came. It returns when the
// table, or one of a higher version, is in force; whoever sends it again, or sends
// an older one, gets the same answer. It fails with fault.Invalid when the table is
// faulty, whatever its version, and otherwise as consensus.Propose does.
func (s *Service) Put(ctx context.Context, t *route.Table, source []byte) error {
	if err := t.Validate(); err != nil {
		return err
	}
	encoded, err := corecontrol.Marshal(t)
	if err != nil {
		return err
	}
	err = s.propose(ctx, &serving.Command{Put: &serving.Put{Version: t.Version, Table: encoded, Source: source}})
	s.cfg.Log.Info().Str("event", "table_put").Uint64("version", t.Version).Int("bytes", len(source)).
		Int("routes", len(t.Routes)).Str("outcome", outcome(err)).Err(err).Msg("table from an operator")
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

// Newest returns the newest version and the form in which it came, after a quorum
// has confirmed that it is. It fails with fault.Unavailable, also while there is none.
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
	machine(g, func(m *serving.Machine) { version, source = m.Source() })
	if version == 0 {
		return 0, nil, fault.New(fault.Unavailable, "there is no table yet").WithRetryAfter(time.Second)
	}
	return version, source, nil
}

// Announce takes a heartbeat of an upstream. One that says nothing new is not
// replicated. When Announce returns without a failure, every confirmed answer from
// then on has it.
func (s *Service) Announce(ctx context.Context, u serving.Upstream) error {
	g, err := s.replica()
	if err != nil {
		return err
	}
	var known serving.Upstream
	var ok bool
	machine(g, func(m *serving.Machine) { known, ok = m.Upstream(u.ID) })
	s.note(u.ID)
	if ok && !serving.ChangesState(&known, &u) {
		return nil
	}
	err = s.propose(ctx, &serving.Command{Announce: &u})
	s.cfg.Log.Info().Str("event", "upstream_announced").Str("upstream", u.ID).Str("service", u.Service).Str("address", u.Address).
		Str("state", u.State.String()).Int64("born", u.StartedAt).Uint64("sequence", u.Sequence).Str("before", known.State.String()).Bool("was_silent", known.Silent).Bool("preemptible", u.Preemptible).Int64("leaves_ms", u.LeavesMS).
		Str("outcome", outcome(err)).Err(err).Msg("heartbeat of an upstream")
	return err
}

// Leave takes the leave of an upstream that started at a Unix millisecond; zero where it
// does not say when. When it returns without a failure, every confirmed answer from then
// on has it.
func (s *Service) Leave(ctx context.Context, id string, born int64) error {
	err := s.propose(ctx, &serving.Command{Leave: id, LeaveStartedAt: born})
	s.cfg.Log.Info().Str("event", "upstream_left").Str("upstream", id).Int64("born", born).Str("outcome", outcome(err)).Err(err).Msg("an upstream leaves")
	return err
}

func (s *Service) note(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[id] = clock.Now()
	s.fresh[id] = true
}
