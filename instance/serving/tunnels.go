package serving

import (
	"sync"
	"time"
)

const (
	// tunnelRetention is how long an instance counts as serving tunnels after its last request.
	tunnelRetention = 3 * time.Second
	// tunnelSample is how many instances a member names to another one or to an instance, whatever
	// their number.
	tunnelSample = 6
	// tunnelInterval is the time between two digests that name them, and learnedRetention how long
	// they count: two may be lost.
	tunnelInterval   = 5 * time.Second
	learnedRetention = 3 * tunnelInterval
)

// tunnelServers holds the instances through which others can reach upstreams.
type tunnelServers struct {
	mu sync.Mutex
	// own maps instances that follow this member to the time of their last request, and learned
	// holds those that other members named.
	own         map[string]time.Time
	learned     map[string]namedServers
	announcedAt time.Time
}

type namedServers struct {
	names []string
	at    time.Time
}

func newTunnelServers() tunnelServers {
	return tunnelServers{own: map[string]time.Time{}, learned: map[string]namedServers{}}
}

// record notes whether an instance serves tunnels.
func (t *tunnelServers) record(name string, now time.Time, serves bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !serves {
		delete(t.own, name)
		return
	}
	t.own[name] = now
}

// announce returns some of the own instances for the other members, if that is due.
func (t *tunnelServers) announce(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.announcedAt) < tunnelInterval {
		return nil
	}
	list := t.sample(nil, "", now, tunnelSample)
	if len(list) > 0 {
		t.announcedAt = now
	}
	return list
}

// learn records the instances that another member named.
func (t *tunnelServers) learn(member string, now time.Time, names []string) {
	if len(names) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned[member] = namedServers{names[:min(len(names), tunnelSample)], now}
}

// peers returns instances other than the asking one, half of them from other members if there are
// enough: instances of one failure domain follow the same member and may be cut off together.
func (t *tunnelServers) peers(asking string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for member, l := range t.learned {
		if now.Sub(l.at) > learnedRetention {
			delete(t.learned, member)
			continue
		}
		for _, name := range l.names {
			if _, follows := t.own[name]; !follows && name != asking && len(list) < tunnelSample {
				list = append(list, name)
			}
		}
	}
	own := max(tunnelSample/2, tunnelSample-len(list))
	return t.sample(list[:min(len(list), tunnelSample-tunnelSample/2)], asking, now, own)
}

// sample appends up to n of the own instances. The order of a map differs each time. The caller holds
// mu.
func (t *tunnelServers) sample(list []string, asking string, now time.Time, n int) []string {
	for name, at := range t.own {
		switch {
		case now.Sub(at) > tunnelRetention:
			delete(t.own, name)
		case n > 0 && name != asking:
			list = append(list, name)
			n--
		case n == 0:
			return list
		}
	}
	return list
}
