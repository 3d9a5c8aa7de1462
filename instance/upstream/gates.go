package upstream

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/backpressure"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// gates holds the gates of the upstreams that have asked for something, by name.
type gates struct {
	incarnation func(upstream string) (uint64, bool)
	mu          sync.Mutex
	byName      map[string]*gate
}

// gate belongs to one incarnation of an upstream. askedAt is when that last asked for something.
type gate struct {
	backpressure.Gate
	incarnation uint64
	askedAt     time.Time
}

const (
	// departedRetention is how long the gate of an upstream is kept that is no longer known.
	departedRetention = time.Minute
	// maxUnwanted bounds the names that Unwanted returns, as they become part of a message.
	maxUnwanted = 128
)

func newGates(incarnation func(string) (uint64, bool)) *gates {
	if incarnation == nil {
		incarnation = func(string) (uint64, bool) { return 0, true }
	}
	return &gates{incarnation: incarnation, byName: map[string]*gate{}}
}

func (g *gates) incarnationOf(name string) uint64 {
	n, _ := g.incarnation(name)
	return n
}

// apply records what the answer of an incarnation asks for.
func (g *gates) apply(name string, incarnation uint64, a backpressure.Ask, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.byName[name]
	if e == nil {
		e = &gate{incarnation: incarnation}
		g.byName[name] = e
	}
	e = g.succeed(name, e, incarnation)
	if e.incarnation > incarnation {
		a.Leaving = false
	}
	e.Apply(a, now)
	e.askedAt = now
}

// succeed returns the gate of an upstream if the given incarnation is its current one. The caller holds
// mu.
func (g *gates) succeed(name string, e *gate, incarnation uint64) *gate {
	if e.incarnation >= incarnation {
		return e
	}
	next := &gate{incarnation: incarnation, askedAt: e.askedAt}
	next.InheritPause(&e.Gate)
	g.byName[name] = next
	return next
}

// get returns the gate of the current incarnation of an upstream, or nil if that has asked for
// nothing that still holds.
func (g *gates) get(name string, now time.Time) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current(name, now)
}

// current is get for a caller that holds mu. It drops gates that are no longer needed.
func (g *gates) current(name string, now time.Time) *gate {
	e := g.byName[name]
	if e == nil {
		return nil
	}
	incarnation, known := g.incarnation(name)
	if known {
		e = g.succeed(name, e, incarnation)
	}
	departed := !known && now.Sub(e.askedAt) > departedRetention
	if e.Left(now) == 0 || departed {
		delete(g.byName, name)
		return nil
	}
	return e
}

// Unwanted returns the names of upstreams that ask for no new work, at most maxUnwanted.
func (c *Client) Unwanted() (names []string) {
	now := clock.Now()
	c.gates.mu.Lock()
	defer c.gates.mu.Unlock()
	for name := range c.gates.byName {
		if len(names) < maxUnwanted && c.gates.current(name, now) != nil {
			names = append(names, name)
		}
	}
	return names
}

// UnwantedFor returns how long an upstream wants no new work; zero if it takes some, and
// backpressure.Forever if it leaves.
func (c *Client) UnwantedFor(name string) time.Duration {
	now := clock.Now()
	if e := c.gates.get(name, now); e != nil {
		return e.Left(now)
	}
	return 0
}

// unwanted returns an error if the upstream is not trusted or asks for no such request.
func (c *Client) unwanted(t Target, o options) *AttemptError {
	if c.cfg.Trusted != nil && !c.cfg.Trusted(t.Name) {
		f := fault.New(fault.NotRun, "no rule trusts the upstream")
		return &AttemptError{Evidence: NotSent, Upstream: t.Name, Unwanted: true, fault: f}
	}
	now := clock.Now()
	e := c.gates.get(t.Name, now)
	if e == nil {
		return nil
	}
	left := e.PauseLeft(now)
	if left == 0 && o.continuation {
		return nil
	}
	f := fault.New(fault.NotRun, "the upstream asks for no requests").WithRetryAfter(left)
	return &AttemptError{Evidence: NotSent, Upstream: t.Name, Unwanted: true, fault: f}
}

// recordAsk records what an answer asks for, whichever request it belongs to.
func (a *attempt) recordAsk() {
	if a.client.cfg.IgnoreAsks {
		return
	}
	h := &a.head
	ask := backpressure.Parse(h.Status, string(h.Get(headerRetryAfter)), string(h.Get(HeaderLeaving)), time.Now())
	if tolerated, brittle := backpressure.ParseBrittle(string(h.Get(HeaderBrittle))); brittle && a.reportsNotRun() {
		ask.Pause = max(ask.Pause, backpressure.RejectionPause(tolerated, a.client.cfg.instances()))
	}
	if ask != (backpressure.Ask{}) {
		a.client.gates.apply(a.target.Name, a.incarnation, ask, clock.Now())
	}
}
