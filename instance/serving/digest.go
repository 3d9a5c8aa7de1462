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
	// digestInterval is the time between two digests to the other members.
	digestInterval = time.Second
	// startupDigestInterval is that time during startupDigests after the start of a member. Until
	// members know the instances that follow others, these would share budgets among too few.
	startupDigestInterval = 100 * time.Millisecond
	startupDigests        = 2 * time.Second
	// minWatcherRetention is how long an instance counts after its last request, at least.
	minWatcherRetention = 20 * time.Second
	// watcherInterval is the time between two digests that list the same instance.
	watcherInterval = minWatcherRetention / 4
	// maxDigestDelay is how late a digest may be before the member counts as suspended meanwhile.
	maxDigestDelay = 3 * time.Second
	// heartbeatRetention is how long the time of a heartbeat is kept.
	heartbeatRetention = time.Minute
)

// watcherRetention is how long an instance counts after its last request: longer than the window of
// the retry budget, of which it may have spent its share.
func watcherRetention(window time.Duration) time.Duration { return max(minWatcherRetention, 2*window) }

// ShareLifetime is how long after its last confirmed answer an instance may spend its share of a retry
// budget with the given window. What it spends by then has left the window when the members forget the
// instance and divide its share among the others.
func ShareLifetime(window time.Duration) time.Duration {
	return watcherRetention(window) - watcherInterval - window
}

// digest tells the other members what this member received.
type digest struct {
	// Heard lists the upstreams that sent heartbeats since the last digest. Only the leader needs
	// them. Watchers lists instances that forward requests.
	Heard    []string `codec:"h"`
	Watchers []string `codec:"w"`
	// Domains maps those of the watchers to their failure domains that are in another one than the
	// sender.
	Domains map[string]string `codec:"d,omitempty"`
	// Clocks are the clocks of the member if the agreed time is used.
	Clocks *clocks `codec:"c,omitempty"`
	// Starting asks for all instances that follow the recipient: the sender has just started, or missed
	// digests, and would think them fewer than they are.
	Starting bool `codec:"s,omitempty"`
	// Tunnels lists some of the instances that follow the sender and serve tunnels.
	Tunnels []string `codec:"t,omitempty"`
}

func (s *Service) exchangeDigests(ctx context.Context) {
	for {
		before := clock.Now()
		interval := digestInterval
		if clock.Since(s.startedAt) < startupDigests {
			interval = startupDigestInterval
		}
		if clock.Sleep(ctx, interval); ctx.Err() != nil {
			return
		}
		g := s.cfg.Replica()
		if g == nil {
			s.missDigests()
			continue
		}
		st := g.Status()
		if st.Leader == 0 || clock.Since(before) > interval+maxDigestDelay {
			s.missDigests()
		}
		s.forgetWatchers()
		s.sendDigest(&st)
		s.proposeSilent(ctx, g, &st)
		s.pruneLimits(g, clock.Now())
	}
}

func (s *Service) sendDigest(st *consensus.Status) {
	now := clock.Now()
	all := digest{Watchers: s.takeWatchers(now), Clocks: s.metering.clocks(now), Starting: s.isStarting(now), Tunnels: s.tunnels.announce(now)}
	var heard []string
	if st.Leader != 0 {
		heard = s.takeHeard()
	}
	starting := s.takeStarting()
	for _, m := range st.Members {
		d := all
		if m.ID == st.Leader {
			d.Heard = heard
		}
		if starting[m.Name] {
			d.Watchers = s.ownWatchers()
		}
		d.Domains = s.otherDomains(d.Watchers)
		if m.ID == st.ID || d.empty() {
			continue
		}
		if err := s.cfg.Links.Send(m.Name, channelDigest, d); err != nil {
			s.cfg.Log.Debug().Err(err).Str("peer", m.Name).Msg("digest not sent")
		}
	}
}

func (d *digest) empty() bool {
	return len(d.Heard)+len(d.Watchers)+len(d.Tunnels) == 0 && d.Clocks == nil && !d.Starting
}

// isStarting reports whether this member may not know yet of all instances that forward requests.
func (s *Service) isStarting(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.missedDigestsAt) < watcherInterval
}

// missDigests records that digests of other members may be missing until now: this process has just
// started or was suspended, or its replica has not joined or has no leader.
func (s *Service) missDigests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missedDigestsAt = clock.Now()
}

// takeStarting returns the members that have just started and asked for all instances.
func (s *Service) takeStarting() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	starting := s.starting
	s.starting = map[string]bool{}
	return starting
}

// ownWatchers returns the instances that follow this member.
func (s *Service) ownWatchers() (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.watcherSentAt {
		list = append(list, name)
	}
	return list
}

// takeHeard returns the upstreams that sent heartbeats since the last call.
func (s *Service) takeHeard() (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.unsentHeard {
		list = append(list, id)
	}
	clear(s.unsentHeard)
	return list
}

// takeWatchers returns the instances that asked since the last call and have not been listed for a
// while.
func (s *Service) takeWatchers(now time.Time) (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.unsentWatchers {
		if now.Sub(s.watcherSentAt[name]) >= watcherInterval {
			list = append(list, name)
			s.watcherSentAt[name] = now
		}
	}
	clear(s.unsentWatchers)
	return list
}

func (s *Service) receiveDigest(_ context.Context, from string, msg link.Message) (any, error) {
	var d digest
	if err := msg.Decode(&d); err != nil {
		return nil, err
	}
	s.metering.observe(clock.Now(), from, d.Clocks)
	s.tunnels.learn(from, clock.Now(), d.Tunnels)
	domain := s.memberDomain(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Starting {
		s.starting[from] = true
	}
	now := clock.Now()
	for _, id := range d.Heard {
		s.lastHeard[id] = now
	}
	for _, name := range d.Watchers {
		s.watchers[name] = now
		if other := d.Domains[name]; other != "" {
			s.ranks.set(name, other)
		} else {
			s.ranks.set(name, domain)
		}
	}
	return nil, nil
}

// memberDomain returns the failure domain of a member; empty if it is not known.
func (s *Service) memberDomain(name string) string {
	g := s.cfg.Replica()
	if g == nil {
		return ""
	}
	for _, m := range g.Status().Members {
		if m.Name == name {
			return m.Domain
		}
	}
	return ""
}

// otherDomains returns the failure domains of the instances that are in another one than this member.
func (s *Service) otherDomains(names []string) (other map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if domain := s.ranks.domains[name]; domain != s.cfg.Domain {
			if other == nil {
				other = map[string]string{}
			}
			other[name] = domain
		}
	}
	return other
}

// recordWatcher records a request of an instance. The failure domain of one of an older build is
// not known; most instances ask a member of their own.
func (s *Service) recordWatcher(name, domain string) {
	if domain == "" {
		domain = s.cfg.Domain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[name] = clock.Now()
	s.unsentWatchers[name] = true
	s.ranks.set(name, domain)
}

// forwarders returns the number of instances that forward requests. Those that have stopped asking
// are forgotten with the next digest.
func (s *Service) forwarders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

func (s *Service) forgetWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	for name, at := range s.watchers {
		if now.Sub(at) > watcherRetention(s.cfg.BudgetWindow) {
			delete(s.watchers, name)
			delete(s.watcherSentAt, name)
			s.ranks.remove(name)
		}
	}
}

// proposeSilent marks, on the leader, the upstreams that no member received a heartbeat from
// for SilenceTimeout. A new leader first waits that long: it does not know which heartbeats
// its predecessor received, and upstreams that never fell silent would lose their work.
func (s *Service) proposeSilent(ctx context.Context, g *consensus.Service, st *consensus.Status) {
	if st.Role != raft.Leader {
		s.mu.Lock()
		s.leaderSince = time.Time{}
		s.mu.Unlock()
		return
	}
	var silent []string
	viewServing(g, func(m *serving.Machine) { silent = s.silentUpstreams(m.Each) })
	if len(silent) == 0 {
		return
	}
	err := s.propose(ctx, &serving.Command{Silent: silent})
	s.cfg.Log.Warn().Str("event", "upstreams_silent").Strs("upstreams", silent).Dur("after", s.cfg.SilenceTimeout).
		Str("outcome", outcome(err)).Err(err).Msg("no member receives heartbeats from these upstreams")
}

// silentUpstreams returns those of all upstreams that no member has heard from.
func (s *Service) silentUpstreams(each func(func(*serving.Upstream))) (silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	if s.leaderSince.IsZero() {
		s.leaderSince = now
	}
	for id, at := range s.lastHeard {
		if now.Sub(at) > heartbeatRetention {
			delete(s.lastHeard, id)
		}
	}
	if now.Sub(s.leaderSince) < s.cfg.SilenceTimeout {
		return nil
	}
	each(func(u *serving.Upstream) {
		if !u.Silent && u.State <= serving.Draining && now.Sub(s.lastHeard[u.ID]) > s.cfg.SilenceTimeout {
			silent = append(silent, u.ID)
		}
	})
	return silent
}
