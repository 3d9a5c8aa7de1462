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
	// DefaultInterval of heartbeats fits core/member's DefaultConfig.
	DefaultInterval = time.Second
	// DefaultLeaveTimeout bounds how long a leave waits for the others' word
	// that they know.
	DefaultLeaveTimeout = time.Second
)

// digestRounds is how many heartbeats there are for one message to the other
// failure domains, which need to know less.
const digestRounds = 5

// The first startRounds rounds follow each other startHaste times faster, so
// that an instance that starts is known, and knows the others, soon.
const (
	startRounds = 10
	startHaste  = 5
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
	Forget(name string)
}

// Config of a Service.
type Config struct {
	// Self is this instance; its incarnation must exceed that of any earlier
	// start under the same name, such as the time of the start.
	Self  core.Info
	Seeds []string
	Book  *Book
	Links Links
	Table core.Config
	Log   zerolog.Logger
	// Interval of heartbeats; zero means DefaultInterval.
	Interval time.Duration
	// OnSuperseded is called once when a newer process has this one's name.
	OnSuperseded func()
	// OnChange is called after each round, from the service's goroutine.
	OnChange func()
}

// Service runs one instance's membership.
type Service struct {
	cfg    Config
	mu     sync.Mutex
	table  *core.Table
	round  int
	told   bool
	hurry  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New returns a service that is not started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Table == (core.Config{}) {
		cfg.Table = core.DefaultConfig()
	}
	s := &Service{cfg: cfg, table: core.New(cfg.Table, cfg.Self), hurry: make(chan struct{}, 1)}
	cfg.Links.Handle(channelBeat, s.receive, link.Lossy(), link.Lazy())
	cfg.Links.Handle(channelLeave, s.receive)
	return s
}

// Start begins to send heartbeats.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
	return nil
}

// Stop leaves: it tells all peers that this instance ends and waits for their
// word, for DefaultLeaveTimeout at most. Those that did not hear it find out by
// silence.
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
	peers := s.alive(time.Now())
	s.mu.Unlock()
	var told sync.WaitGroup
	for _, name := range peers {
		told.Go(func() {
			if err := s.cfg.Links.Call(ctx, name, channelLeave, m, nil); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("leave not confirmed")
			}
		})
	}
	told.Wait()
	return nil
}

// alive returns the peers of the failure domain that can be expected to answer.
func (s *Service) alive(now time.Time) []string {
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
		s.beat(time.Now())
		switch {
		case s.round <= startRounds:
			ticker.Reset(s.cfg.Interval / startHaste)
		case s.round == startRounds+1:
			ticker.Reset(s.cfg.Interval)
		}
		select {
		case <-ticker.C:
		case <-s.hurry:
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
		case s.hurry <- struct{}{}:
		default:
		}
	}
	return nil, nil
}

// outgoing is one message with those it goes to.
type outgoing struct {
	to  []string
	msg core.Message
}

func (s *Service) beat(now time.Time) {
	s.mu.Lock()
	s.table.Tick(now)
	s.round++
	out := s.plan(now)
	forgotten := s.refreshBook()
	superseded := s.table.Superseded() && !s.told
	s.told = s.told || superseded
	s.mu.Unlock()

	for _, name := range forgotten {
		s.cfg.Links.Forget(name)
	}
	for _, o := range out {
		for _, to := range o.to {
			if err := s.cfg.Links.Send(to, channelBeat, o.msg); err != nil {
				s.cfg.Log.Debug().Err(err).Str("peer", to).Msg("heartbeat not sent")
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

// plan says what goes to whom in this round: a heartbeat to each peer, all that
// is known to one of them in turn, and every few rounds the failure domain's
// digest to other domains, from its delegate only.
func (s *Service) plan(now time.Time) []outgoing {
	beat := s.table.Heartbeat()
	peers := s.table.Peers()
	out := []outgoing{{to: peers, msg: beat}}
	if len(peers) > 0 {
		full := s.table.FullHeartbeat(now)
		turn := s.round
		if s.round%digestRounds == 0 {
			// Digests take turns of their own: counted in rounds they would reach
			// only some of 5, 10, 15 or 20 peers, ever the same ones.
			turn = s.round / digestRounds
		} else {
			full.OtherDomains = nil
		}
		turn %= len(peers)
		out = append(out, outgoing{to: peers[turn : turn+1], msg: full})
	}
	abroad := core.Message{From: beat.From, OtherDomains: append(s.table.Domains(now), s.table.Digest(now))}
	if seeds := s.unknownSeeds(now); len(seeds) > 0 {
		out = append(out, outgoing{to: seeds, msg: abroad})
	}
	if s.round%digestRounds == 0 && s.table.Delegate(now) == s.cfg.Self.Name {
		abroad.OtherDomains = abroad.OtherDomains[len(abroad.OtherDomains)-1:]
		out = append(out, outgoing{to: s.abroad(now), msg: abroad})
	}
	return out
}

// unknownSeeds returns the seeds at whose addresses no instance is known yet.
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

// abroad returns one contact of each other failure domain, another one in turn.
func (s *Service) abroad(now time.Time) []string {
	var to []string
	for _, d := range s.table.Domains(now) {
		if len(d.Contacts) > 0 {
			to = append(to, d.Contacts[s.round/digestRounds%len(d.Contacts)].Name)
		}
	}
	return to
}

// refreshBook tells links the addresses and returns the names that are gone.
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
	var gone []string
	for name := range *s.cfg.Book.addresses.Load() {
		if _, ok := known[name]; !ok {
			gone = append(gone, name)
		}
	}
	s.cfg.Book.set(known)
	return gone
}

// Members returns all known instances of the failure domain and the contacts of
// others, this one included, ordered by name.
func (s *Service) Members() []core.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members(time.Now())
}

// Peers returns the names of the failure domain's other instances that are not
// known to be gone.
func (s *Service) Peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive(time.Now())
}

// Domain returns what is known of this instance's failure domain.
func (s *Service) Domain() core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Digest(time.Now())
}

// Domains returns what is known of the other failure domains.
func (s *Service) Domains() []core.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Domains(time.Now())
}

// DomainSilent reports whether nothing recent is known of a failure domain.
func (s *Service) DomainSilent(domain string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.DomainSilent(time.Now(), domain)
}

// RevisionSeen returns the highest revision that any known instance acted on.
func (s *Service) RevisionSeen() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.RevisionSeen()
}

// SetRevision states the configuration revision that this instance acts on.
func (s *Service) SetRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetRevision(revision)
}

// Drain tells the others that this instance takes no new work. It returns at
// once; the heartbeats go on.
func (s *Service) Drain(context.Context) error {
	s.mu.Lock()
	s.table.Drain()
	s.mu.Unlock()
	select {
	case s.hurry <- struct{}{}:
	default:
	}
	return nil
}
