// Package roles assembles the services of a process for a deployment that runs instances
// in two roles: diskless instances that forward callers' requests, and instances that hold
// the control state. The names, formats and calls of the deployment are passed in as functions.
package roles

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/relay"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Config configures a process.
type Config struct {
	// Instance is the instance's name in logs, Domain its failure domain, IP its address.
	Instance, Domain, IP string
	// Peer is the "ip:port" of the peer listener and the name by which other instances know
	// this one. Seeds lists the peer addresses of members of the control group.
	Peer  string
	Seeds []string
	// Callers and Ready are the "ip:port" of the listeners of an instance that forwards,
	// Control that of an instance that holds the control state.
	Callers, Ready, Control string
	// Metrics is the "ip:port" of the metrics listener; empty for none.
	Metrics string
	// Bootstrap lets the seeds found the control group.
	Bootstrap bool
	// Faults is the number of members of the control group that may be lost at the same time;
	// zero means one.
	Faults     int
	DataFolder string
	// FailClosed rejects requests with a key once the last contact with the control group is
	// longer ago than Lease.
	FailClosed bool
	Lease      time.Duration
	// Silence is the time without a heartbeat after which an upstream counts as silent.
	Silence time.Duration
	// Announce is how long a draining instance continues as before, see relay.Config; Grace
	// limits the whole stop.
	Announce, Grace time.Duration
	// CallsLag is the maximum age of the list by which callers of Control choose an instance.
	CallsLag time.Duration
	Budget   relay.Budget
	// WarmUp bounds the requests to cold upstreams.
	WarmUp WarmUp
	// SlotGrants makes an instance with few slots of its own ask the control group for slots of plain services.
	SlotGrants bool
	// ShedOverload makes an instance with too little CPU time leave new connections unread, as in relay.Config.
	ShedOverload bool
	MemoryMB     int
	// EventBytes bounds one event of a stream, as in relay.Config.
	EventBytes int
	// Dial opens connections to upstreams, as in relay.Config; nil selects the default.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Duties are calls that only one instance at a time makes; nil for none.
	Duties *Duties
}

// WarmUp bounds the requests that a cold upstream receives in a second, see warmup.Bound.
type WarmUp struct{ Overrun, Slack float64 }

// Duties configures the calls to a provider that only one instance at a time makes.
type Duties struct {
	// Provider is the "ip:port" of the provider.
	Provider string
	// Usage and Scale are nil if that duty is not configured; Unknown lists the names of duties
	// that this version does not know.
	Usage   *duty.Usage
	Scale   *duty.Scale
	Unknown []string
	// Lease and PerSecond are as in duty.Config.
	Lease     time.Duration
	PerSecond float64
}

// span returns the length of a usage report's window, or zero if usage is not reported.
func (d *Duties) span() time.Duration {
	if d == nil || d.Usage == nil {
		return 0
	}
	return d.Usage.Span
}

// minEventBytes is the smallest limit of an event: many engines send some hundred bytes with each token.
const minEventBytes = 1024

// Validate returns the first error in the configuration, as fault.Invalid.
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
	case c.EventBytes != 0 && c.EventBytes < minEventBytes:
		return fault.New(fault.Invalid, "settings: the largest event must have %d bytes or more", minEventBytes)
	case c.FailClosed && c.Lease <= 0:
		return fault.New(fault.Invalid, "settings: the time until a removed key is refused must be greater than zero")
	}
	return nil
}

// Serving is the interface of the control state to which the deployment's calls are translated.
type Serving interface {
	Put(ctx context.Context, t *route.Table, source []byte) error
	Newest(ctx context.Context) (version uint64, source []byte, err error)
	Announce(ctx context.Context, u serving.Upstream) error
	Leave(ctx context.Context, id string, born int64) error
}

// Dialect holds the headers, handlers and formats of the deployment.
type Dialect struct {
	Headers relay.Headers
	// Control handles the calls of operators and upstreams, Ready the readiness check, which
	// reports whether callers may be sent to this instance.
	Control func(Serving) fasthttp.RequestHandler
	Ready   func(func() bool) fasthttp.RequestHandler
	// Provider returns a client of the provider at an address.
	Provider func(address string, client *upstream.Client) duty.Provider
	// Reload reads the settings again.
	Reload func() (*Config, error)
}
