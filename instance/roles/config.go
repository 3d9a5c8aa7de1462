// Package roles puts the services of a process together for a deployment that runs
// the product in two roles: instances that forward callers' requests, without a
// disk, and instances that hold the control state. Names, formats and calls towards
// the deployment come from outside, as functions.
package roles

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Config of a process.
type Config struct {
	// Instance is the name in logs, Domain the failure domain, IP the address.
	Instance, Domain, IP string
	// Peer is the "ip:port" of the peer listener, which is also the name by which
	// other instances know this one; Seeds are those of members of the control group.
	Peer  string
	Seeds []string
	// Callers and Ready are listeners of an instance that forwards, Control that of
	// one that holds the control state.
	Callers, Ready, Control string
	// Metrics is the "ip:port" of the metrics; empty for none.
	Metrics string
	// Bootstrap lets the seeds found the control group.
	Bootstrap  bool
	DataFolder string
	// FailClosed refuses requests with a key Lease after the last contact with the
	// control group.
	FailClosed bool
	Lease      time.Duration
	// Silence is after what time without a heartbeat an upstream counts as silent.
	Silence time.Duration
	// Announce and Grace bound a stop; see relay.Config.
	Announce, Grace time.Duration
	// CallsLag is how old the list of instances may be by which callers of Control choose.
	CallsLag time.Duration
	Budget   relay.Budget
	MemoryMB int
	// Duties are calls that one instance at a time makes; nil for none.
	Duties *Duties
}

// Duties says which calls are to be made to a provider by one instance at a time.
type Duties struct {
	// Provider is its "ip:port".
	Provider string
	// Usage and Scale are nil where there is no such duty; Unknown lists others.
	Usage   *duty.Usage
	Scale   *duty.Scale
	Unknown []string
	// Lease and PerSecond are as in duty.Config.
	Lease     time.Duration
	PerSecond float64
}

// span returns the span of usage reports, zero for none.
func (d *Duties) span() time.Duration {
	if d == nil || d.Usage == nil {
		return 0
	}
	return d.Usage.Span
}

// Validate reports the first fault, as fault.Invalid.
func (c *Config) Validate() error {
	switch {
	case c.Callers == "" && c.Control == "":
		return fault.New(fault.Invalid, "settings: the process serves neither callers nor control")
	case c.Callers != "" && c.Control != "":
		return fault.New(fault.Invalid, "settings: one process serves callers or control, not both")
	case c.Control != "" && c.DataFolder == "":
		return fault.New(fault.Invalid, "settings: an instance that holds the control state needs a data folder")
	case len(c.Seeds) == 0:
		return fault.New(fault.Invalid, "settings: at least one seed is needed")
	case c.Grace <= 0:
		return fault.New(fault.Invalid, "settings: the time for a stop must be greater than zero")
	case c.FailClosed && c.Lease <= 0:
		return fault.New(fault.Invalid, "settings: the time until a removed key is refused must be greater than zero")
	}
	return nil
}

// Serving is what the deployment's calls are translated to.
type Serving interface {
	Put(ctx context.Context, t *route.Table, source []byte) error
	Newest(ctx context.Context) (version uint64, source []byte, err error)
	Announce(ctx context.Context, u serving.Upstream) error
	Leave(ctx context.Context, id string, born int64) error
}

// Dialect is how the deployment speaks.
type Dialect struct {
	Headers relay.Headers
	// Control handles the calls of operators and upstreams, Ready the question
	// whether callers may be sent here.
	Control func(Serving) fasthttp.RequestHandler
	Ready   func(func() bool) fasthttp.RequestHandler
	// Provider speaks to the provider at an address.
	Provider func(address string, client *upstream.Client) duty.Provider
	// Reload reads the settings again.
	Reload func() (*Config, error)
}
