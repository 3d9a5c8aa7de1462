package spread

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/tree"
)

func (s *Service) run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ticker.C:
		case <-s.hurry:
		case <-ctx.Done():
			return
		}
	}
}

// round asks candidates until one gives a lease. Without one, as when the
// control group is cut off, the newest content that any of them has is kept.
func (s *Service) round(ctx context.Context) {
	layout := s.cfg.Layout()
	if layout.Root == layout.Self.Name {
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
		if s.ask(ctx, name) {
			return
		}
		s.pass(name)
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

func (s *Service) pass(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passedOver[name] = time.Now().Add(passOver)
}

// ask puts the question to one candidate and reports whether it is a parent to
// stay with: one that answers, is not behind and gives a lease.
func (s *Service) ask(ctx context.Context, name string) bool {
	s.mu.Lock()
	s.require()
	q := s.state.Question()
	s.mu.Unlock()
	leased, err := s.askOnce(ctx, name, q)
	if fault.CodeOf(err) == fault.Corrupt {
		leased, err = s.askOnce(ctx, name, tree.Question{})
	}
	if err != nil {
		s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("configuration not got")
		return false
	}
	return leased
}

func (s *Service) askOnce(ctx context.Context, name string, q tree.Question) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	var u tree.Update
	if err := s.cfg.Links.Call(ctx, name, channelAsk, q, &u); err != nil {
		return false, err
	}
	s.mu.Lock()
	outcome, err := s.state.Offer(asked, u)
	if err == nil && outcome != tree.Behind {
		s.parent = name
	}
	s.mu.Unlock()
	if outcome == tree.Applied {
		s.changed()
	}
	return err == nil && outcome != tree.Behind && u.LeaseMillis > 0, err
}
