package relay

import (
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

const (
	// crashPause is the time between the loss of a connection and the look whether the
	// upstream still listens: the sockets of a process that ends are closed one by one.
	crashPause = 30 * time.Millisecond
	// lossMemory is for how long a lost attempt is kept while it is not known whether the
	// upstream has crashed.
	lossMemory = 10 * time.Second
	// maxLosses bounds the lost attempts that are kept of one upstream; more are dropped.
	maxLosses = 128
	// maxNamed bounds the fingerprints in one line of the log.
	maxNamed = 16
)

// loss is an attempt that lost its upstream at a time.
type loss struct {
	quarantine.Attempt
	at time.Time
}

// losses are the attempts that lost one incarnation of an upstream.
type losses struct {
	mu      sync.Mutex
	list    []loss
	probing bool
	// crashed is when it was found that the incarnation has ended without a leave, zero while
	// it was not.
	crashed time.Time
}

// add notes a loss, and reports whether a look at the upstream is to be begun.
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

// expire needs mu.
func (l *losses) expire(now time.Time) {
	kept := l.list[:0]
	for _, x := range l.list {
		if now.Sub(x.at) < lossMemory {
			kept = append(kept, x)
		}
	}
	l.list = kept
}

// probed notes what a look at the upstream has shown.
func (l *losses) probed(p probeResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probing = false
	switch p {
	case probeRefused:
		l.crashed = time.Now()
	case probeListens:
		l.list = nil
	}
}

// takeCrashed returns the attempts that were lost to a crash, each once.
func (l *losses) takeCrashed(now time.Time) []loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed.IsZero() {
		return nil
	}
	l.expire(now)
	list := l.list
	l.list = nil
	return list
}

// superseded notes that another incarnation has announced itself at the address.
func (l *losses) superseded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = time.Now()
}

// alive notes that the incarnation has answered an attempt that begun at a time, and reports
// whether it was believed to have crashed before that.
func (l *losses) alive(begun time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crashed.IsZero() || begun.Before(l.crashed) {
		return false
	}
	l.crashed = time.Time{}
	return true
}

// lostConnection reports whether an attempt failed since its connection ended.
func lostConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// wentSilent reports whether an attempt failed since nothing came any more.
func wentSilent(err error) bool { return isTimeout(err) || errors.Is(err, syscall.ETIMEDOUT) }

// noteLoss keeps an attempt that lost its upstream until it is known whether that has
// crashed.
func (s *Service) noteLoss(a *attempt) {
	lost := lostConnection(a.err)
	if !lost && !wentSilent(a.err) {
		return
	}
	if s.cfg.Quarantine != nil {
		s.cfg.Quarantine.TrackLarge()
	}
	up, now := a.up, time.Now()
	organisation := ""
	if a.r.organisation != nil {
		organisation = a.r.organisation.Name
	}
	x := loss{quarantine.NewAttempt(a.r.fingerprint(), now.Sub(a.begun), organisation, string(a.r.head.Target)), now}
	if !up.losses.add(x, lost) {
		s.reportCrash(up)
		return
	}
	s.running.Go(func() {
		if !s.pause(crashPause) {
			return
		}
		up.losses.probed(probe(up))
		s.reportCrash(up)
	})
}

// probeResult is what a connect to an upstream has shown.
type probeResult uint8

const (
	// probeUnclear means that nothing answered.
	probeUnclear probeResult = iota
	// probeRefused means that the host answered and nothing listens there.
	probeRefused
	// probeListens means that a process accepts connections.
	probeListens
)

// probe looks whether anything listens at an upstream's address.
func probe(up *upstream) probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := up.pool.dial(ctx)
	switch {
	case err == nil:
		up.pool.putUnused(c, time.Now())
		return probeListens
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeRefused
	}
	return probeUnclear
}

// reportCrash tells which requests were under way at an upstream that has crashed.
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
		Str("fingerprints", nameFingerprints(underWay)).End()
	if s.cfg.Quarantine != nil {
		s.cfg.Quarantine.RecordCrash(up.begun, clock.Now().Add(-time.Since(at)), underWay)
	}
}

func nameFingerprints(list []quarantine.Attempt) string {
	names := make([]string, 0, maxNamed)
	for _, a := range list[:min(len(list), maxNamed)] {
		names = append(names, a.Fingerprint.String())
	}
	return strings.Join(names, ",")
}
