// Package quarantine carries what instances see of crashes to the replicated list of
// quarantined requests, and judges it there (core/quarantine, core/control/quarantine).
//
// Instances tell of a crash at once, and only of crashes: days without one cost nothing. What
// is quarantined comes back with the serving state (package follow).
package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
)

// The channels between instances and members of the control group.
const (
	// ChannelReport carries a core quarantine.Report to a member.
	ChannelReport = "quarantine.report"
	// ChannelTrial carries a TrialQuestion and its TrialAnswer.
	ChannelTrial = "quarantine.trial"
)

// TrialRequest asks for the trial of a quarantined request, or gives it back unused.
type TrialRequest struct {
	Fingerprint quarantine.Fingerprint `codec:"f"`
	Cancel      bool                   `codec:"u,omitempty"`
}

// TrialResponse says whether the trial is granted.
type TrialResponse struct {
	Granted bool `codec:"g,omitempty"`
}

// Caller is what a Recorder needs of instance/link.
type Caller interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// RecorderConfig of a Recorder.
type RecorderConfig struct {
	Links Caller
	// Members returns the members of the control group, the one to ask first at the front.
	Members func() []string
	// CutOff reports whether the control group can't be reached.
	CutOff func() bool
	Log    *eventlog.Sink
}

const (
	// reportTimeout bounds a report: a member that is cut off answers nothing.
	reportTimeout = 400 * time.Millisecond
	// reportPause is the pause after a report that no member took.
	reportPause = 100 * time.Millisecond
	// maxUnsent bounds the crashes, and successes, that wait to be reported; the newest are
	// dropped. maxReported bounds the crashes in one report.
	maxUnsent   = 256
	maxReported = 32
	// watchFor is for how long after a lost connection successes of large requests are noted.
	watchFor = time.Minute
	// aloneMore is how many crashes more it takes for an instance that can't reach the control
	// group: what was under way at others would explain some.
	aloneMore = 1
)

// Recorder tells the control group which requests were under way at crashes that this
// instance saw. It is safe for concurrent use.
type Recorder struct {
	cfg    RecorderConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu     sync.Mutex
	unsent quarantine.Report
	// at are the times of the unsent crashes, which their ages are counted from.
	at      []time.Time
	dropped int
	// own holds the crashes that this instance saw, suspects and guilty what follows from
	// them alone.
	own              *quarantine.Ledger
	suspects, guilty map[quarantine.Fingerprint]bool
	// successes is when requests succeeded here last, known are those that all suspect or hold.
	successes recent
	known     *follow.Quarantine
	// watching is until when successes of large requests are noted too, in nanoseconds of
	// clock.Now.
	watching atomic.Int64
}

// NewRecorder returns a recorder that has not started.
func NewRecorder(cfg RecorderConfig) *Recorder {
	policy := quarantine.DefaultPolicy
	policy.QuarantineThreshold += aloneMore
	policy.SettleDelay = 0
	return &Recorder{cfg: cfg, wake: make(chan struct{}, 1), own: quarantine.NewLedger(policy)}
}

// Start implements kernel.Service.
func (r *Recorder) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.run(ctx) })
	return nil
}

// Stop implements kernel.Service.
func (r *Recorder) Stop(context.Context) error {
	if r.cancel != nil {
		r.cancel()
		r.done.Wait()
	}
	return nil
}

// Watch has successes of large requests noted for a while.
func (r *Recorder) Watch() { r.watching.Store(clock.Now().Add(watchFor).UnixNano()) }

// Watching reports whether successes of large requests are noted.
func (r *Recorder) Watching() bool {
	until := r.watching.Load()
	return until != 0 && clock.Now().UnixNano() < until
}

// Update takes in what all suspect and hold, and tells of those that have succeeded here lately.
func (r *Recorder) Update(q *follow.Quarantine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q == r.known {
		return
	}
	r.known = q
	if q.Empty() {
		return
	}
	r.Watch()
	now := clock.Now()
	for _, f := range q.All() {
		if _, ok := r.successes.last(f, now); ok {
			r.tell(f)
		}
	}
}

// isKnown reports whether all suspect or hold a request; it needs mu.
func (r *Recorder) isKnown(f quarantine.Fingerprint) bool {
	_, held := r.known.Held(f)
	return held || r.known.Suspects(f)
}

// Crashed tells that an upstream has crashed at a time of the instance's clock, and what was
// under way there. What has succeeded here lately is left out.
func (r *Recorder) Crashed(upstream uint64, at time.Time, underWay []quarantine.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	underWay = slices.DeleteFunc(underWay, func(a quarantine.Attempt) bool {
		_, ok := r.successes.last(a.Fingerprint, at)
		return ok
	})
	if len(underWay) == 0 {
		return
	}
	r.own.RecordCrash(upstream, at, underWay)
	r.own.Forget(clock.Now())
	r.judge()
	if len(r.at) >= maxUnsent {
		r.dropped++
		return
	}
	r.unsent.Crashes = append(r.unsent.Crashes, quarantine.Crash{Upstream: upstream, UnderWay: underWay})
	r.at = append(r.at, at)
	r.signal()
}

// Succeeded notes that an upstream ran a request to its end, and tells it of one that all
// suspect or hold.
func (r *Recorder) Succeeded(f quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.successes.note(now, f)
	if !r.own.Empty() {
		r.own.RecordSuccess(f, now)
		r.judge()
	}
	if r.isKnown(f) {
		r.tell(f)
	}
}

// tell has the latest success of a request told; it needs mu.
func (r *Recorder) tell(f quarantine.Fingerprint) {
	if slices.ContainsFunc(r.unsent.Succeeded, func(s quarantine.Success) bool { return s.Fingerprint == f }) {
		return
	}
	if len(r.unsent.Succeeded) >= maxUnsent {
		r.dropped++
		return
	}
	r.unsent.Succeeded = append(r.unsent.Succeeded, quarantine.Success{Fingerprint: f})
	r.signal()
}

// Alive tells that an upstream has answered that was told to have crashed.
func (r *Recorder) Alive(upstream uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.RetractCrash(upstream)
	r.judge()
	if len(r.unsent.Alive) >= maxUnsent {
		return
	}
	r.unsent.Alive = append(r.unsent.Alive, upstream)
	r.signal()
}

// judge needs mu.
func (r *Recorder) judge() {
	now := clock.Now()
	r.suspects, r.guilty = nil, nil
	if r.own.Empty() {
		return
	}
	r.suspects, r.guilty = set(r.own.Suspects(now)), set(r.own.ToQuarantine(now))
}

func set(list []quarantine.Fingerprint) map[quarantine.Fingerprint]bool {
	if len(list) == 0 {
		return nil
	}
	m := make(map[quarantine.Fingerprint]bool, len(list))
	for _, f := range list {
		m[f] = true
	}
	return m
}

// signal needs mu.
func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Idle reports whether this instance suspects nothing.
func (r *Recorder) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects) == 0
}

// Suspects reports whether this instance suspects a request by what it saw alone.
func (r *Recorder) Suspects(f quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[f]
}

// Holds reports whether this instance keeps a request from upstreams by what it saw alone: as
// long as the control group can't be reached.
func (r *Recorder) Holds(f quarantine.Fingerprint) bool {
	r.mu.Lock()
	guilty := r.guilty[f]
	r.mu.Unlock()
	return guilty && r.cfg.CutOff()
}

// Trial asks for the trial of a quarantined request.
func (r *Recorder) Trial(ctx context.Context, f quarantine.Fingerprint) bool {
	var a TrialResponse
	return r.ask(ctx, &TrialRequest{Fingerprint: f}, &a) == nil && a.Granted
}

// ReturnTrial gives a trial back that was not made.
func (r *Recorder) ReturnTrial(ctx context.Context, f quarantine.Fingerprint) {
	// A trial that can't be given back is lost; an operator may release the request.
	_ = r.ask(ctx, &TrialRequest{Fingerprint: f, Cancel: true}, &TrialResponse{})
}

func (r *Recorder) ask(ctx context.Context, q *TrialRequest, a *TrialResponse) error {
	members := r.cfg.Members()
	if len(members) == 0 {
		return errNoMember
	}
	return r.cfg.Links.Call(ctx, members[0], ChannelTrial, q, a)
}

func (r *Recorder) run(ctx context.Context) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		for failures := 0; !r.report(ctx, failures); failures++ {
			if !clock.Sleep(ctx, reportPause) {
				return
			}
		}
	}
}

// report tells a member what is unsent, another one after a failure, and reports whether it
// was taken.
func (r *Recorder) report(ctx context.Context, failures int) bool {
	members := r.cfg.Members()
	next, crashes := r.next()
	if next.Empty() {
		return true
	}
	if len(members) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	member := members[failures%len(members)]
	if err := r.cfg.Links.Call(ctx, member, ChannelReport, next, nil); err != nil {
		r.cfg.Log.Event("crash_report_failed").Str("peer", member).Int("crashes", int64(crashes)).Err(err).End()
		return false
	}
	r.sent(next)
	return true
}

// next returns what is to be told now.
func (r *Recorder) next() (*quarantine.Report, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	next := r.unsent
	next.Crashes = append([]quarantine.Crash(nil), r.unsent.Crashes[:min(len(r.at), maxReported)]...)
	for i := range next.Crashes {
		next.Crashes[i].AgeMS = now.Sub(r.at[i]).Milliseconds()
	}
	next.Succeeded = slices.Clone(r.unsent.Succeeded)
	for i := range next.Succeeded {
		s := &next.Succeeded[i]
		if at, ok := r.successes.last(s.Fingerprint, now); ok {
			s.AgeMS = now.Sub(at).Milliseconds()
		}
	}
	return &next, len(next.Crashes)
}

// sent forgets what was told.
func (r *Recorder) sent(told *quarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = r.at[len(told.Crashes):]
	r.unsent.Crashes = r.unsent.Crashes[len(told.Crashes):]
	r.unsent.Succeeded = r.unsent.Succeeded[len(told.Succeeded):]
	r.unsent.Alive = r.unsent.Alive[len(told.Alive):]
	if r.dropped > 0 {
		r.cfg.Log.Event("crash_reports_dropped").Int("reports", int64(r.dropped)).End()
		r.dropped = 0
	}
	if !r.unsent.Empty() {
		r.signal()
	}
}
