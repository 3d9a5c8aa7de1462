// Package spread distributes the control state from the control group to this
// instance and on to its children in the distribution tree of core/tree.
//
// An instance polls its parent once per interval, and at once when the parent
// notifies it of a change. A parent that does not answer, or has an older revision,
// is skipped for a while. An instance without a data folder starts without state: it
// is not Ready, and must not serve, until it has a configuration at least as new as
// any that other instances are known to have applied.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const (
	channelAsk     = "spread.ask"
	channelNews    = "spread.news"
	channelApplied = "spread.acts"
)

const (
	// DefaultInterval is the time between two requests. Each level of the tree
	// shortens the lease that reaches the instances below by up to one interval.
	DefaultInterval = time.Second
	// startupInterval is the time between two requests until the first configuration
	// and lease have arrived, and how long a parent that grants none is skipped
	// meanwhile. It applies for startupPhase only, since a partition can last long.
	startupInterval = 100 * time.Millisecond
	startupPhase    = 10 * time.Second
	// askTimeout bounds one request; a full content may be some megabytes.
	askTimeout = time.Second
	// skipTime is how long a parent that failed to answer is skipped. One that
	// answers without a lease or with an older revision, as right before it
	// receives a change, is skipped for one interval.
	skipTime = 2 * time.Second
	// maxAsked limits the candidates asked in one round.
	maxAsked = 4
	// childTimeoutIntervals is the number of intervals without a request after which
	// a child is removed.
	childTimeoutIntervals = 3
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// request and report are the messages to parents. Start distinguishes processes of the
// same name.
type request struct {
	tree.Request
	Start uint64 `codec:"st"`
}

type report struct {
	Applied uint64 `codec:"a"`
	Start   uint64 `codec:"st"`
}

// Layout is the input from which the tree is computed.
type Layout struct {
	Self tree.Instance
	// Root is the control leader, or empty while it is not known.
	Root string
	// Live lists the instances of the failure domain and of the control group that
	// are not known to be gone.
	Live []tree.Instance
}

// Config configures a Service.
type Config struct {
	Links  Links
	Layout func() Layout
	// MinRevision returns the highest revision that any instance is known to have applied;
	// nil if that is not known.
	MinRevision func() uint64
	Log         zerolog.Logger
	// Now is the clock of the leases; nil means clock.Now. It must advance while the instance is
	// suspended.
	Now func() time.Time
	// Interval and FanOut override the defaults if they are positive.
	Interval time.Duration
	FanOut   int
}

// Subscriber puts a revision in force on this instance. One that fails is called again with this
// revision or a later one. Until it succeeds, the lease of the revision does not take effect.
type Subscriber func(revision uint64, data []byte) error

// Service is one instance's part in the distribution tree.
type Service struct {
	cfg            Config
	cancel         context.CancelFunc
	done           sync.WaitGroup
	pollNow        chan struct{}
	contentChanged chan struct{}

	// start distinguishes this process from earlier ones of its name.
	start   uint64
	started time.Time

	mu           sync.Mutex
	state        *tree.Follower
	lessors      map[string]lessor
	skippedUntil map[string]time.Time
	children     map[string]time.Time
	subscribers  []Subscriber
	parent       string
}

// New returns a service that has not been started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.FanOut <= 0 {
		cfg.FanOut = tree.DefaultFanOut
	}
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
	s := &Service{
		cfg:            cfg,
		pollNow:        make(chan struct{}, 1),
		contentChanged: make(chan struct{}, 1),
		start:          uint64(time.Now().UnixNano()),
		lessors:        map[string]lessor{},
		state:          tree.NewFollower(),
		skippedUntil:   map[string]time.Time{},
		children:       map[string]time.Time{},
	}
	cfg.Links.Handle(channelAsk, s.answer, link.Bulk())
	cfg.Links.Handle(channelApplied, s.receiveReport, link.Lossy())
	cfg.Links.Handle(channelNews, func(context.Context, string, link.Message) (any, error) {
		wake(s.pollNow)
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

// Start starts polling parents and notifying subscribers.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.started = time.Now()
	s.done.Go(func() { s.run(ctx) })
	s.done.Go(func() { s.notifySubscribers(ctx) })
	return nil
}

// Stop stops polling and notifying.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		s.done.Wait()
	}
	return nil
}

// Publish puts a committed revision in force on this instance and notifies the
// children. Only instances that hold the control state call it. It fails with
// fault.Conflict for an older revision.
func (s *Service) Publish(revision uint64, data []byte) error {
	s.mu.Lock()
	before := s.state.Revision()
	err := s.state.Publish(revision, data)
	after := s.state.Revision()
	s.mu.Unlock()
	if after != before {
		s.announceContent()
	}
	return err
}

// Renew extends the configuration lease of the control leader, which calls it to state
// that at the given time of the lease clock its revision was the newest, and that no newer one
// takes effect before ttl has passed since then.
func (s *Service) Renew(at time.Time, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Renew(at, ttl)
	wake(s.contentChanged)
}

// BecomeRoot states that this instance became the control leader. first is set if there
// was no leader before, so that no earlier leader's lease can still be valid.
func (s *Service) BecomeRoot(ttl time.Duration, first bool) {
	if first {
		ttl = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.BecomeRoot(s.cfg.Now(), ttl)
}

// HasApplied reports whether this instance has applied a revision or a later one.
func (s *Service) HasApplied(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.AppliedRevision() >= revision
}

// InForce reports, on the control leader, whether all instances have applied a
// revision or a later one, or know that they are cut off.
func (s *Service) InForce(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.InForce(s.cfg.Now(), revision)
}

// Subscribe registers f to be called with the content in force and with each later
// one. Revisions only increase; some may be skipped. f runs on the service's
// goroutine. Call Subscribe before Start.
func (s *Service) Subscribe(f Subscriber) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
	wake(s.contentChanged)
}

// Lease returns the state of the configuration lease.
func (s *Service) Lease() tree.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Lease(s.cfg.Now())
}

// Ready reports whether this instance has a configuration that it may apply.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requireKnownRevision()
	return s.ready()
}

// ready is Ready for callers that hold mu. The first configuration after a start may be
// outdated: an instance without a data folder does not know which revision it had
// applied; after a restart of all instances, neither do the others; and a member has to
// catch up. So the first configuration must come with a lease, which proves that it is
// the newest. In a failure domain that is cut off there is no lease: after startupPhase
// the known configuration is used without one.
func (s *Service) ready() bool {
	leaseSeenOrWaived := s.state.HadLease() || time.Since(s.started) > startupPhase
	return leaseSeenOrWaived && s.state.Ready()
}

// Revision returns the revision in force; zero when there is none.
func (s *Service) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision()
}

// Parent returns the name of the parent that answered last.
func (s *Service) Parent() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parent
}

// requireKnownRevision sets the highest revision known from other instances as the
// minimum until this instance is ready; the caller holds mu. A newer one later is no
// reason to stop serving, since it is being distributed.
func (s *Service) requireKnownRevision() {
	if s.cfg.MinRevision != nil && !s.state.Ready() {
		s.state.RequireRevision(s.cfg.MinRevision())
	}
}

// notifySubscribers passes the newest content to the subscribers, in order of revision.
func (s *Service) notifySubscribers(ctx context.Context) {
	notified := uint64(0)
	for {
		select {
		case <-s.contentChanged:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		revision, data, ready := s.state.Revision(), s.state.Content(), s.ready()
		subscribers := s.subscribers
		s.mu.Unlock()
		if !ready || revision <= notified {
			continue
		}
		if !notifyAll(subscribers, revision, data) {
			continue
		}
		notified = revision
		s.mu.Lock()
		s.state.MarkApplied(revision)
		s.mu.Unlock()
		s.report()
	}
}

// notifyAll passes a revision to the subscribers, up to the first that fails, and reports whether none
// did.
func notifyAll(subscribers []Subscriber, revision uint64, data []byte) bool {
	for _, f := range subscribers {
		if f(revision, data) != nil {
			return false
		}
	}
	return true
}

// announceContent notifies the subscribers and the children of new content.
func (s *Service) announceContent() {
	wake(s.contentChanged)
	s.mu.Lock()
	var children []string
	for name, asked := range s.children {
		if time.Since(asked) > childTimeoutIntervals*s.cfg.Interval {
			delete(s.children, name)
			continue
		}
		children = append(children, name)
	}
	s.mu.Unlock()
	for _, name := range children {
		if err := s.cfg.Links.Send(name, channelNews, nil); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("child not notified of new configuration")
		}
	}
}

func (s *Service) answer(_ context.Context, from string, m link.Message) (any, error) {
	var q request
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
		// A lease from this instance would derive from the requester's own lease,
		// and while both rely on each other neither would look for a fresh one.
		return s.state.AnswerWithoutLease(q.Request), nil
	}
	return s.state.Answer(s.cfg.Now(), tree.Child{Name: from, Start: q.Start}, q.Request), nil
}
