package gateway

import (
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/config"
)

// caller is an authenticated caller, with the view that knows its key.
type caller struct {
	key  string
	view *config.View
	org  *intent.Organisation
}

func authenticate(key string, view *config.View) (*caller, error) {
	org, err := view.Organisation(key, time.Now())
	if err != nil {
		return nil, err
	}
	return &caller{key: key, view: view, org: org}, nil
}

// checkLease fails if the caller's organisation is not served without a lease.
func (c *caller) checkLease(leased bool) error {
	if leased || c.org.ServeWhenCutOff {
		return nil
	}
	return fault.New(fault.NotRun, "this failure domain is cut off and does not serve organisation %q meanwhile", c.org.Name).WithRetryAfter(cutOffRetryAfter)
}

// cutOffRetryAfter is the retry hint for callers refused because the failure domain is cut
// off. The load balancer sends the retry to another instance, possibly in another domain.
const cutOffRetryAfter = 2 * time.Second

// permit decides whether an admitted request may still be sent. It may wait long before it is sent, or
// be sent more than once.
type permit struct {
	g *Gateway
	// admits fails if the caller may not make the request.
	admits func(*caller) error
	// last is the caller as the latest check saw it.
	last atomic.Pointer[caller]
}

// permit returns the permit of a request that was admitted.
func (g *Gateway) permit(c *caller, admits func(*caller) error) *permit {
	p := &permit{g: g, admits: admits}
	p.last.Store(c)
	return p
}

// check fails if the newest view does not allow the request. It is safe for concurrent use.
func (p *permit) check() error {
	view, leased, err := p.g.current()
	if err != nil {
		return err
	}
	c := p.last.Load()
	if view != c.view {
		if c, err = p.readmit(c, view); err != nil {
			return err
		}
	}
	return c.checkLease(leased)
}

// readmit admits the request anew by a view that came into force since.
func (p *permit) readmit(last *caller, view *config.View) (*caller, error) {
	c, err := authenticate(last.key, view)
	switch {
	case err != nil:
		return nil, err
	case c.org.Name != last.org.Name:
		return nil, fault.New(fault.Unauthenticated, "the API key now belongs to another organisation")
	}
	if err := p.admits(c); err != nil {
		return nil, err
	}
	p.last.Store(c)
	return c, nil
}
