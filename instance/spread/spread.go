// Package spread carries the control state from the control group to this
// instance and on to those below it in the tree of core/tree.
//
// An instance asks its parent once an interval, and at once when the parent
// hints that there is news. A parent that does not answer, or knows less, is
// passed over for a while. An instance without a data folder starts with
// nothing: it is not Ready, and must not serve, until it got a configuration at
// least as new as any that the others are known to have acted on.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	channelAsk  = "spread.ask"
	channelNews = "spread.news"
	channelActs = "spread.acts"
)

const (
	// DefaultInterval between two questions. Each step of the tree costs up to
	// one interval of the lease that reaches the instances below.
	DefaultInterval = time.Second
	// startInterval is the time between two questions until there is a first
	// configuration and lease, and for how long a parent that gives none is not
	// asked then; but only for startPhase, as a cut can last.
	startInterval = 100 * time.Millisecond
	startPhase    = 10 * time.Second
	// askTimeout bounds one question; whole contents may be some megabytes.
	askTimeout = time.Second
	// passOver is for how long a parent that failed is not asked. One that
	// answers, but without a lease or with less than is known here, as right
	// before it takes a change in, is passed over for one interval.
	passOver = 2 * time.Second
	// maxAsked bounds how many candidates are asked in one round.
	maxAsked = 4
	// childRounds is after how many silent intervals a child is forgotten.
	childRounds = 3
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// question and report are what an instance sends its parents. Start tells the
// processes of one name apart.
type question struct {
	tree.Request
	Start uint64 `codec:"st"`
}

type report struct {
	Acted uint64 `codec:"a"`
	Start uint64 `codec:"st"`
}

// Layout is what the tree is made from.
type Layout struct {
	Self tree.Instance
	// Root is the control leader, or empty while it is not known.
	Root string
	// Live are the instances of the failure domain and those of the control
	// group that are not known to be gone.
	Live []tree.Instance
}

// Config of a Service.
type Config struct {
	Links  Links
	Layout func() Layout
	// Floor returns the highest revision that any instance is known to have
	// acted on; nil when that is not known.
	Floor func() uint64
	Log   zerolog.Logger
	// Interval and FanOut; zero means the defaults.
	Interval time.Duration
	FanOut   int
}

// Service is one instance's part of the tree.
type Service struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	hurry  chan struct{}
	fresh  chan struct{}

	// start tells this process from earlier ones of its name.
	start   uint64
	started time.Time

	mu          sync.Mutex
	state       *tree.Follower
	lessors     map[string]lessor
	passedOver  map[string]time.Time
	children    map[string]time.Time
	subscribers []func(revision uint64, data []byte)
	parent      string
}

// New returns a service that is not started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.FanOut <= 0 {
		cfg.FanOut = tree.DefaultFanOut
	}
	s := &Service{
		cfg:        cfg,
		hurry:      make(chan struct{}, 1),
		fresh:      make(chan struct{}, 1),
		start:      uint64(time.Now().UnixNano()),
		lessors:    map[string]lessor{},
		state:      tree.NewFollower(),
		passedOver: map[string]time.Time{},
		children:   map[string]time.Time{},
	}
	cfg.Links.Handle(channelAsk, s.answer, link.Bulk())
	cfg.Links.Handle(channelActs, s.receiveReport, link.Lossy())
	cfg.Links.Handle(channelNews, func(context.Context, string, link.Message) (any, error) {
		wake(s.hurry)
		return nil, nil
	}, link.Lossy())
	return s
}

func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Start begins to ask parents and to tell subscribers.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.started = time.Now()
	s.done.Go(func() { s.run(ctx) })
	s.done.Go(func() { s.tell(ctx) })
	return nil
}

// Stop ends both.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return nil
}

// Publish puts a committed revision in force here and hints at it to the
// children. Only instances that hold the control state call it. An older
// revision is fault.Conflict.
func (s *Service) Publish(revision uint64, data []byte) error {
	s.mu.Lock()
	before := s.state.Revision()
	err := s.state.Publish(revision, data)
	after := s.state.Revision()
	s.mu.Unlock()
	if after != before {
		s.changed()
	}
	return err
}

// Renew states that at the given time the control leader, which calls it, knew
// its revision to be the newest, and that none will count before ttl has passed.
func (s *Service) Renew(at time.Time, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Renew(at, ttl)
}

// TakeOver states that this instance becomes the control leader. first says that
// there was none before it, so that no lease can be left of an earlier one.
func (s *Service) TakeOver(ttl time.Duration, first bool) {
	if first {
		ttl = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.BecomeRoot(time.Now(), ttl)
}

// Acts reports whether this instance itself acts on a revision or a later one.
func (s *Service) Acts(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AppliedRevision() >= revision
}

// InForce reports, at the control leader, whether all instances act on a revision
// or a later one, or know that they are cut off.
func (s *Service) InForce(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.InForce(time.Now(), revision)
}

// Subscribe calls f with the content in force and with each that follows.
// Revisions only grow; some may be skipped. f runs on the service's goroutine.
// Subscribe before Start.
func (s *Service) Subscribe(f func(revision uint64, data []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	wake(s.fresh)
}

// Lease returns the state of the configuration lease.
func (s *Service) Lease() tree.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lease(time.Now())
}

// Ready reports whether this instance has a configuration that it may act on.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.require()
	return s.ready()
}

// ready needs mu. What an instance finds first after a start may be old: one
// without a data folder has forgotten what it acted on, after a restart of all so
// have the others, and a member has to catch up. The first configuration must come
// with a lease, which proves it the newest. In a failure domain that is cut off
// there is none; after startPhase, what is known here has to do.
func (s *Service) ready() bool {
	proved := s.state.HadLease() || time.Since(s.started) > startPhase
	return proved && s.state.Ready()
}

// Revision returns the revision in force; zero when there is none.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision()
}

// Parent returns who answered last.
func (s *Service) Parent() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parent
}

// require takes the others' revisions as a floor until there is a revision; it
// needs mu. Later ones are no reason to stop serving: they are on their way.
func (s *Service) require() {
	if s.cfg.Floor != nil && !s.state.Ready() {
		s.state.RequireRevision(s.cfg.Floor())
	}
}

// tell brings the newest content to the subscribers, in order of revision.
func (s *Service) tell(ctx context.Context) {
	told := uint64(0)
	for {
		select {
		case <-s.fresh:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		revision, data, ready := s.state.Revision(), s.state.Content(), s.ready()
		subscribers := s.subscribers
		s.mu.Unlock()
		if !ready || revision <= told {
			continue
		}
		for _, f := range subscribers {
			f(revision, data)
		}
		told = revision
		s.mu.Lock()
		s.state.MarkApplied(revision)
		s.mu.Unlock()
		s.report()
	}
}

// changed tells the subscribers and hints at the news to the children.
func (s *Service) changed() {
	wake(s.fresh)
	s.mu.Lock()
	var children []string
	for name, asked := range s.children {
		if time.Since(asked) > childRounds*s.cfg.Interval {
			delete(s.children, name)
			continue
		}
		children = append(children, name)
	}
	s.mu.Unlock()
	for _, name := range children {
		if err := s.cfg.Links.Send(name, channelNews, nil); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("news not hinted")
		}
	}
}

func (s *Service) answer(_ context.Context, from string, m link.Message) (any, error) {
	var q question
	if err := m.Decode(&q); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.children[from] = time.Now()
	if !s.ready() {
		return nil, fault.New(fault.Unavailable, "this instance has no configuration yet")
	}
	if from == s.parent {
		// A lease from this instance would be the asking one's own, and while
		// both were content with it neither would look for a fresh one.
		return s.state.AnswerWithoutLease(q.Request), nil
	}
	return s.state.Answer(time.Now(), tree.Child{Name: from, Start: q.Start}, q.Request), nil
}
