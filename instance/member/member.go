package member

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// Channels of this service.
const (
	channelBeat  = "member.beat"
	channelLeave = "member.leave"
)

// Defaults of Config.
const (
	// DefaultInterval of heartbeats matches core/member's DefaultConfig.
	DefaultInterval = time.Second
	// DefaultLeaveTimeout bounds how long a leave waits for the acknowledgements of its peers.
	DefaultLeaveTimeout = time.Second
)

// digestRounds is the number of heartbeat rounds per digest sent to the other failure domains,
// which need less detail.
const digestRounds = 5

// The first startRounds rounds run startSpeedup times faster, so that a starting instance and
// its peers learn of each other quickly.
const (
	startRounds  = 10
	startSpeedup = 5
)

// Links is the part of instance/link that this service uses.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
	Forget(name string)
}

// Config of a Service.
type Config struct {
	// Self is this instance. Its incarnation must exceed that of any earlier start under the
	// same name; the start time meets this.
	Self  core.Info
	Seeds []string
	Book  *Book
	Links Links
	Table core.Config
	Log   zerolog.Logger
	// Interval of heartbeats; zero means DefaultInterval.
	Interval time.Duration
	// OnSuperseded is called once when a newer process uses this instance's name.
	OnSuperseded func()
	// OnChange is called after each round, from the service's goroutine.
	OnChange func()
}

// Service runs one instance's membership.
type Service struct {
	cfg                Config
	mu                 sync.Mutex
	table              *core.Table
	round              int
	supersededReported bool
	sendNow            chan struct{}
	cancel             context.CancelFunc
	done               sync.WaitGroup
}

// New returns a service that is not started. It registers its channels.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Table == (core.Config{}) {
		cfg.Table = core.DefaultConfig()
	}
	s := &Service{cfg: cfg, table: core.New(cfg.Table, cfg.Self), sendNow: make(chan struct{}, 1)}
	cfg.Links.Handle(channelBeat, s.receive, link.Lossy(), link.Lazy())
	cfg.Links.Handle(channelLeave, s.receive)
	return s
}

// Start starts sending heartbeats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop leaves the failure domain: it notifies all live peers and waits for their acknowledgements,
// for DefaultLeaveTimeout at most. Peers that miss the message detect the leave by silence.
func (s *Service) Stop(ctx context.Context) error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, DefaultLeaveTimeout)
	defer cancel()
	s.mu.Lock()
	s.table.Leave()
	m := s.table.Heartbeat()
	peers := s.livePeers(time.Now())
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, name := range peers {
		calls.Go(func() {
			if err := s.cfg.Links.Call(ctx, name, channelLeave, m, nil); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("leave was not acknowledged")
			}
		})
	}
	calls.Wait()
	return nil
}

// livePeers returns the peers of the failure domain that can be expected to answer.
func (s *Service) livePeers(now time.Time) []string {
	var names []string
	for _, m := range s.table.Members(now) {
		if m.Name != s.cfg.Self.Name && m.Domain == s.cfg.Self.Domain && m.Status < core.Dead {
			names = append(names, m.Name)
		}
	}
	return names
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		s.runRound(time.Now())
		switch {
		case s.round <= startRounds:
			ticker.Reset(s.cfg.Interval / startSpeedup)
		case s.round == startRounds+1:
			ticker.Reset(s.cfg.Interval)
		}
		select {
		case <-ticker.C:
		case <-s.sendNow:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) receive(_ context.Context, _ string, m link.Message) (any, error) {
	var msg core.Message
	if err := m.Decode(&msg); err != nil {
		return nil, err
	}
	if msg.From.Name == "" || msg.From.Domain == "" {
		return nil, fault.New(fault.Invalid, "heartbeat without name or failure domain")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Receive(time.Now(), msg) {
		select {
		case s.sendNow <- struct{}{}:
		default:
		}
	}
	return nil, nil
}

// outgoing is one message and its recipients.
type outgoing struct {
	to  []string
	msg core.Message
}

func (s *Service) runRound(now time.Time) {
	s.mu.Lock()
	s.table.Tick(now)
	s.round++
	out := s.planRound(now)
	forgotten := s.refreshBook()
	superseded := s.table.Superseded() && !s.supersededReported
	s.supersededReported = s.supersededReported || superseded
	s.mu.Unlock()

	for _, name := range forgotten {
		s.cfg.Links.Forget(name)
	}
	for _, o := range out {
		for _, to := range o.to {
			if err := s.cfg.Links.Send(to, channelBeat, o.msg); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", to).Msg("failed to send heartbeat")
			}
		}
	}
	if superseded && s.cfg.OnSuperseded != nil {
		s.cfg.OnSuperseded()
	}
	if s.cfg.OnChange != nil {
		s.cfg.OnChange()
	}
}

// planRound returns the messages of this round: a heartbeat to each peer, the full state to one
// peer in rotation, and every digestRounds rounds the failure domain's digest to the other
// domains, sent by its delegate only.
func (s *Service) planRound(now time.Time) []outgoing {
	beat := s.table.Heartbeat()
	peers := s.table.Peers()
	out := []outgoing{{to: peers, msg: beat}}
	if len(peers) > 0 {
		full := s.table.FullHeartbeat(now)
		rotation := s.round
		if s.round%digestRounds == 0 {
			// Digests have their own rotation: rotated by rounds, they would always reach
			// the same few of 5, 10, 15 or 20 peers.
			rotation = s.round / digestRounds
		} else {
			full.OtherDomains = nil
		}
		rotation %= len(peers)
		out = append(out, outgoing{to: peers[rotation : rotation+1], msg: full})
	}
	remote := core.Message{From: beat.From, OtherDomains: append(s.table.Domains(now), s.table.Digest(now))}
	if seeds := s.unknownSeeds(now); len(seeds) > 0 {
		out = append(out, outgoing{to: seeds, msg: remote})
	}
	if s.round%digestRounds == 0 && s.table.Delegate(now) == s.cfg.Self.Name {
		remote.OtherDomains = remote.OtherDomains[len(remote.OtherDomains)-1:]
		out = append(out, outgoing{to: s.remoteContacts(now), msg: remote})
	}
	return out
}

// unknownSeeds returns the seeds whose addresses belong to no known live instance.
func (s *Service) unknownSeeds(now time.Time) []string {
	known := map[string]bool{s.cfg.Self.Address: true}
	for _, m := range s.table.Members(now) {
		known[m.Address] = known[m.Address] || m.Status < core.Dead
	}
	var seeds []string
	for _, seed := range s.cfg.Seeds {
		if !known[seed] {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// remoteContacts returns one contact of each other failure domain, in rotation.
func (s *Service) remoteContacts(now time.Time) []string {
	var to []string
	for _, d := range s.table.Domains(now) {
		if len(d.Contacts) > 0 {
			to = append(to, d.Contacts[s.round/digestRounds%len(d.Contacts)].Name)
		}
	}
	return to
}

// refreshBook updates the address book and returns the names that were removed from it.
func (s *Service) refreshBook() []string {
	known := map[string]string{}
	for _, seed := range s.cfg.Seeds {
		known[seed] = seed
	}
	for _, m := range s.table.Members(time.Now()) {
		if m.Status != core.Left {
			known[m.Name] = m.Address
		}
	}
	var removed []string
	for name := range *s.cfg.Book.addresses.Load() {
		if _, ok := known[name]; !ok {
			removed = append(removed, name)
		}
	}
	s.cfg.Book.set(known)
	return removed
}

// Members returns all known instances of the failure domain, including this one, and the contacts
// of other domains, ordered by name.
func (s *Service) Members() []core.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(time.Now())
}

// Peers returns the names of the failure domain's other instances that are not known to have left
// or died.
func (s *Service) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.livePeers(time.Now())
}

// Domain returns the digest of this instance's failure domain.
func (s *Service) Domain() core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest(time.Now())
}

// Domains returns the known digests of the other failure domains.
func (s *Service) Domains() []core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Domains(time.Now())
}

// DomainSilent reports whether there is no recent information on a failure domain.
func (s *Service) DomainSilent(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.DomainSilent(time.Now(), domain)
}

// RevisionSeen returns the highest revision that any known instance has applied.
func (s *Service) RevisionSeen() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RevisionSeen()
}

// SetRevision sets the configuration revision that this instance has applied.
func (s *Service) SetRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRevision(revision)
}

// Drain announces that this instance takes no new work. It returns at once; heartbeats continue.
func (s *Service) Drain(context.Context) error {
	s.mu.Lock()
	s.table.Drain()
	s.mu.Unlock()
	select {
	case s.sendNow <- struct{}{}:
	default:
	}
	return nil
}
