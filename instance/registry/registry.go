// Package registry runs a failure domain's view of its upstreams: it takes
// announcements in, relays them to the domain's other instances and publishes
// snapshots.
package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	channelBeats = "registry.beats"
	channelWant  = "registry.want"
)

const (
	// DefaultInterval is how long accepted beats wait to be relayed together
	// to the peer that needs them first, and to all when an upstream came or
	// went; it adds that much to the age of what is known there.
	DefaultInterval = 100 * time.Millisecond
	// relayIntervals is how many intervals beats wait for the other peers. An
	// upstream's next beat still arrives 2 s before the last one's lifetime of
	// 3 s ends, so that one lost message does no harm.
	relayIntervals = 4
	// maxPending bounds the beats that wait for the next relay.
	maxPending = core.MaxUpstreams
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Config of a Service.
type Config struct {
	// Self is this instance's name, Domain its failure domain.
	Self   string
	Domain string
	Links  Links
	// Peers returns the names of the domain's other instances.
	Peers func() []string
	// First returns the peer that acts on the upstreams' load: the domain's
	// scheduler. It is told at each interval, the others at every fourth. Nil,
	// or an empty name, tells all at each interval.
	First func() string
	Log   zerolog.Logger
	// Interval of relays and of the check for silent upstreams; zero means
	// DefaultInterval.
	Interval time.Duration
	// OnChange is called with each new snapshot, in order. It must not block.
	OnChange func(*core.View)
}

// batch is one message to the peers.
type batch struct {
	Beats  []core.RelayedBeat `codec:"b,omitempty"`
	Briefs []core.CompactBeat `codec:"s,omitempty"`
}

// want asks for the whole beats of upstreams that a peer knows.
type want struct {
	Refs []uint64 `codec:"r"`
}

type pending struct {
	m  core.RelayedBeat
	at time.Time
}

// Service is one instance's view of the upstreams of its failure domain.
type Service struct {
	cfg   Config
	view  atomic.Pointer[core.View]
	mu    sync.Mutex
	state *core.Registry
	// queue waits for all peers; its entries from fresh on came since the last
	// interval. hurry says that it may not wait, as an upstream came or went.
	queue  []pending
	fresh  int
	hurry  bool
	ticks  int
	first  string // who was told first at the last relay
	waits  bool   // somebody else acts on the load, so that it may be shown late
	turns  uint64 // as of the published view
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a service that is not started; it registers its channel.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	s := &Service{cfg: cfg, state: core.New(cfg.Domain)}
	s.view.Store(s.state.View())
	cfg.Links.Handle(channelBeats, s.receive, link.Lossy())
	cfg.Links.Handle(channelWant, s.wanted, link.Lossy())
	return s
}

// Start begins to relay beats and to expire silent upstreams.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop ends the relays.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return nil
}

// View returns the latest snapshot of the upstreams that may be given new work.
// Their coming and going shows at once, their load within Config.Interval where
// it is acted on and within four of them elsewhere.
func (s *Service) View() *core.View { return s.view.Load() }

// Announce takes in a beat that an upstream sent to this instance. It fails with
// fault.Invalid for a malformed beat or one of another failure domain and with
// fault.Overloaded when too many upstreams are known; a late or repeated beat is
// no failure.
func (s *Service) Announce(beat announce.Heartbeat) error {
	if err := beat.Validate(); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state.Apply(now, beat) {
	case core.WrongDomain:
		return fault.New(fault.Invalid, "domain: %q is not %q, whose instances this one belongs to", beat.Domain, s.cfg.Domain)
	case core.Full:
		return fault.New(fault.Overloaded, "%d upstreams are known already", core.MaxUpstreams)
	case core.Accepted:
		s.enqueue(pending{core.RelayedBeat{Beat: beat, Remaining: min(beat.TTL(), core.MaxSilence)}, now})
		s.publishTurns()
	}
	return nil
}

// enqueue keeps a beat for the next relay; the oldest goes when there are too
// many, as its upstream sends another one within a second.
func (s *Service) enqueue(p pending) {
	if len(s.queue) >= maxPending {
		s.queue = s.queue[1:]
		s.fresh = max(s.fresh-1, 0)
	}
	s.queue = append(s.queue, p)
}

// publishTurns publishes at once when an upstream came or went. Other changes,
// which come with each beat, wait for the next tick: a snapshot for each of them
// took a quarter of what a domain of 21 instances spends on control.
func (s *Service) publishTurns() {
	if s.state.MembershipChanges() != s.turns {
		s.hurry = true
		s.publish()
	}
}

func (s *Service) publish() {
	s.turns = s.state.MembershipChanges()
	v := s.state.View()
	if v == s.view.Load() {
		return
	}
	s.view.Store(v)
	if s.cfg.OnChange != nil {
		s.cfg.OnChange(v)
	}
}

func (s *Service) receive(_ context.Context, from string, m link.Message) (any, error) {
	var b batch
	if err := m.Decode(&b); err != nil {
		return nil, err
	}
	if unknown := s.take(time.Now(), from, b); len(unknown) > 0 {
		return nil, s.cfg.Links.Send(from, channelWant, want{unknown})
	}
	return nil, nil
}

// take applies a peer's beats and returns the references of brief beats that
// cannot be understood, as too little is known of their upstreams.
func (s *Service) take(now time.Time, from string, b batch) []uint64 {
	var unknown []uint64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Expire(now)
	for _, r := range b.Beats {
		if err := r.Beat.Validate(); err != nil {
			s.cfg.Log.Warn().Err(err).Str("peer", from).Msg("relayed beat refused")
			continue
		}
		// A leave is relayed by each that hears it first, since no later beat
		// makes up for a lost one.
		if s.state.ApplyRelayed(now, r) == core.Accepted && r.Beat.Leave {
			s.enqueue(pending{r, now})
		}
	}
	for _, brief := range b.Briefs {
		if s.state.ApplyCompact(now, brief) == core.Unknown {
			unknown = append(unknown, brief.Ref)
		}
	}
	s.publishTurns()
	return unknown
}

// wanted answers a peer that lacks whole beats.
func (s *Service) wanted(_ context.Context, from string, m link.Message) (any, error) {
	var w want
	if err := m.Decode(&w); err != nil {
		return nil, err
	}
	var b batch
	now := time.Now()
	s.mu.Lock()
	for _, ref := range w.Refs {
		if r, ok := s.state.FullBeat(now, ref); ok {
			b.Beats = append(b.Beats, r)
		}
	}
	s.mu.Unlock()
	if len(b.Beats) == 0 {
		return nil, nil
	}
	return nil, s.cfg.Links.Send(from, channelBeats, b)
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	for _, name := range s.state.Expire(now) {
		s.cfg.Log.Warn().Str("upstream", name).Msg("upstream silent, no new work")
	}
	if s.state.MembershipChanges() != s.turns {
		s.publish()
	}
	s.ticks++
	if !s.waits || s.ticks%relayIntervals == 0 {
		s.publish()
	}
	waiting := len(s.queue) > 0
	s.mu.Unlock()
	if waiting {
		s.relay(now)
	}
}

// relay sends what waits: all of it to all peers when it is time for that, else
// what is fresh to the first. A peer that has just become the first one has got
// nothing of what waits, nor has the one that was it before missed anything.
func (s *Service) relay(now time.Time) {
	first := ""
	if s.cfg.First != nil {
		first = s.cfg.First()
	}
	s.mu.Lock()
	changed := first != s.first
	toAll := first == "" || changed || s.hurry || s.ticks%relayIntervals == 0
	fresh := packed(now, s.queue[s.fresh:])
	all := fresh
	if toAll {
		all = packed(now, s.queue)
		s.queue, s.hurry = nil, false
	}
	s.first, s.fresh = first, len(s.queue)
	s.waits = first != "" && first != s.cfg.Self
	s.mu.Unlock()
	for _, peer := range s.cfg.Peers() {
		switch {
		case peer == first && !changed:
			s.send(peer, fresh)
		case toAll:
			s.send(peer, all)
		}
	}
}

// packed makes a message of beats that were held.
func packed(now time.Time, held []pending) (b batch) {
	for _, p := range held {
		m, ok := core.WithDelay(p.m, now.Sub(p.at))
		if !ok {
			continue
		}
		if brief, ok := core.Compact(m); ok {
			b.Briefs = append(b.Briefs, brief)
			continue
		}
		b.Beats = append(b.Beats, m)
	}
	return b
}

func (s *Service) send(peer string, b batch) {
	if len(b.Beats)+len(b.Briefs) == 0 {
		return
	}
	if err := s.cfg.Links.Send(peer, channelBeats, b); err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", peer).Msg("beats not relayed")
	}
}
