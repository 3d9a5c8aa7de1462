package relay

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// When a failure domain is cut off, each of its upstreams would have to fail once at
// each instance before it is left alone, and each failure takes a connect's timeout
// or a request whose outcome is unknown. So what several upstreams of one domain show
// is taken to hold for all of it.

const (
	// domainFailures is how many different upstreams of another domain must have
	// failed, with none reached in between, for the domain to be suspect.
	domainFailures = 2
	// domainSuspect is for how long it is then left alone before it is tried again.
	domainSuspect = 1500 * time.Millisecond
	// domainMemory is for how long a failure counts.
	domainMemory = 3 * time.Second
)

// domainState is what this instance knows of the way to one failure domain.
type domainState struct {
	// failed holds when upstreams could not be reached since one was.
	failed map[string]time.Time
	until  time.Time
}

// domains holds the states by name. It needs the fleet's mutex.
type domains map[string]*domainState

// showsCut reports whether a failed connect may come from a cut of the upstream's failure
// domain. A refused one does not: the host answered, only the process is gone. When a
// quarter of 78 engines crashed at once, each instance met two of them in every domain and
// then left all engines of the other domains alone, 1,427 times in 40 s.
func showsCut(err error) bool { return !errors.Is(err, syscall.ECONNREFUSED) }

// unreachable notes that an upstream could not be reached, and reports whether its
// domain has become suspect by it.
func (d domains) unreachable(now time.Time, domain, upstream string) bool {
	s := d[domain]
	if s == nil {
		s = &domainState{failed: map[string]time.Time{}}
		d[domain] = s
	}
	for id, at := range s.failed {
		if now.Sub(at) > domainMemory {
			delete(s.failed, id)
		}
	}
	s.failed[upstream] = now
	if len(s.failed) < domainFailures {
		return false
	}
	fresh := now.After(s.until)
	s.until = now.Add(domainSuspect)
	return fresh
}

// reached notes that an upstream answered.
func (d domains) reached(domain string) {
	if s := d[domain]; s != nil {
		delete(d, domain)
	}
}

// suspect reports whether a domain is left alone for now.
func (d domains) suspect(now time.Time, domain string) bool {
	s := d[domain]
	return s != nil && now.Before(s.until)
}
