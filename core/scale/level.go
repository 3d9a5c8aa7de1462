package scale

import (
	"math"
	"time"
)

// peaks remembers the greatest of what was noted within a time.
type peaks struct{ list []peak }

type peak struct {
	at    time.Time
	count float64
}

// note remembers a count; what is less than a later one is never the greatest.
func (p *peaks) note(now time.Time, count float64) {
	n := len(p.list)
	for n > 0 && p.list[n-1].count <= count {
		n--
	}
	p.list = append(p.list[:n], peak{now, count})
}

// most returns the greatest count that was noted since a time, and at least the latest one.
func (p *peaks) most(since time.Time) float64 {
	for len(p.list) > 1 && p.list[0].at.Before(since) {
		p.list = p.list[1:]
	}
	return p.list[0].count
}

// Level decides how many upstreams should serve. It answers loads that double within
// seconds, while an upstream takes some to boot, and that end as quickly: it grows at once,
// and gives back slowly what it has ordered, since what an upstream keeps is lost with it.
type Level struct {
	cfg *Config
	// count is the present level, since at.
	count     float64
	begun, at time.Time
	// seen says that there was any demand.
	seen  bool
	asked peaks
}

// Next returns the level at a time.
func (l *Level) Next(now time.Time, s *Service) int {
	if l.at.IsZero() {
		// What stands was needed, as far as is known: another instance may have ordered it.
		l.count, l.begun, l.at = float64(s.standing()), now, now
		l.asked.note(now, l.count)
	}
	l.asked.note(now, l.ask(now, s))
	next := l.asked.most(now.Add(-l.cfg.HoldTime))
	if next < l.count {
		next = max(next, l.count*(1-l.cfg.ReleaseRate*now.Sub(l.at).Seconds()))
	}
	l.count, l.at = min(float64(l.most(s)), max(float64(s.least()), next)), now
	return int(math.Ceil(l.count))
}

// most returns how many upstreams there may be.
func (l *Level) most(s *Service) int { return max(s.least(), min(s.most(), l.cfg.MaxUpstreams)) }

// ask returns how many upstreams are asked for now. Without news of the demand what stands
// is held; before the first demand as much is ordered as may come.
func (l *Level) ask(now time.Time, s *Service) float64 {
	l.seen = l.seen || s.Need > 0
	switch {
	case !l.seen && now.Sub(l.begun) < l.cfg.StartTimeout:
		return max(l.count, l.cfg.StartShare*float64(l.most(s)))
	case !s.Known:
		return l.count
	}
	return s.Need / l.cfg.Utilisation
}
