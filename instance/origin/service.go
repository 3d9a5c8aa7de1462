package origin

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// MemberLinks is the part of instance/link that a Service uses.
type MemberLinks interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Config holds the settings of a Service.
type Config struct {
	// Replica returns the control group member that runs on this instance, or nil.
	Replica func() *consensus.Service
	Links   MemberLinks
	// OnlySoftware returns the software version of a service if all its upstreams run, and ran for long,
	// the same one. It fails unless a quorum confirms that.
	OnlySoftware func(ctx context.Context, service string) (version string, only bool, err error)
	// DataFolder is where origins are kept; empty keeps them in memory only. Disk holds it; nil means
	// the operating system's filesystem.
	DataFolder string
	Disk       disk.FS
	Log        zerolog.Logger
}

// peerTimeout bounds a question to another member.
const peerTimeout = 100 * time.Millisecond

// Service answers on a member where streams began. It is safe for concurrent use.
type Service struct {
	cfg     Config
	journal *journal
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu    sync.Mutex
	store *origin.Store
	// received holds, by instance, the number of the last message before which none is missing.
	received map[string]uint64
}

// maxSenders bounds the instances whose messages are counted. Beyond it all are forgotten, and tell their
// streams again.
const maxSenders = 1 << 14

// New returns a service and registers its channels.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, store: origin.NewStore(), received: map[string]uint64{}}
	if cfg.DataFolder != "" {
		if cfg.Disk == nil {
			cfg.Disk = disk.OS{}
		}
		s.journal = newJournal(cfg.Disk, cfg.DataFolder, cfg.Log, s.remember)
	}
	cfg.Links.Handle(ChannelBegun, s.begun, link.Lossy())
	cfg.Links.Handle(ChannelCheck, s.check)
	cfg.Links.Handle(ChannelFind, s.find)
	return s
}

// Start implements kernel.Service. It does not wait for the disk, which may hang.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.journal != nil {
		s.running.Go(func() { s.journal.run(ctx) })
	}
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.running.Wait()
	}
	return nil
}

func (s *Service) begun(_ context.Context, from string, msg link.Message) (any, error) {
	var b Begun
	if err := msg.Decode(&b); err != nil {
		return nil, err
	}
	s.remember(b.Groups)
	if s.journal != nil {
		s.journal.add(&b)
	}
	s.count(from, &b)
	return nil, nil
}

// count notes that a message was received, unless one before it is missing.
func (s *Service) count(from string, b *Begun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.received) >= maxSenders {
		clear(s.received)
	}
	last := s.received[from]
	if b.First || last > 0 && b.Number == last+1 {
		s.received[from] = b.Number
	}
}

func (s *Service) check(_ context.Context, from string, _ link.Message) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CheckResponse{Number: s.received[from]}, nil
}

func (s *Service) remember(groups []Group) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range groups {
		group := &groups[i]
		for _, k := range group.Streams {
			s.store.Add(now, k, origin.Origin{Service: group.Service, Software: group.Software})
		}
	}
}

func (s *Service) find(ctx context.Context, _ string, msg link.Message) (any, error) {
	var q FindRequest
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	s.mu.Lock()
	at, known := s.store.Find(clock.Now(), q.Stream)
	s.mu.Unlock()
	switch {
	case known:
		return FindResponse{Known: true, Service: at.Service, Software: at.Software}, nil
	case q.Forwarded:
		return FindResponse{}, nil
	}
	if a := s.askOthers(ctx, q); a.Known {
		return a, nil
	}
	version, only, err := s.cfg.OnlySoftware(ctx, q.Service)
	if err != nil {
		return nil, err
	}
	return FindResponse{Known: only, Service: q.Service, Software: version}, nil
}

// askOthers asks the other members at the same time, and returns the first answer that knows.
func (s *Service) askOthers(ctx context.Context, q FindRequest) FindResponse {
	g := s.cfg.Replica()
	if g == nil {
		return FindResponse{}
	}
	q.Forwarded = true
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	st := g.Status()
	answers := make(chan FindResponse, len(st.Members))
	asked := 0
	for _, m := range st.Members {
		if m.ID == st.ID {
			continue
		}
		asked++
		go func() {
			var a FindResponse
			_ = s.cfg.Links.Call(ctx, m.Name, ChannelFind, &q, &a)
			answers <- a
		}()
	}
	for range asked {
		if a := <-answers; a.Known {
			return a
		}
	}
	return FindResponse{}
}
