package relay

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

const (
	// probeDelay is the time between the loss of a connection and the check whether the upstream
	// still listens: the sockets of a terminating process are closed one by one.
	probeDelay = 30 * time.Millisecond
	// probeTimeout bounds a probe. It covers the check whether this instance's own links are the cause.
	probeTimeout = 3 * time.Second
	// lossRetention is how long a lost attempt is kept while it is unknown whether the upstream
	// crashed.
	lossRetention = 10 * time.Second
	// maxLosses bounds the lost attempts kept per upstream; further ones are dropped.
	maxLosses = 128
	// maxLoggedFingerprints bounds the fingerprints in one log line.
	maxLoggedFingerprints = 16
)

// loss is an attempt whose connection to the upstream failed, and when.
type loss struct {
	quarantine.Attempt
	at time.Time
	// trial is set if the attempt was the trial of a quarantined request.
	trial bool
}

// losses holds the lost attempts of one incarnation of an upstream.
type losses struct {
	mu      sync.Mutex
	list    []loss
	probing bool
	// crashedAt is when the incarnation was found to have terminated without leaving, zero if it
	// was not.
	crashedAt time.Time
}

// add records a loss and reports whether the caller should probe the upstream.
func (l *losses) add(x loss, probe bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(x.at)
	if len(l.list) < maxLosses {
		l.list = append(l.list, x)
	}
	if !probe || l.probing {
		return false
	}
	l.probing = true
	return true
}

// expire drops losses older than lossRetention. The caller holds mu.
func (l *losses) expire(now time.Time) {
	kept := l.list[:0]
	for _, x := range l.list {
		if now.Sub(x.at) < lossRetention {
			kept = append(kept, x)
		}
	}
	l.list = kept
}

// probed records the result of a probe.
func (l *losses) probed(p probeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	switch p {
	case probeRefused:
		l.crashedAt = time.Now()
	case probeListens:
		l.keepTrials()
	}
}

// keepTrials drops all losses but those of trials. What listens may have started since, and a cut may be a
// false verdict: a trial whose failure is never told is made again. It counts only if the upstream turns out
// to have ended. The caller holds mu.
func (l *losses) keepTrials() {
	l.list = slices.DeleteFunc(l.list, func(x loss) bool { return !x.trial })
}

// takeCrashed returns the attempts that were lost to a crash, each once.
func (l *losses) takeCrashed(now time.Time) []loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashedAt.IsZero() {
		return nil
	}
	l.expire(now)
	list := l.list
	l.list = nil
	return list
}

// superseded records that another incarnation has announced itself at the address.
func (l *losses) superseded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashedAt = time.Now()
}

// alive records that the incarnation answered an attempt that started at the given time, and
// reports whether it had been considered crashed before that.
func (l *losses) alive(begun time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashedAt.IsZero() || begun.Before(l.crashedAt) {
		return false
	}
	l.crashedAt = time.Time{}
	return true
}

// lostConnection reports whether an attempt failed because its connection was closed or reset.
func lostConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// timedOut reports whether an attempt failed because nothing was received any more.
func timedOut(err error) bool { return isTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) }

// recordLoss keeps an attempt that lost its upstream until it is known whether that upstream
// crashed.
func (s *Service) recordLoss(a *attempt) {
	lost := lostConnection(a.err)
	if !lost && !timedOut(a.err) {
		return
	}
	if s.cfg.Quarantine != nil {
		s.cfg.Quarantine.TrackLarge()
	}
	up, now := a.up, time.Now()
	if lost {
		s.fleet.doubt(up)
	}
	organisation := ""
	if a.r.organisation != nil {
		organisation = a.r.organisation.Name
	}
	x := loss{quarantine.NewAttempt(a.r.fingerprint(), now.Sub(a.startedAt), organisation, string(a.r.head.Target)), now, a.r.trial}
	if !a.answersSince(now.Add(-quarantine.AnsweringTime)) {
		x.Parts = a.r.sharedParts()
	}
	pause := up.gate.Left(clock.Now())
	if !up.losses.add(x, lost && pause < lossRetention) {
		s.reportCrash(up)
		return
	}
	s.running.Go(func() {
		if !s.sleep(pause + probeDelay) {
			return
		}
		result := s.probe(up)
		if result == probeRefused {
			s.fleet.presumeCold(up)
		}
		up.losses.probed(result)
		s.reportCrash(up)
	})
}

// probeResult is the result of a connect to an upstream.
type probeResult uint8

const (
	// probeUnclear means that the host did not answer.
	probeUnclear probeResult = iota
	// probeRefused means that the host answered and nothing listens at the address.
	probeRefused
	// probeListens means that a process accepts connections.
	probeListens
)

// probe checks whether anything listens at the address of an upstream, unless the upstream wants
// nothing from this instance.
func (s *Service) probe(up *upstream) probeResult {
	if up.gate.Closed(clock.Now) {
		return probeUnclear
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	c, err := up.pool.dial(ctx)
	switch {
	case err == nil:
		s.fleet.keepConn(up, c)
		return probeListens
	case fault.CodeOf(err) == fault.NotRun:
		return probeUnclear
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	}
	return probeUnclear
}

// reportCrash reports which requests were in flight at an upstream that has crashed.
func (s *Service) reportCrash(up *upstream) {
	list := up.losses.takeCrashed(time.Now())
	if len(list) == 0 {
		return
	}
	at := list[0].at
	underWay := make([]quarantine.Attempt, len(list))
	for i, x := range list {
		underWay[i] = x.Attempt
		if x.at.Before(at) {
			at = x.at
		}
	}
	for i, x := range list {
		underWay[i].RanMS = max(0, x.RanMS-x.at.Sub(at).Milliseconds())
	}
	s.set.GetOrCreateCounter("relay_lost_to_crashes_total").Add(len(list))
	s.cfg.Log.Event("upstream_crashed").Str("upstream", up.id).Str("address", up.address).Int("under_way", int64(len(list))).
		Str("fingerprints", joinFingerprints(fingerprintsOf(underWay))).Str("parts", joinFingerprints(partsOf(underWay))).End()
	if s.cfg.Quarantine != nil {
		s.cfg.Quarantine.RecordCrash(up.incarnation, clock.Now().Add(-time.Since(at)), underWay)
	}
}

func joinFingerprints(list []quarantine.Fingerprint) string {
	names := make([]string, 0, maxLoggedFingerprints)
	for _, f := range list[:min(len(list), maxLoggedFingerprints)] {
		names = append(names, f.String())
	}
	return strings.Join(names, ",")
}

func fingerprintsOf(attempts []quarantine.Attempt) (list []quarantine.Fingerprint) {
	for i := range attempts {
		list = append(list, attempts[i].Fingerprint)
	}
	return list
}

// partsOf returns the parts of the prompts of attempts, each once.
func partsOf(attempts []quarantine.Attempt) (list []quarantine.Fingerprint) {
	for i := range attempts {
		for _, f := range attempts[i].Parts {
			if !slices.Contains(list, f) {
				list = append(list, f)
			}
		}
	}
	return list
}
