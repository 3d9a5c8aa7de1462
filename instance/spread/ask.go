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
		wake(s.fresh)
		timer := time.NewTimer(time.Until(began.Add(s.interval())))
		select {
		case <-timer.C:
		case <-s.hurry:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// interval returns the time between two questions.
func (s *Service) interval() time.Duration {
	if s.starts() {
		return min(startInterval, s.cfg.Interval)
	}
	return s.cfg.Interval
}

// starts reports whether this instance still waits for its first lease.
func (s *Service) starts() bool {
	return s.Lease().Until.IsZero() && time.Since(s.started) < startPhase
}

// round asks candidates until one gives a lease. Without one, as when the
// control group is cut off, the newest content that any of them has is kept.
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
		if s.isPassedOver(name) {
			continue
		}
		asked++
		leased, err := s.ask(ctx, name)
		if leased {
			return
		}
		s.pass(name, err)
	}
	if asked == 0 {
		s.mu.Lock()
		clear(s.passedOver)
		s.mu.Unlock()
	}
}

func (s *Service) isPassedOver(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.passedOver[name])
}

func (s *Service) pass(name string, err error) {
	pause := passOver
	switch {
	case s.starts():
		pause = startInterval
	case err == nil:
		pause = s.cfg.Interval
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passedOver[name] = time.Now().Add(pause)
}

// ask puts the question to one candidate and reports whether it is a parent to
// stay with: one that answers, is not behind and gives a lease.
func (s *Service) ask(ctx context.Context, name string) (bool, error) {
	s.mu.Lock()
	s.require()
	q := question{Request: s.state.Request(time.Now(), name), Start: s.start}
	s.mu.Unlock()
	leased, err := s.askOnce(ctx, name, q)
	if fault.CodeOf(err) == fault.Corrupt {
		q.Request = tree.Request{Applied: q.Applied}
		leased, err = s.askOnce(ctx, name, q)
	}
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("configuration not got")
	}
	return leased, err
}

func (s *Service) askOnce(ctx context.Context, name string, q question) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
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
		s.changed()
	}
	return err == nil && outcome != tree.Behind && u.LeaseMillis > 0, err
}
