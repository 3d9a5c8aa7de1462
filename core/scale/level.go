package scale

import (
	"math"
	"time"
)

// slidingMax tracks the maximum of the values observed within a time window.
type slidingMax struct{ list []observation }

type observation struct {
	at    time.Time
	count float64
}

// add records a value and drops earlier ones that do not exceed it, since they can no longer be the
// maximum.
func (p *slidingMax) add(now time.Time, count float64) {
	n := len(p.list)
	for n > 0 && p.list[n-1].count <= count {
		n--
	}
	p.list = append(p.list[:n], observation{now, count})
}

// maxSince returns the maximum of the values observed since the given time, and at least the latest
// one. It drops older values.
func (p *slidingMax) maxSince(since time.Time) float64 {
	for len(p.list) > 1 && p.list[0].at.Before(since) {
		p.list = p.list[1:]
	}
	return p.list[0].count
}

// LevelController decides how many upstreams should serve. Load may double within seconds and fall
// again as quickly, while an upstream takes seconds to boot. The level therefore rises immediately
// and falls slowly, because the cache of an upstream is lost with it.
type LevelController struct {
	cfg *Config
	// count is the current level, as of updatedAt.
	count                float64
	startedAt, updatedAt time.Time
	// demandSeen says that there was any demand.
	demandSeen bool
	requested  slidingMax
}

// Next returns the level at the given time.
func (l *LevelController) Next(now time.Time, s *Service) int {
	if l.updatedAt.IsZero() {
		// The existing upstreams are assumed to be needed: another instance may have ordered them.
		l.count, l.startedAt, l.updatedAt = float64(s.ready()), now, now
		l.requested.add(now, l.count)
	}
	l.requested.add(now, l.requiredLevel(now, s))
	next := l.requested.maxSince(now.Add(-l.cfg.HoldTime))
	if next < l.count {
		next = max(next, l.count*(1-l.cfg.ReleaseRate*now.Sub(l.updatedAt).Seconds()))
	}
	l.count, l.updatedAt = min(float64(l.maxLevel(s)), max(float64(s.minTotal()), next)), now
	return int(math.Ceil(l.count))
}

// maxLevel returns the highest permitted level.
func (l *LevelController) maxLevel(s *Service) int {
	return max(s.minTotal(), min(s.maxTotal(), l.cfg.MaxUpstreams))
}

// requiredLevel returns how many upstreams are required now. Before the first demand, and for at
// most StartTimeout, these are at least StartShare of the maximum. While the demand is unknown, the
// level is held.
func (l *LevelController) requiredLevel(now time.Time, s *Service) float64 {
	l.demandSeen = l.demandSeen || s.Need > 0
	switch {
	case !l.demandSeen && now.Sub(l.startedAt) < l.cfg.StartTimeout:
		return max(l.count, l.cfg.StartShare*float64(l.maxLevel(s)))
	case !s.Known:
		return l.count
	}
	return s.Need / l.cfg.Utilisation
}
