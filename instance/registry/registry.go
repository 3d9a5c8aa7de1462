// Package registry maintains an instance's view of the upstreams in its failure domain: it
// accepts announcements, relays them to the domain's other instances and publishes snapshots.
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
	// DefaultInterval is how long accepted beats are batched before they are relayed to the
	// scheduler. The other peers get them at every fourth interval, or at the next one when an
	// upstream came or went. The interval adds to the age of what a peer knows.
	DefaultInterval = 100 * time.Millisecond
	// relayIntervals is the number of intervals between relays to the other peers. An
	// upstream's next beat still arrives 2 s before the lifetime of 3 s of the last one ends,
	// so that one lost message does no harm.
	relayIntervals = 4
	// maxPending bounds the beats that are queued for the next relay.
	maxPending = core.MaxUpstreams
)

// Links is the part of instance/link that this service uses.
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
	// Scheduler returns the peer that acts on the upstreams' load: the domain's scheduler. Beats
	// are relayed to it at each interval, to the others at every fourth. If it is nil or returns
	// an empty name, beats are relayed to all peers at each interval.
	Scheduler func() string
	Log       zerolog.Logger
	// Interval is the period of relays and of the check for silent upstreams; zero means
	// DefaultInterval.
	Interval time.Duration
	// OnChange is called with each new snapshot, in order. It must not block.
	OnChange func(*core.View)
}

// batch is a message of relayed beats.
type batch struct {
	Beats   []core.RelayedBeat `codec:"b,omitempty"`
	Compact []core.CompactBeat `codec:"s,omitempty"`
}

// want requests the full beats of upstreams of which a peer has sent compact beats.
type want struct {
	Refs []uint64 `codec:"r"`
}

// pending is a beat that is queued since at.
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
	// queue holds the beats for the next relay to all peers. Those from index unsent on came
	// since the last interval. sendNow makes the next tick relay to all peers, because an
	// upstream came or went.
	queue            []pending
	unsent           int
	sendNow          bool
	ticks            int
	lastScheduler    string // the scheduler at the last relay
	deferLoad        bool   // another instance acts on the load, so it may be published late
	publishedChanges uint64 // membership changes in the published view
	cancel           context.CancelFunc
	done             sync.WaitGroup
}

// New returns a service that is not started. It registers its channels.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	s := &Service{cfg: cfg, state: core.New(cfg.Domain)}
	s.view.Store(s.state.View())
	cfg.Links.Handle(channelBeats, s.receive, link.Lossy())
	cfg.Links.Handle(channelWant, s.handleWant, link.Lossy())
	return s
}

// Start starts to relay beats and to expire silent upstreams.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop stops the relays.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return nil
}

// View returns the latest snapshot of the upstreams that may be given new work. Upstreams that
// come or go appear in it at once. Their load appears within one Config.Interval at the
// scheduler and within four at other instances.
func (s *Service) View() *core.View { return s.view.Load() }

// Announce processes a beat that an upstream sent to this instance. It fails with fault.Invalid
// for a malformed beat or one of another failure domain and with fault.Overloaded when too
// many upstreams are known. A late or repeated beat is ignored without an error.
func (s *Service) Announce(beat announce.Heartbeat) error {
	if err := beat.Validate(); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state.Apply(now, beat) {
	case core.WrongDomain:
		return fault.New(fault.Invalid, "domain: %q does not match this instance's failure domain %q", beat.Domain, s.cfg.Domain)
	case core.Full:
		return fault.New(fault.Overloaded, "the limit of %d known upstreams is reached", core.MaxUpstreams)
	case core.Accepted:
		s.enqueue(pending{core.RelayedBeat{Beat: beat, Remaining: min(beat.TTL(), core.MaxSilence)}, now})
		s.publishMembershipChanges()
	}
	return nil
}

// enqueue adds a beat to the queue for the next relay. A full queue drops its oldest beat,
// because its upstream sends another one within a second.
func (s *Service) enqueue(p pending) {
	if len(s.queue) >= maxPending {
		s.queue = s.queue[1:]
		s.unsent = max(s.unsent-1, 0)
	}
	s.queue = append(s.queue, p)
}

// publishMembershipChanges publishes a snapshot at once when an upstream came or went. Other
// changes, which come with each beat, wait for the next tick: a snapshot for each of them took
// a quarter of what a domain of 21 instances spends on control.
func (s *Service) publishMembershipChanges() {
	if s.state.MembershipChanges() != s.publishedChanges {
		s.sendNow = true
		s.publish()
	}
}

func (s *Service) publish() {
	s.publishedChanges = s.state.MembershipChanges()
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
	if unknown := s.applyBatch(time.Now(), from, b); len(unknown) > 0 {
		return nil, s.cfg.Links.Send(from, channelWant, want{unknown})
	}
	return nil, nil
}

// applyBatch applies a peer's beats and returns the references of compact beats whose omitted
// fields are not known here.
func (s *Service) applyBatch(now time.Time, from string, b batch) []uint64 {
	var unknown []uint64
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Expire(now)
	for _, r := range b.Beats {
		if err := r.Beat.Validate(); err != nil {
			s.cfg.Log.Warn().Err(err).Str("peer", from).Msg("relayed beat rejected")
			continue
		}
		// Each instance relays a leave once more, because no later beat makes up for a
		// lost one.
		if s.state.ApplyRelayed(now, r) == core.Accepted && r.Beat.Leave {
			s.enqueue(pending{r, now})
		}
	}
	for _, compact := range b.Compact {
		if s.state.ApplyCompact(now, compact) == core.Unknown {
			unknown = append(unknown, compact.Ref)
		}
	}
	s.publishMembershipChanges()
	return unknown
}

// handleWant sends full beats to a peer that requested them.
func (s *Service) handleWant(_ context.Context, from string, m link.Message) (any, error) {
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
		s.cfg.Log.Warn().Str("upstream", name).Msg("upstream is silent, no new work is assigned to it")
	}
	if s.state.MembershipChanges() != s.publishedChanges {
		s.publish()
	}
	s.ticks++
	if !s.deferLoad || s.ticks%relayIntervals == 0 {
		s.publish()
	}
	waiting := len(s.queue) > 0
	s.mu.Unlock()
	if waiting {
		s.relay(now)
	}
}

// relay sends the queued beats: all of them to all peers when a relay to all is due, otherwise
// the unsent ones to the scheduler. A peer that has just become the scheduler lacks all queued
// beats, while the former scheduler has them already; so a change causes a relay to all.
func (s *Service) relay(now time.Time) {
	scheduler := ""
	if s.cfg.Scheduler != nil {
		scheduler = s.cfg.Scheduler()
	}
	s.mu.Lock()
	changed := scheduler != s.lastScheduler
	toAll := scheduler == "" || changed || s.sendNow || s.ticks%relayIntervals == 0
	unsent := newBatch(now, s.queue[s.unsent:])
	all := unsent
	if toAll {
		all = newBatch(now, s.queue)
		s.queue, s.sendNow = nil, false
	}
	s.lastScheduler, s.unsent = scheduler, len(s.queue)
	s.deferLoad = scheduler != "" && scheduler != s.cfg.Self
	s.mu.Unlock()
	for _, peer := range s.cfg.Peers() {
		switch {
		case peer == scheduler && !changed:
			s.send(peer, unsent)
		case toAll:
			s.send(peer, all)
		}
	}
}

// newBatch builds a message from queued beats, in compact form where possible. It drops expired
// ones.
func newBatch(now time.Time, beats []pending) (b batch) {
	for _, p := range beats {
		m, ok := core.WithDelay(p.m, now.Sub(p.at))
		if !ok {
			continue
		}
		if compact, ok := core.Compact(m); ok {
			b.Compact = append(b.Compact, compact)
			continue
		}
		b.Beats = append(b.Beats, m)
	}
	return b
}

func (s *Service) send(peer string, b batch) {
	if len(b.Beats)+len(b.Compact) == 0 {
		return
	}
	if err := s.cfg.Links.Send(peer, channelBeats, b); err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", peer).Msg("failed to relay beats")
	}
}
