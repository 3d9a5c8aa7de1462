package quarantine

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	state "github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

var errNoMember = fault.New(fault.Unavailable, "no member of the control group is known").WithRetryAfter(time.Second)

// Links is the part of instance/link that a Service uses.
type Links interface {
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Config holds the settings of a Service.
type Config struct {
	// Replica returns the control group member that runs on this instance, or nil.
	Replica func() *consensus.Service
	Links   Links
	Log     zerolog.Logger
}

const (
	// proposeTimeout bounds a change of the list.
	proposeTimeout = time.Second
	// evaluateInterval is the time between two evaluations while crashes are not settled, and
	// pollInterval the time between two evaluations without a change: a new leader may find crashes that
	// were never evaluated.
	evaluateInterval = 25 * time.Millisecond
	pollInterval     = time.Second
)

// Service maintains the quarantine list at one member of the control group. It is safe for concurrent
// use.
type Service struct {
	cfg    Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu sync.Mutex
	// changed is closed at the next applied entry.
	changed chan struct{}
	// logTime is the time of the last command in the log, appliedAt the local time at which it was applied.
	logTime, appliedAt time.Time
	// loggedIndex is the index up to which changes were logged. suspects and quarantined are the requests
	// that were suspected and quarantined at that index.
	loggedIndex uint64
	suspects    []quarantine.Fingerprint
	// suspectedParts are the parts of prompts that were suspected at that index.
	suspectedParts []quarantine.Fingerprint
	quarantined    map[quarantine.Fingerprint]bool
}

// New returns a service that is not started and registers its channels.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, wake: make(chan struct{}, 1), changed: make(chan struct{}), quarantined: map[quarantine.Fingerprint]bool{}}
	cfg.Links.Handle(ChannelReport, s.report)
	cfg.Links.Handle(ChannelTrial, s.trial)
	cfg.Links.Handle(ChannelList, s.sendChanges)
	return s
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Go(func() { s.run(ctx) })
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

func viewMachine(g *consensus.Service, f func(*state.Machine)) {
	g.View(func(_ uint64, m *corecontrol.Mux) { f(m.Machine(state.Name).(*state.Machine)) })
}

// Applied is called after each control log entry that this member applied.
func (s *Service) Applied(uint64) {
	g := s.cfg.Replica()
	if g == nil {
		return
	}
	var at time.Time
	viewMachine(g, func(m *state.Machine) { at = m.At() })
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	if at.Equal(s.logTime) {
		return
	}
	s.logTime, s.appliedAt = at, clock.Now()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// now returns the time of the log, advanced by the local clock.
func (s *Service) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logTime.Add(clock.Since(s.appliedAt))
}

func (s *Service) propose(ctx context.Context, c *state.Command) ([]byte, error) {
	g := s.cfg.Replica()
	if g == nil {
		return nil, errNoMember
	}
	data, err := corecontrol.Marshal(c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, _, err := g.Propose(ctx, state.Name, data)
	return result, err
}

// report handles the report of an instance. It is committed before the instance gets the answer; a
// repeated report counts once.
func (s *Service) report(ctx context.Context, _ string, msg link.Message) (any, error) {
	var r quarantine.Report
	if err := msg.Decode(&r); err != nil {
		return nil, err
	}
	_, err := s.propose(ctx, &state.Command{Reports: []quarantine.Report{r}})
	return nil, err
}

func (s *Service) trial(ctx context.Context, from string, msg link.Message) (any, error) {
	var q TrialRequest
	if err := msg.Decode(&q); err != nil {
		return nil, err
	}
	result, err := s.propose(ctx, q.command())
	if err != nil {
		return nil, err
	}
	granted := bytes.Equal(result, state.Granted)
	s.cfg.Log.Info().Str("event", "quarantine_trial").Str("fingerprint", q.Fingerprint.String()).Str("instance", from).
		Bool("unused", q.Cancel).Bool("granted", granted).Msg("trial of a quarantined request")
	return TrialResponse{Granted: granted}, nil
}

// command returns the command that carries out a request.
func (q *TrialRequest) command() *state.Command {
	if q.Cancel {
		return &state.Command{CancelTrial: &q.Fingerprint}
	}
	return &state.Command{Trial: &q.Fingerprint}
}

// Release ends the quarantine of a request, or of a set of parts. It fails with fault.NotFound if there is none.
func (s *Service) Release(ctx context.Context, f quarantine.Fingerprint) error {
	result, err := s.propose(ctx, &state.Command{Release: &f})
	if err == nil && !bytes.Equal(result, state.Granted) {
		err = fault.New(fault.NotFound, "the request %s is not quarantined", f)
	}
	return err
}

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for s.evaluate(ctx) {
			if !clock.Sleep(ctx, evaluateInterval) {
				return
			}
		}
	}
}

// evaluate proposes, on the leader, the requests to quarantine, and reports whether there are crashes
// that cannot be evaluated yet.
func (s *Service) evaluate(ctx context.Context) bool {
	g := s.cfg.Replica()
	if g == nil {
		return false
	}
	isLeader := g.Status().Role == raft.Leader
	s.logChanges(g, isLeader)
	if !isLeader {
		return false
	}
	verdict, unsettled := s.nextCommand(g)
	if verdict == nil {
		return unsettled
	}
	if verdict, unsettled = s.confirmCommand(ctx, g); verdict == nil {
		return unsettled
	}
	if _, err := s.propose(ctx, verdict); err != nil {
		s.cfg.Log.Warn().Err(err).Str("event", "quarantine_failed").Int("requests", len(verdict.Verdict)+len(verdict.Parts)+len(verdict.Failed)).Msg("quarantine decision is not replicated yet")
		return true
	}
	s.logChanges(g, true)
	return unsettled
}

// nextCommand decides by the state that this member has applied.
func (s *Service) nextCommand(g *consensus.Service) (verdict *state.Command, unsettled bool) {
	now := s.now()
	viewMachine(g, func(m *state.Machine) { verdict, unsettled = m.NextCommand(now) })
	return verdict, unsettled
}

// confirmCommand decides again after this member has applied all that is committed: a new leader
// may lack a release.
func (s *Service) confirmCommand(ctx context.Context, g *consensus.Service) (verdict *state.Command, unsettled bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := g.Read(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Str("event", "quarantine_failed").Msg("state for a quarantine decision is not confirmed yet")
		return nil, true
	}
	return s.nextCommand(g)
}

// change is a change in the state of a request.
type change struct {
	event string
	state.Entry
}

// changes returns the changes since the last call.
func (s *Service) changes(m *state.Machine) (list []change) {
	if m.Index() <= s.loggedIndex {
		return nil
	}
	for _, f := range m.Suspects() {
		if !slices.Contains(s.suspects, f) {
			e := state.Entry{Fingerprint: f}
			e.Organisation, e.Target, e.Crashes = m.Describe(f)
			list = append(list, change{"request_suspected", e})
		}
	}
	for _, f := range m.SuspectedParts() {
		if !slices.Contains(s.suspectedParts, f) {
			e := state.Entry{Fingerprint: f, Parts: []quarantine.Fingerprint{f}}
			e.Organisation, e.Target, e.Crashes = m.DescribePart(f)
			list = append(list, change{"part_suspected", e})
		}
	}
	listed := map[quarantine.Fingerprint]bool{}
	for _, e := range m.Entries() {
		switch {
		case e.Released && s.quarantined[e.Fingerprint]:
			list = append(list, change{"quarantine_released", e})
		case !e.Released && !s.quarantined[e.Fingerprint]:
			list = append(list, change{quarantinedEvent(&e), e})
		}
		listed[e.Fingerprint] = !e.Released
	}
	s.loggedIndex, s.suspects, s.quarantined = m.Index(), slices.Clone(m.Suspects()), listed
	s.suspectedParts = slices.Clone(m.SuspectedParts())
	return list
}

func quarantinedEvent(e *state.Entry) string {
	if len(e.Parts) > 0 {
		return "part_quarantined"
	}
	return "request_quarantined"
}

// logChanges logs, on the leader, each request that was suspected, quarantined or released. Other
// members only record the changes as logged.
func (s *Service) logChanges(g *consensus.Service, isLeader bool) {
	var list []change
	viewMachine(g, func(m *state.Machine) { list = s.changes(m) })
	if !isLeader {
		return
	}
	for _, c := range list {
		s.cfg.Log.Warn().Str("event", c.event).Str("fingerprint", c.Fingerprint.String()).Str("organisation", c.Organisation).
			Str("target", c.Target).Str("parts", strings.Join(texts(c.Parts), ",")).Int("crashes", c.Crashes).Msg("request was in flight at upstream crashes")
	}
}
