package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	"github.com/comfreyladder/comfreyladder/instance/uplink"
)

// targetOf identifies an incarnation to other instances.
func targetOf(info *serving.Upstream) reach.Target {
	return reach.Target{Name: strconv.FormatUint(info.FirstIndex, 10), Address: info.Address}
}

// AllowTunnel reports whether a view contains the target of a tunnel.
func AllowTunnel(v *follow.View, t reach.Target) bool {
	index, err := strconv.ParseUint(t.Name, 10, 64)
	if err != nil {
		return false
	}
	u := v.Upstreams.Registered(index)
	return u != nil && u.Address == t.Address
}

func (f *fleet) newLinks(cfg *Config) *uplink.Service {
	return uplink.New(uplink.Config{
		HealthField: cfg.Headers.WarmUp, OnHealthField: f.healthSaysCold,
		Direct: cfg.Dial, Timeout: dialTimeout, Tunnels: cfg.Tunnels, Sample: f.sample,
		OnChange: func(c uplink.Change) {
			f.log.Event("links_changed").Bool("cut_off", c.CutOff).Int("reached", int64(c.Found.Reached)).Int("failed", int64(c.Found.Failed)).End()
			f.linksChanged(c.CutOff)
		},
		OnCheck:     func(reason string) { f.log.Event("links_checked").Str("reason", reason).End() },
		Instances:   cfg.instances,
		Upstreams:   f.upstreamCount,
		OnUnreached: func(r reach.Result) { f.log.Event("no_upstream_reached").Int("failed", int64(r.Failed)).End() },
	})
}

// CutOff reports whether this instance is cut off from all upstreams while others reach them.
func (s *Service) CutOff() bool { return s.fleet.links.CutOff() }

// ServesTunnels reports whether other instances may reach upstreams through this one.
func (s *Service) ServesTunnels() bool { return !s.NeedsTunnels() && s.drain.Load() == nil }

// NeedsTunnels reports whether this instance may have to reach upstreams through others.
func (s *Service) NeedsTunnels() bool { return s.fleet.links.Doubtful() }

// DialFor opens a connection to an upstream for another instance, see uplink.Service.DirectChecked.
func (s *Service) DialFor(ctx context.Context, t reach.Target) (net.Conn, error) {
	return s.fleet.links.DirectChecked(ctx, t)
}

// instances returns the number of instances that forward requests.
func (c *Config) instances() int { return c.State.View().Forwarders }

// sample implements uplink.Config.Sample. It leaves out upstreams that want nothing from this
// instance.
func (f *fleet) sample(n int) (list []uplink.Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var groups []*upstreamList
	for _, s := range f.services {
		for _, l := range s.byDomain {
			if len(l.list) > 0 {
				groups = append(groups, l)
			}
		}
	}
	rand.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	var chosen []*upstream
	var strained *upstream
	for tries := 0; len(groups) > 0 && len(chosen) < n && tries < drawTries*n; tries++ {
		group := groups[tries%len(groups)].list
		u := group[rand.IntN(len(group))]
		switch {
		case slices.Contains(chosen, u) || u.gate.Closed(clock.Now):
		case f.strained(u):
			strained = u
		default:
			chosen = append(chosen, u)
		}
	}
	if strained != nil {
		chosen = append(chosen[:min(len(chosen), n-1)], strained)
	}
	for _, u := range chosen {
		c := uplink.Candidate{Target: u.pool.target, HealthPath: u.service.healthPath, Strained: u == strained}
		c.Admit = func() bool { return f.admitCheck(u) }
		list = append(list, c)
	}
	return list
}

// upstreamCount returns how many upstreams checks may ask.
func (f *fleet) upstreamCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		n += len(s.ready.list)
	}
	return n
}

// checkUrgency is the urgency of the requests of checks, after all others.
const checkUrgency = urgencyLevels - 1

// admitCheck reports whether an upstream takes the request of a check: not while it wants nothing or is full,
// and with a token if it names a limit.
func (f *fleet) admitCheck(u *upstream) bool {
	if u.gate.Closed(clock.Now) {
		return false
	}
	f.mu.Lock()
	now := time.Now()
	full := f.lacksRoom(&selection{now: now, fresh: now.Sub(f.remoteLoadsAt) < remoteLoadTTL}, u)
	f.mu.Unlock()
	if full {
		return false
	}
	if !f.limiting() {
		return true
	}
	_, limited := f.limits.Limit(u.incarnation)
	return !limited || f.limits.Use(u.incarnation, checkUrgency)
}

// strained reports whether an upstream names a limit, is cold or is brittle.
func (f *fleet) strained(u *upstream) bool {
	_, limited := f.limitOf(u)
	return limited || u.isBrittle()
}

// linksChanged forgets what this instance believes of upstreams because of its own links, and closes
// the idle connections of the way that is no longer used.
func (f *fleet) linksChanged(cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for u := range f.used {
		u.closeIdle(now)
		if cutOff {
			u.forgetFailures()
		}
	}
	if !cutOff {
		return
	}
	clear(f.domains)
	for _, s := range f.services {
		s.peers.reset()
	}
}

// forgetFailures forgets what was observed of the upstream.
func (u *upstream) forgetFailures() {
	u.losses.forget()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures, u.ejectedUntil, u.observer = 0, time.Time{}, balance.Observer{}
}

func (p *peerObserver) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observer = balance.Observer{}
}

func (l *losses) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keepTrials()
}

// blames reports whether the failure of an attempt says something about its upstream. It does not if
// this instance could not connect for its own reasons, or lost a direct connection while it is cut off.
func (s *Service) blames(a *attempt) bool {
	if a.conn == nil {
		return fault.CodeOf(a.err) != fault.NotRun
	}
	return a.conn.detour || !s.CutOff()
}

// await records that a response is awaited.
func (a *attempt) await() {
	if !a.conn.detour {
		a.awaiting = true
		a.s.fleet.links.Await()
	}
}

// heard records that some of a response arrived.
func (a *attempt) heard() {
	if !a.awaiting {
		return
	}
	a.s.fleet.links.Heard()
	if !a.conn.proven {
		a.conn.proven = true
		a.s.fleet.links.Proven(a.conn.openedAt)
	}
}

// recordUnanswered records that the connection was lost, or the time was over, before any response.
func (a *attempt) recordUnanswered() {
	if !lostConnection(a.err) && !timedOut(a.err) {
		return
	}
	switch {
	case a.conn.detour:
		uplink.Distrust(a.conn.nc)
	case !a.conn.proven:
		a.s.fleet.links.Lost(a.up.pool.target)
	}
}

func (a *attempt) stopAwaiting() {
	if a.awaiting {
		a.awaiting = false
		a.s.fleet.links.Done()
	}
}
