package capacity_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	settle = 8 * time.Second
	// settleAbroad is for several failure domains: instances learn of those of
	// other domains by digests of digests, every five seconds.
	settleAbroad = 45 * time.Second
	measured     = 12 * time.Second
	// catchUp lets the last change reach everyone before the logs are read.
	catchUp = 3 * time.Second
)

// Sizes of the letter.
const (
	domainDaemons   = 21
	domainUpstreams = 76
	allDomains      = 21
	allVoters       = 11
)

// BenchmarkSlopes measures series of sites of growing size and prints, for each
// role, what a daemon spends, and how that grows.
func BenchmarkSlopes(b *testing.B) {
	b.Run("daemons", func(b *testing.B) {
		series(b, "daemons of the domain", func(n int) layout {
			return layout{domains: 1, perDomain: n, voters: 3, upstreams: domainUpstreams}
		}, 6, 12, domainDaemons, 42)
	})
	b.Run("upstreams", func(b *testing.B) {
		series(b, "upstreams of the domain", func(n int) layout {
			return layout{domains: 1, perDomain: domainDaemons, voters: 3, upstreams: n}
		}, 0, 38, domainUpstreams, 152)
	})
	b.Run("domains", func(b *testing.B) {
		series(b, "failure domains", func(n int) layout {
			return layout{domains: n, perDomain: 6, voters: allVoters}
		}, 3, 7, 14, allDomains)
	})
	b.Run("organisations", func(b *testing.B) {
		series(b, "organisations at 1 change a second", func(n int) layout {
			return layout{domains: 3, perDomain: 3, voters: 3, organisations: n, changes: 1}
		}, 10, 100, 400, 1600)
	})
	b.Run("organisations-at-rest", func(b *testing.B) {
		series(b, "organisations at rest", func(n int) layout {
			return layout{domains: 3, perDomain: 3, voters: 3, organisations: n}
		}, 10, 400, 1600)
	})
	b.Run("changes", func(b *testing.B) {
		series(b, "changes a second", func(n int) layout {
			return layout{domains: 3, perDomain: 6, voters: 3, organisations: 100, changes: float64(n)}
		}, 0, 1, 2, 4)
	})
	b.Run("voters", func(b *testing.B) {
		series(b, "voters at 1 change a second", func(n int) layout {
			return layout{domains: allVoters, perDomain: 2, voters: n, organisations: 100, changes: 1}
		}, 3, 7, allVoters)
	})
	b.Run("requests", func(b *testing.B) {
		series(b, "requests a second", func(n int) layout {
			return layout{domains: 1, perDomain: 6, voters: 3, requests: float64(n)}
		}, 0, 50, 100, 200)
	})
	b.Run("large", func(b *testing.B) {
		series(b, "failure domains of 12 daemons", func(n int) layout {
			return layout{domains: n, perDomain: 12, voters: allVoters, upstreams: domainUpstreams, organisations: 100, changes: 0.1}
		}, allDomains)
	})
}

func series(b *testing.B, what string, layoutOf func(n int) layout, sizes ...int) {
	points := map[string][]sample{}
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for role, f := range measure(b, fmt.Sprintf("%d %s", n, what), layoutOf(n)) {
				points[role] = append(points[role], sample{float64(n), f})
			}
		})
	}
	for _, role := range slices.Sorted(maps.Keys(points)) {
		if p := points[role]; len(p) > 1 {
			fmt.Printf("slope of %-18s over %d points, per one of %s: %s\n", role, len(p), what, slopes(p))
		}
	}
}

// measure starts a site, lets it settle and returns what a daemon of each role
// spends.
func measure(b *testing.B, title string, l layout) map[string]figures {
	s := newSite(b, l)
	defer s.stop()
	s.start(b)
	t := newTraffic(s)
	t.start(b)
	defer t.stop()
	if l.domains > 1 {
		time.Sleep(settleAbroad)
	} else {
		time.Sleep(settle)
	}
	entry := s.daemons[len(s.daemons)-1]
	roles := s.roles(b, entry)
	x := s.read(b, true)
	served, failed := t.served.Load(), t.failed.Load()
	changes := t.change(b, entry)
	y := s.read(b, false)
	found := byRole(roles, x, y)
	fmt.Printf("\n%s: %d daemons, %d voters\n", title, len(s.daemons), l.voters)
	for _, role := range slices.Sorted(maps.Keys(found)) {
		fmt.Printf("  %-18s %s\n", role, found[role])
	}
	if n := t.served.Load() - served; n > 0 {
		fmt.Printf("  %.1f requests a second served\n", float64(n)/measured.Seconds())
	}
	if n := t.failed.Load() - failed; n > 0 {
		fmt.Printf("  %d announcements or requests failed\n", n)
	}
	changes.report(b, s)
	return found
}

// change changes the configuration for the measured time, or only waits.
func (t *traffic) change(b *testing.B, entry *daemon) *changer {
	ctx, cancel := context.WithTimeout(context.Background(), measured)
	defer cancel()
	if t.site.changes == 0 {
		<-ctx.Done()
		return nil
	}
	c := newChanger(b, entry)
	c.run(ctx, b, t.site.changes)
	return c
}

// report prints how soon the changes were in force in all daemons.
func (c *changer) report(b *testing.B, s *site) {
	if c == nil || len(c.sent) == 0 {
		return
	}
	c.running.Wait()
	time.Sleep(catchUp)
	lags := s.inForce(b, c.sent)
	fmt.Printf("  %d changes in force everywhere after the operator sent them: median %v, last %v\n", len(lags), lags[len(lags)/2], lags[len(lags)-1])
}
