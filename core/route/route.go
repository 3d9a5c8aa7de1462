// Package route defines the routing table of an instance: the service for a host and path, whether a
// request may be repeated, its time limits, and the organisation that a key belongs to. It does no
// I/O.
package route

import (
	"crypto/sha256"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Kind says whether the requests of a route may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events. They may run at most once unless the
	// route is resumable.
	Streaming
)

// String returns the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// KeyDigest is the SHA-256 digest of an organisation's key.
type KeyDigest = [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key []byte) KeyDigest { return sha256.Sum256(key) }

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string `codec:"s"`
	Weight  int    `codec:"w"`
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string `codec:"n"`
	Host string `codec:"h"`
	// Prefix begins and ends with a slash.
	Prefix   string            `codec:"p"`
	Kind     Kind              `codec:"k"`
	Services []WeightedService `codec:"b"`
	// Timeout bounds the wait for the final answer.
	Timeout time.Duration `codec:"t"`
	// Target is the latency objective, for streams up to the first event. MaxPause is the longest
	// permitted pause between two events; zero if it is not declared.
	Target   time.Duration `codec:"g"`
	MaxPause time.Duration `codec:"e"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `codec:"r"`
	// MaxAttempts bounds the number of upstreams to which one request is sent.
	MaxAttempts int `codec:"a"`
	// Anonymous routes require no key.
	Anonymous bool `codec:"o"`
	// Resumable streams may continue at another upstream after the last event.
	Resumable bool `codec:"u"`
	// Sticky requests name the parts of their prompts.
	Sticky bool `codec:"y"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine holds the capacity of a service's model engines.
type Engine struct {
	Slots    int `codec:"s"`
	KVTokens int `codec:"k"`
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int `codec:"t"`
	// FetchPerMS is the rate at which an engine fetches cached prompt tokens from another one, in
	// tokens per millisecond; zero if it cannot.
	FetchPerMS float64 `codec:"f,omitempty"`
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string `codec:"n"`
	// HealthPath is the path of the upstreams' health check.
	HealthPath string `codec:"h"`
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int `codec:"m"`
	// Engine is nil for services without model engines.
	Engine *Engine `codec:"e"`
	// Scaling is nil for services that are not scaled automatically.
	Scaling *Scaling `codec:"c,omitempty"`
	// WarmUpPerSecond is the rate at which an upstream may receive requests from all instances
	// together while it is cold; zero means no limit. WarmUpTime is how long it is cold after a start.
	WarmUpPerSecond float64       `codec:"w,omitempty"`
	WarmUpTime      time.Duration `codec:"u,omitempty"`
}

// Scaling holds the limits and prices for ordering upstreams of a service.
type Scaling struct {
	// Min and Max bound the upstreams in a failure domain, standard and preemptible together.
	Min int `codec:"m"`
	Max int `codec:"x"`
	// BootTime is the time from the order of an upstream until it serves.
	BootTime time.Duration `codec:"b"`
	// PreemptiblePrice is the price of a preemptible upstream as a fraction of that of a standard
	// one; zero if there are none. Prices holds the price of a standard upstream per second, by
	// failure domain.
	PreemptiblePrice float64            `codec:"p"`
	Prices           map[string]float64 `codec:"d"`
}

// Organisation holds the keys of an organisation and the priority of its requests, of which 0 is
// the highest.
type Organisation struct {
	Name     string      `codec:"n"`
	Keys     []KeyDigest `codec:"k"`
	Priority int         `codec:"p"`
}

// Limits bounds the size of a caller's requests, and the time that they may take or that a
// connection may stay idle.
type Limits struct {
	HeaderBytes   int           `codec:"h"`
	BodyBytes     int64         `codec:"b"`
	HeaderTimeout time.Duration `codec:"t"`
	IdleTimeout   time.Duration `codec:"i"`
}

// DefaultLimits apply until there is a table, and to limits that a table omits.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Table is one version of the routing table.
type Table struct {
	// Version orders tables: the highest is in force.
	Version       uint64         `codec:"v"`
	Routes        []Route        `codec:"r"`
	Services      []Service      `codec:"s"`
	Organisations []Organisation `codec:"o"`
	Limits        Limits         `codec:"l"`
	// Ignored names the fields whose values are invalid and without effect. It is not replicated.
	Ignored []string `codec:"-"`
}

// Validate returns the first error in the table, as fault.Invalid, naming the entry or the field.
func (t *Table) Validate() error {
	services := make(map[string]bool, len(t.Services))
	for i := range t.Services {
		if t.Services[i].Name == "" || services[t.Services[i].Name] {
			return fault.New(fault.Invalid, "services[%d]: name %q is empty or duplicated", i, t.Services[i].Name)
		}
		services[t.Services[i].Name] = true
	}
	prefixes := make(map[[2]string]bool, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		hostAndPrefix := [2]string{r.Host, r.Prefix}
		if prefixes[hostAndPrefix] {
			return fault.New(fault.Invalid, "route %q: another route has host %q and prefix %q", r.Name, r.Host, r.Prefix)
		}
		prefixes[hostAndPrefix] = true
	}
	return t.validateOrganisations()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fault.New(fault.Invalid, "route %q: host %q or prefix %q: host must not be empty, prefix must begin and end with a slash", r.Name, r.Host, r.Prefix)
	}
	if r.Kind < Idempotent || r.Kind > Streaming {
		return fault.New(fault.Invalid, "route %q: unknown kind", r.Name)
	}
	if r.Timeout <= 0 {
		return fault.New(fault.Invalid, "route %q: the timeout must be greater than zero", r.Name)
	}
	sum := 0
	for _, b := range r.Services {
		if !services[b.Service] {
			return fault.New(fault.Invalid, "route %q: unknown service %q", r.Name, b.Service)
		}
		if b.Weight < 0 {
			return fault.New(fault.Invalid, "route %q: the weight of %q must not be negative", r.Name, b.Service)
		}
		sum += b.Weight
	}
	if sum <= 0 {
		return fault.New(fault.Invalid, "route %q: the sum of the weights must be greater than zero", r.Name)
	}
	return nil
}

func (t *Table) validateOrganisations() error {
	owners := map[KeyDigest]string{}
	names := map[string]bool{}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		if o.Name == "" || names[o.Name] {
			return fault.New(fault.Invalid, "organisations[%d]: name %q is empty or duplicated", i, o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if other, taken := owners[k]; taken && other != o.Name {
				return fault.New(fault.Invalid, "organisations %q and %q share a key", other, o.Name)
			}
			owners[k] = o.Name
		}
	}
	return nil
}
