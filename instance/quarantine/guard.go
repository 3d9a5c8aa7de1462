package quarantine

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// Content identifies a request by what it holds.
type Content struct {
	Fingerprint quarantine.Fingerprint
	// Parts are the parts of its prompt that other requests may share.
	Parts                []quarantine.Fingerprint
	Organisation, Target string
}

// GuardConfig holds the settings of a Guard.
type GuardConfig struct {
	Recorder *Recorder
	// Incarnation returns the number by which all instances identify the current incarnation of an
	// upstream; false if it is not known.
	Incarnation func(upstream string) (uint64, bool)
	// Connect opens a connection, to find out whether anything listens at an address.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	Log     zerolog.Logger
}

const (
	// probeDelay is the time between the loss of a connection and the check whether the upstream still
	// listens, probeTimeout bounds the check.
	probeDelay   = 30 * time.Millisecond
	probeTimeout = time.Second
	// guardTrialTimeout bounds the request for a trial.
	guardTrialTimeout = 300 * time.Millisecond
	suspendedRetry    = time.Second
)

// Guard keeps requests from upstreams that they may crash, and observes crashes. It is safe for concurrent use.
type Guard struct {
	cfg GuardConfig

	mu sync.Mutex
	// lost holds the attempts that lost the connection to an incarnation, while that is checked.
	lost map[uint64][]lostAttempt
}

type lostAttempt struct {
	quarantine.Attempt
	at time.Time
}

// NewGuard returns a guard.
func NewGuard(cfg GuardConfig) *Guard { return &Guard{cfg: cfg, lost: map[uint64][]lostAttempt{}} }

// Watch follows one request.
func (g *Guard) Watch(c Content) *Watch { return &Watch{guard: g, content: c} }

// Watch is one request that a Guard follows. It is safe for concurrent use.
type Watch struct {
	guard   *Guard
	content Content

	mu sync.Mutex
	// trial is the entry of which the request is the trial, trying is set if it is one, and sent once it
	// has been sent.
	trial        quarantine.Fingerprint
	trying, sent bool
}

// Screen fails if the request need not wait for an upstream, as Permit would refuse it and it is no candidate for a
// trial.
func (w *Watch) Screen() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.guard.cfg.Recorder.status(&w.content)
	if w.trying || !s.quarantined || s.HasTrial {
		return nil
	}
	return refusalOf(&s)
}

// Permit fails if the request may not be sent to an upstream now: with fault.Invalid if it must not come again
// unchanged, with fault.NotRun if it may be innocent until its trial. It may make the request the trial.
func (w *Watch) Permit() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trying {
		return nil
	}
	s := w.guard.cfg.Recorder.status(&w.content)
	if !s.quarantined {
		return nil
	}
	if s.HasTrial && w.guard.takeTrial(s.Trial) {
		w.trial, w.trying = s.Trial, true
		return nil
	}
	return refusalOf(&s)
}

func refusalOf(s *status) error {
	if s.Final {
		return fault.New(fault.Invalid, "quarantined: not run, since upstreams crash under this request, or under a message in it; do not send it again unchanged")
	}
	return fault.New(fault.NotRun, "suspended: not run, since upstreams crashed while requests like this one were under way").WithRetryAfter(suspendedRetry)
}

func (g *Guard) takeTrial(f quarantine.Fingerprint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), guardTrialTimeout)
	defer cancel()
	return g.cfg.Recorder.Trial(ctx, f)
}

// MayRunAgain reports whether the request may be sent to another upstream although it may have run.
func (w *Watch) MayRunAgain() bool {
	w.mu.Lock()
	trying := w.trying
	w.mu.Unlock()
	s := w.guard.cfg.Recorder.status(&w.content)
	return !trying && !s.suspected && !s.quarantined
}

// Sending returns the incarnation of the upstream to which the request is about to be sent; zero if it is not
// known.
func (w *Watch) Sending(upstream string) uint64 {
	w.mu.Lock()
	w.sent = true
	w.mu.Unlock()
	id, _ := w.guard.cfg.Incarnation(upstream)
	return id
}

// Lost records that an attempt lost its connection to an incarnation at an address. answering is set if that had
// been writing the answer for quarantine.AnsweringTime.
func (w *Watch) Lost(incarnation uint64, address string, sentAt time.Time, answering bool) {
	if incarnation == 0 {
		return
	}
	now := time.Now()
	c := &w.content
	a := lostAttempt{quarantine.NewAttempt(c.Fingerprint, now.Sub(sentAt), c.Organisation, c.Target), now}
	if !answering {
		a.Parts = slices.Clone(c.Parts)
	}
	g := w.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lost[incarnation]) == 0 {
		time.AfterFunc(probeDelay, func() { g.probe(incarnation, address) })
	}
	if len(g.lost[incarnation]) < maxUnsent {
		g.lost[incarnation] = append(g.lost[incarnation], a)
	}
}

// probe reports a crash if nothing listens at the address of an incarnation.
func (g *Guard) probe(incarnation uint64, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := g.cfg.Connect(ctx, address)
	if err == nil {
		_ = c.Close()
	}
	g.mu.Lock()
	list := g.lost[incarnation]
	delete(g.lost, incarnation)
	g.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) || len(list) == 0 {
		return
	}
	first := list[0].at
	underWay := make([]quarantine.Attempt, len(list))
	for i := range list {
		underWay[i] = list[i].Attempt
		underWay[i].RanMS = max(0, underWay[i].RanMS-list[i].at.Sub(first).Milliseconds())
	}
	g.cfg.Log.Warn().Str("event", "upstream_crashed").Str("address", address).Int("under_way", len(list)).Msg("nothing listens at an upstream that lost requests")
	g.cfg.Recorder.RecordCrash(incarnation, clock.Now().Add(-time.Since(first)), underWay)
}

// Answered records that an upstream has been writing the answer for quarantine.AnsweringTime, or has completed it,
// and when it began.
func (w *Watch) Answered(complete bool, began time.Time) {
	at := clock.Now()
	if !began.IsZero() {
		at = at.Add(-time.Since(began))
	}
	w.guard.cfg.Recorder.RecordServed(w.content.Parts, at)
	if complete {
		w.guard.cfg.Recorder.RecordSuccess(w.content.Fingerprint)
	}
}

// Close gives back a trial that was not made.
func (w *Watch) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.trying || w.sent {
		return
	}
	trial := w.trial
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), guardTrialTimeout)
		defer cancel()
		w.guard.cfg.Recorder.CancelTrial(ctx, trial)
	}()
}

// status is what is known of a request.
type status struct {
	suspected, quarantined bool
	follow.Judgement
}

// status judges a request by the replicated list and by what this instance observed.
func (r *Recorder) status(c *Content) (s status) {
	r.mu.Lock()
	known := r.known
	r.mu.Unlock()
	if known.Empty() && r.Idle() {
		return status{}
	}
	s.Judgement = known.Judge(c.Fingerprint, c.Parts)
	s.suspected = known.Suspects(c.Fingerprint) || r.Suspects(c.Fingerprint) || r.SuspectsParts(c.Parts)
	s.quarantined = s.Held || r.Blocks(c.Fingerprint) || r.BlocksParts(c.Parts)
	return s
}
