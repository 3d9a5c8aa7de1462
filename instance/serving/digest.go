package serving

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

const channelDigest = "serving.digest"

const (
	// digestEvery is the time between two exchanges of what members heard.
	digestEvery = time.Second
	// forgetWatcher is for how long an instance counts that asks no more. It is
	// longer than the window of a retry budget, which it may have spent its share of.
	forgetWatcher = 20 * time.Second
	// forgetHeard bounds the memory of heartbeats.
	forgetHeard = time.Minute
)

// digest tells other members what this one heard since the last one.
type digest struct {
	// Heard lists upstreams, Watchers instances that forward requests.
	Heard    []string `codec:"h"`
	Watchers []string `codec:"w"`
	// Clocks are those of the member, where anything goes by the agreed time.
	Clocks *clocks `codec:"c,omitempty"`
}

func (s *Service) exchange(ctx context.Context) {
	ticker := time.NewTicker(digestEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g := s.cfg.Replica()
		if g == nil {
			continue
		}
		st := g.Status()
		s.tell(&st)
		s.findSilent(ctx, g, &st)
		s.forgetLimits(g, clock.Now())
	}
}

func (s *Service) tell(st *consensus.Status) {
	d := s.takeDigest()
	d.Clocks = s.metering.clocks(clock.Now())
	for _, name := range otherNames(st.Members, st.ID) {
		if err := s.cfg.Links.Send(name, channelDigest, d); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", name).Msg("digest not sent")
		}
	}
}

func (s *Service) takeDigest() digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d digest
	for id := range s.fresh {
		d.Heard = append(d.Heard, id)
	}
	for name := range s.own {
		d.Watchers = append(d.Watchers, name)
	}
	clear(s.fresh)
	clear(s.own)
	return d
}

func (s *Service) receiveDigest(_ context.Context, from string, msg link.Message) (any, error) {
	var d digest
	if err := msg.Decode(&d); err != nil {
		return nil, err
	}
	s.metering.observe(clock.Now(), from, d.Clocks)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for _, id := range d.Heard {
		s.heard[id] = now
	}
	for _, name := range d.Watchers {
		s.watched[name] = now
	}
	return nil, nil
}

func (s *Service) noteWatcher(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched[name] = clock.Now()
	s.own[name] = true
}

func (s *Service) forwarders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.watched {
		if clock.Since(at) > forgetWatcher {
			delete(s.watched, name)
		}
	}
	return len(s.watched)
}

// findSilent proposes, at the leader, the upstreams that no member has heard for a
// while. A new leader waits as long first: what its predecessor heard it does not
// know, and upstreams that never fell silent would lose their work.
func (s *Service) findSilent(ctx context.Context, g *consensus.Service, st *consensus.Status) {
	if st.Role != raft.Leader {
		s.mu.Lock()
		s.leads = time.Time{}
		s.mu.Unlock()
		return
	}
	var list []serving.Upstream
	machine(g, func(m *serving.Machine) { list = m.Upstreams() })
	silent := s.silent(list)
	if len(silent) == 0 {
		return
	}
	err := s.propose(ctx, &serving.Command{Silent: silent})
	s.cfg.Log.Warn().Str("event", "upstreams_silent").Strs("upstreams", silent).Dur("after", s.cfg.SilenceTimeout).
		Str("outcome", outcome(err)).Err(err).Msg("no member hears these upstreams")
}

func (s *Service) silent(list []serving.Upstream) (silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if s.leads.IsZero() {
		s.leads = now
	}
	for id, at := range s.heard {
		if now.Sub(at) > forgetHeard {
			delete(s.heard, id)
		}
	}
	if now.Sub(s.leads) < s.cfg.SilenceTimeout {
		return nil
	}
	for i := range list {
		u := &list[i]
		if !u.Silent && u.State <= serving.Draining && now.Sub(s.heard[u.ID]) > s.cfg.SilenceTimeout {
			silent = append(silent, u.ID)
		}
	}
	return silent
}
