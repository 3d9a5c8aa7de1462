// Package quarantine carries crash reports of the instances to the replicated list of quarantined
// requests and parts of prompts, and evaluates them there (core/quarantine, core/control/quarantine).
//
// Instances report each crash at once, and besides only its retraction and successes of requests that
// are in the list, so that days without a crash cost nothing.
// The quarantine list returns to them with the serving state (package follow).
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
	// ChannelTrial carries a TrialRequest and its TrialResponse.
	ChannelTrial = "quarantine.trial"
)

// TrialRequest asks for the trial of a quarantined request, or cancels a granted trial that was not
// used.
type TrialRequest struct {
	Fingerprint quarantine.Fingerprint `codec:"f"`
	Cancel      bool                   `codec:"u,omitempty"`
}

// TrialResponse reports whether the trial is granted.
type TrialResponse struct {
	Granted bool `codec:"g,omitempty"`
}

// Caller is the part of instance/link that a Recorder uses.
type Caller interface {
	Call(ctx context.Context, to, channel string, req, resp any) error
}

// RecorderConfig holds the settings of a Recorder.
type RecorderConfig struct {
	Links Caller
	// Members returns the members of the control group in the order in which to try them.
	Members func() []string
	// CutOff reports whether the control group cannot be reached.
	CutOff func() bool
	Log    *eventlog.Sink
}

const (
	// reportTimeout bounds a report: a member that is cut off does not answer.
	reportTimeout = 400 * time.Millisecond
	// reportRetryDelay is the delay after a report that no member accepted.
	reportRetryDelay = 100 * time.Millisecond
	// maxUnsent bounds the crashes, and the successes, that wait to be reported; the newest are dropped.
	// maxReported bounds the crashes in one report.
	maxUnsent   = 256
	maxReported = 32
	// trackingTime is how long after a lost connection successes of large requests are recorded.
	trackingTime = time.Minute
	// extraCrashesIfCutOff is the number of additional crashes that an instance requires while it cannot
	// reach the control group: requests in flight from other instances might explain some of the crashes.
	extraCrashesIfCutOff = 1
)

// Recorder reports to the control group which requests were in flight at the crashes that this
// instance observed. It is safe for concurrent use.
type Recorder struct {
	cfg    RecorderConfig
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	mu     sync.Mutex
	unsent quarantine.Report
	// crashTimes are the times of the unsent crashes, from which their ages are computed.
	crashTimes []time.Time
	dropped    int
	// ledger holds the crashes that this instance observed. suspects and toBlock are derived from it alone.
	ledger            *quarantine.Ledger
	suspects, toBlock map[quarantine.Fingerprint]bool
	// suspectedParts and partsToBlock are the same of parts of prompts; partsToBlock is one set.
	suspectedParts map[quarantine.Fingerprint]bool
	partsToBlock   []quarantine.Fingerprint
	// served holds when parts of prompts were last served at this instance.
	served recentSuccesses
	// successes holds the times of the last successes at this instance. known is the replicated list of
	// suspected and quarantined requests.
	successes recentSuccesses
	known     *follow.Quarantine
	// trackingUntil is the time until which successes of large requests are recorded too, in nanoseconds
	// of clock.Now.
	trackingUntil atomic.Int64
}

// NewRecorder returns a recorder that is not started.
func NewRecorder(cfg RecorderConfig) *Recorder {
	policy := quarantine.DefaultPolicy
	policy.QuarantineThreshold += extraCrashesIfCutOff
	policy.SettleDelay = 0
	return &Recorder{cfg: cfg, wake: make(chan struct{}, 1), ledger: quarantine.NewLedger(policy)}
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

// TrackLarge makes the recorder record successes of large requests for trackingTime.
func (r *Recorder) TrackLarge() { r.trackingUntil.Store(clock.Now().Add(trackingTime).UnixNano()) }

// TracksLarge reports whether successes of large requests are recorded.
func (r *Recorder) TracksLarge() bool {
	until := r.trackingUntil.Load()
	return until != 0 && clock.Now().UnixNano() < until
}

// Update applies a new version of the replicated list and reports those of its requests that recently
// succeeded at this instance.
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
	r.TrackLarge()
	now := clock.Now()
	for _, f := range q.All() {
		if _, ok := r.successes.last(f, now); ok {
			r.queueSuccess(f)
		}
	}
	for _, part := range q.KnownParts() {
		if _, ok := r.served.last(part, now); ok {
			r.queueServed(part)
		}
	}
}

// isKnown reports whether a request is in the replicated list. The caller must hold mu.
func (r *Recorder) isKnown(f quarantine.Fingerprint) bool {
	_, held := r.known.Held(f)
	return held || r.known.Suspects(f)
}

// RecordCrash reports that an upstream crashed at a time of the instance's clock, with the requests in
// flight there. Requests that recently succeeded at this instance are left out, as are parts of prompts that
// were just served.
func (r *Recorder) RecordCrash(upstream uint64, at time.Time, underWay []quarantine.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range underWay {
		a := &underWay[i]
		_, a.Succeeded = r.successes.last(a.Fingerprint, at)
		a.Parts = slices.DeleteFunc(slices.Clone(a.Parts), func(part quarantine.Fingerprint) bool { return r.wasServed(part, at) })
	}
	underWay = slices.DeleteFunc(underWay, func(a quarantine.Attempt) bool { return a.Succeeded && len(a.Parts) == 0 })
	if len(underWay) == 0 {
		return
	}
	r.ledger.RecordCrash(upstream, at, underWay)
	r.ledger.Forget(clock.Now())
	r.evaluate()
	if len(r.crashTimes) >= maxUnsent {
		r.dropped++
		return
	}
	r.unsent.Crashes = append(r.unsent.Crashes, quarantine.Crash{Upstream: upstream, UnderWay: underWay})
	r.crashTimes = append(r.crashTimes, at)
	r.wakeUp()
}

// RecordSuccess records that an upstream completed a request, and reports this if the request is in the
// replicated list.
func (r *Recorder) RecordSuccess(f quarantine.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	r.successes.add(now, f)
	if !r.ledger.Empty() {
		r.ledger.RecordSuccess(f, now)
		r.evaluate()
	}
	if r.isKnown(f) {
		r.queueSuccess(f)
	}
}

// wasServed reports whether a part of prompts was served at this instance shortly before a time. The caller
// must hold mu.
func (r *Recorder) wasServed(part quarantine.Fingerprint, at time.Time) bool {
	last, ok := r.served.last(part, at)
	return ok && at.Sub(last) <= quarantine.DefaultPolicy.PartExonerationPeriod
}

// RecordServed records that an upstream writes, or has completed, the answer to a request with the given parts
// that began at a time of clock.Now, and reports this of those in the replicated list. What happens since tells
// nothing: an upstream goes on with an answer while the same part already crashes others that begin one.
func (r *Recorder) RecordServed(parts []quarantine.Fingerprint, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		r.served.add(began, part)
		if !r.ledger.Empty() {
			r.ledger.RecordServed(part, began)
		}
		if r.known.KnowsPart(part) {
			r.queueServed(part)
		}
	}
	if len(r.suspectedParts) > 0 {
		r.evaluate()
	}
}

// queueServed queues the latest time at which a part was served for the next report. The caller must hold mu.
func (r *Recorder) queueServed(part quarantine.Fingerprint) {
	if slices.ContainsFunc(r.unsent.Served, func(s quarantine.Success) bool { return s.Fingerprint == part }) {
		return
	}
	if len(r.unsent.Served) >= maxUnsent {
		r.dropped++
		return
	}
	r.unsent.Served = append(r.unsent.Served, quarantine.Success{Fingerprint: part})
	r.wakeUp()
}

// queueSuccess queues the latest success of a request for the next report. The caller must hold mu.
func (r *Recorder) queueSuccess(f quarantine.Fingerprint) {
	if slices.ContainsFunc(r.unsent.Succeeded, func(s quarantine.Success) bool { return s.Fingerprint == f }) {
		return
	}
	if len(r.unsent.Succeeded) >= maxUnsent {
		r.dropped++
		return
	}
	r.unsent.Succeeded = append(r.unsent.Succeeded, quarantine.Success{Fingerprint: f})
	r.wakeUp()
}

// RetractCrash reports that an upstream has answered that was reported as crashed.
func (r *Recorder) RetractCrash(upstream uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.RetractCrash(upstream)
	r.evaluate()
	if len(r.unsent.Alive) >= maxUnsent {
		return
	}
	r.unsent.Alive = append(r.unsent.Alive, upstream)
	r.wakeUp()
}

// evaluate updates suspects and toBlock. The caller must hold mu.
func (r *Recorder) evaluate() {
	now := clock.Now()
	r.suspects, r.toBlock, r.suspectedParts, r.partsToBlock = nil, nil, nil, nil
	if r.ledger.Empty() {
		return
	}
	r.suspects, r.toBlock = toSet(r.ledger.Suspects(now)), toSet(r.ledger.ToQuarantine(now))
	r.suspectedParts, r.partsToBlock = toSet(r.ledger.SuspectedParts(now)), r.ledger.PartsToQuarantine(now)
}

func toSet(list []quarantine.Fingerprint) map[quarantine.Fingerprint]bool {
	if len(list) == 0 {
		return nil
	}
	m := make(map[quarantine.Fingerprint]bool, len(list))
	for _, f := range list {
		m[f] = true
	}
	return m
}

// wakeUp starts a report. The caller must hold mu.
func (r *Recorder) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Idle reports whether this instance suspects nothing.
func (r *Recorder) Idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects)+len(r.suspectedParts) == 0
}

// SuspectsParts reports whether a prompt has a part that is suspected, by the replicated list or by this
// instance, and was not served here just before.
func (r *Recorder) SuspectsParts(prompt []quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	return slices.ContainsFunc(prompt, func(part quarantine.Fingerprint) bool {
		return (r.known.SuspectsPart(part) || r.suspectedParts[part]) && !r.wasServed(part, now)
	})
}

// BlocksParts reports whether this instance keeps a prompt from upstreams because of its own observations
// alone, which it does only while the control group cannot be reached.
func (r *Recorder) BlocksParts(prompt []quarantine.Fingerprint) bool {
	r.mu.Lock()
	blocked := len(r.partsToBlock) > 0 && quarantine.ContainsAll(prompt, r.partsToBlock)
	r.mu.Unlock()
	return blocked && r.cfg.CutOff()
}

// Suspects reports whether this instance suspects a request from its own observations alone.
func (r *Recorder) Suspects(f quarantine.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspects[f]
}

// Blocks reports whether this instance keeps a request from upstreams because of its own observations
// alone, which it does only while the control group cannot be reached.
func (r *Recorder) Blocks(f quarantine.Fingerprint) bool {
	r.mu.Lock()
	blocked := r.toBlock[f]
	r.mu.Unlock()
	return blocked && r.cfg.CutOff()
}

// Trial requests the trial of a quarantined request.
func (r *Recorder) Trial(ctx context.Context, f quarantine.Fingerprint) bool {
	var a TrialResponse
	return r.callTrial(ctx, &TrialRequest{Fingerprint: f}, &a) == nil && a.Granted
}

// CancelTrial cancels a granted trial that was not used.
func (r *Recorder) CancelTrial(ctx context.Context, f quarantine.Fingerprint) {
	// A trial that cannot be cancelled is lost; an operator may release the request.
	_ = r.callTrial(ctx, &TrialRequest{Fingerprint: f, Cancel: true}, &TrialResponse{})
}

func (r *Recorder) callTrial(ctx context.Context, q *TrialRequest, a *TrialResponse) error {
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
			if !clock.Sleep(ctx, reportRetryDelay) {
				return
			}
		}
	}
}

// report sends the unsent reports to a member, to another one after a failure, and returns whether the
// member accepted them.
func (r *Recorder) report(ctx context.Context, failures int) bool {
	members := r.cfg.Members()
	next, crashes := r.nextReport()
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
	r.markSent(next)
	return true
}

// nextReport returns the next report and the number of its crashes.
func (r *Recorder) nextReport() (*quarantine.Report, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	next := r.unsent
	next.Crashes = append([]quarantine.Crash(nil), r.unsent.Crashes[:min(len(r.crashTimes), maxReported)]...)
	for i := range next.Crashes {
		next.Crashes[i].AgeMS = now.Sub(r.crashTimes[i]).Milliseconds()
	}
	next.Succeeded = r.successes.withAges(r.unsent.Succeeded, now)
	next.Served = r.served.withAges(r.unsent.Served, now)
	return &next, len(next.Crashes)
}

// markSent removes what was reported from the unsent reports.
func (r *Recorder) markSent(report *quarantine.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashTimes = r.crashTimes[len(report.Crashes):]
	r.unsent.Crashes = r.unsent.Crashes[len(report.Crashes):]
	r.unsent.Succeeded = r.unsent.Succeeded[len(report.Succeeded):]
	r.unsent.Alive = r.unsent.Alive[len(report.Alive):]
	r.unsent.Served = r.unsent.Served[len(report.Served):]
	if r.dropped > 0 {
		r.cfg.Log.Event("crash_reports_dropped").Int("reports", int64(r.dropped)).End()
		r.dropped = 0
	}
	if !r.unsent.Empty() {
		r.wakeUp()
	}
}
