package spread

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/tree"
)

func (s *Service) run(ctx context.Context) {
	for {
		began := time.Now()
		s.round(ctx)
		wake(s.contentChanged)
		timer := time.NewTimer(time.Until(began.Add(s.interval())))
		select {
		case <-timer.C:
		case <-s.pollNow:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// interval returns the time between two requests.
func (s *Service) interval() time.Duration {
	if s.isStarting() {
		return min(startupInterval, s.cfg.Interval)
	}
	return s.cfg.Interval
}

// isStarting reports whether this instance is in its startup phase and still waits for its
// first lease.
func (s *Service) isStarting() bool {
	return s.Lease().Until.IsZero() && time.Since(s.started) < startupPhase
}

// round asks candidates until one grants a lease. If none does, as when the control
// group is unreachable, the newest content received from any of them is kept.
func (s *Service) round(ctx context.Context) {
	layout := s.cfg.Layout()
	if layout.Root == layout.Self.Name {
		s.mu.Lock()
		s.parent = ""
		s.mu.Unlock()
		return
	}
	asked := 0
	for _, name := range tree.Candidates(layout.Self, layout.Root, layout.Live, s.cfg.FanOut) {
		if asked == maxAsked || ctx.Err() != nil {
			return
		}
		if s.isSkipped(name) {
			continue
		}
		asked++
		leased, err := s.ask(ctx, name)
		if leased {
			return
		}
		s.skip(name, err)
	}
	if asked == 0 {
		s.mu.Lock()
		clear(s.skippedUntil)
		s.mu.Unlock()
	}
}

func (s *Service) isSkipped(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.skippedUntil[name])
}

func (s *Service) skip(name string, err error) {
	pause := skipTime
	switch {
	case s.isStarting():
		pause = startupInterval
	case err == nil:
		pause = s.cfg.Interval
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skippedUntil[name] = time.Now().Add(pause)
}

// ask sends a request to one candidate and reports whether it qualifies as a parent:
// it answers, is not behind and grants a lease. If an incremental update does not
// apply, ask requests the whole content.
func (s *Service) ask(ctx context.Context, name string) (bool, error) {
	s.mu.Lock()
	s.requireKnownRevision()
	q := request{Request: s.state.Request(s.cfg.Now(), name), Start: s.start}
	s.mu.Unlock()
	leased, err := s.askOnce(ctx, name, q)
	if fault.CodeOf(err) == fault.Corrupt {
		q.Request = tree.Request{Applied: q.Applied}
		leased, err = s.askOnce(ctx, name, q)
	}
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("configuration request failed")
	}
	return leased, err
}

func (s *Service) askOnce(ctx context.Context, name string, q request) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := s.cfg.Now()
	var u tree.Update
	if err := s.cfg.Links.Call(ctx, name, channelAsk, q, &u); err != nil {
		s.noteLessor(name, asked.Add(maxLease), q.Applied)
		return false, err
	}
	s.mu.Lock()
	outcome, err := s.state.ApplyUpdate(asked, u)
	if err == nil && outcome != tree.Behind {
		s.parent = name
	}
	s.mu.Unlock()
	if u.LeaseMillis > 0 {
		s.noteLessor(name, asked.Add(time.Duration(u.LeaseMillis)*time.Millisecond), q.Applied)
	}
	if outcome == tree.Applied {
		s.announceContent()
	}
	return err == nil && outcome != tree.Behind && u.LeaseMillis > 0, err
}
