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
)

const (
	// crashPause is the time between the loss of a connection and the look whether the
	// upstream still listens: the sockets of a process that ends are closed one by one.
	crashPause = 30 * time.Millisecond
	// lossMemory is for how long a lost attempt is kept while it is not known whether the
	// upstream has crashed.
	lossMemory = 10 * time.Second
	// maxLosses bounds the lost attempts that are kept of one upstream.
	maxLosses = 512
	// maxNamed bounds the fingerprints in one line of the log.
	maxNamed = 16
)

// loss is an attempt that lost its upstream.
type loss struct {
	fingerprint quarantine.Fingerprint
	at          time.Time
}

// losses are the attempts that lost one incarnation of an upstream.
type losses struct {
	mu      sync.Mutex
	list    []loss
	probing bool
	// crashed says that the incarnation has ended without a leave.
	crashed bool
}

// add notes a loss, and reports whether a look at the upstream is to be begun.
func (l *losses) add(now time.Time, f quarantine.Fingerprint, probe bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if len(l.list) < maxLosses {
		l.list = append(l.list, loss{f, now})
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
		l.crashed = true
	case probeListens:
		l.list = nil
	}
}

// takeCrashed returns the attempts that were lost to a crash, each once.
func (l *losses) takeCrashed(now time.Time) []loss {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.crashed {
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
	l.crashed = true
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
	up := a.up
	if !up.losses.add(time.Now(), a.r.fingerprint(), lost) {
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
	s.set.GetOrCreateCounter("relay_lost_to_crashes_total").Add(len(list))
	s.cfg.Log.Event("upstream_crashed").Str("upstream", up.id).Str("address", up.address).Int("under_way", int64(len(list))).
		Str("fingerprints", nameFingerprints(list)).End()
}

func nameFingerprints(list []loss) string {
	names := make([]string, 0, maxNamed)
	for _, l := range list[:min(len(list), maxNamed)] {
		names = append(names, l.fingerprint.String())
	}
	return strings.Join(names, ",")
}
