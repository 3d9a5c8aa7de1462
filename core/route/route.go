// Package route is the table by which an instance forwards requests: which service
// a request goes to by host and path, what may be repeated, by when an answer is
// wanted, and which organisation a key belongs to. It does no I/O.
package route

import (
	"crypto/sha256"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests answer with a series of events. They may run at most
	// once unless the route is resumable.
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

// WeightedService is one service of a route, with its share of the requests.
type WeightedService struct {
	Service string `codec:"s"`
	Weight  int    `codec:"w"`
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string `codec:"n"`
	Host string `codec:"h"`
	// Prefix begins and ends with a slash.
	Prefix   string    `codec:"p"`
	Kind     Kind      `codec:"k"`
	Services []WeightedService `codec:"b"`
	// Timeout bounds the wait for the final answer.
	Timeout time.Duration `codec:"t"`
	// Target is the latency objective, for streams up to the first event. Gap is
	// the longest pause between two events; zero when it is not declared.
	Target time.Duration `codec:"g"`
	MaxPause    time.Duration `codec:"e"`
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int `codec:"r"`
	// MaxAttempts bounds the upstreams to which one request is sent.
	MaxAttempts int `codec:"a"`
	// Anonymous routes need no key.
	Anonymous bool `codec:"o"`
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool `codec:"u"`
	// Sticky requests name the parts of their prompts.
	Sticky bool `codec:"y"`
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine says what a service's model engines can do.
type Engine struct {
	Slots    int `codec:"s"`
	KVTokens int `codec:"k"`
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int `codec:"t"`
	// FetchPerMS is how many tokens of a prompt an engine takes over from another one in a
	// millisecond; zero means that it can't.
	FetchPerMS float64 `codec:"f,omitempty"`
}

// Service is a set of equal upstreams.
type Service struct {
	Name string `codec:"n"`
	// HealthPath answers whether an upstream considers itself healthy.
	HealthPath string `codec:"h"`
	// MaxConnections bounds the connections of all callers to one upstream.
	MaxConnections int `codec:"m"`
	// Engine is nil for plain services.
	Engine *Engine `codec:"e"`
	// Scaling is nil for services of which no upstreams can be ordered.
	Scaling *Scaling `codec:"c,omitempty"`
}

// Scaling says how many upstreams of a service may be ordered, and what they cost.
type Scaling struct {
	// Min and Max bound the upstreams in a failure domain, of both kinds together.
	Min int `codec:"m"`
	Max int `codec:"x"`
	// BootTime is how long one takes to serve after it was ordered.
	BootTime time.Duration `codec:"b"`
	// PreemptiblePrice is the price of an upstream that may be taken back, as a part of
	// that of the others; zero where there are none. Prices are those of a second of an
	// upstream, by failure domain.
	PreemptiblePrice float64            `codec:"p"`
	Prices           map[string]float64 `codec:"d"`
}

// Organisation holds keys.
type Organisation struct {
	Name     string      `codec:"n"`
	Keys     []KeyDigest `codec:"k"`
	Priority int         `codec:"p"`
}

// Limits bound what a caller may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int           `codec:"h"`
	BodyBytes     int64         `codec:"b"`
	HeaderTimeout time.Duration `codec:"t"`
	IdleTimeout   time.Duration `codec:"i"`
}

// DefaultLimits hold until there is a table, and for limits that one leaves out.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Table is one version of the whole.
type Table struct {
	// Version orders tables: the highest is in force.
	Version       uint64         `codec:"v"`
	Routes        []Route        `codec:"r"`
	Services      []Service      `codec:"s"`
	Organisations []Organisation `codec:"o"`
	Limits        Limits         `codec:"l"`
}

// Validate reports the first fault of a table, as fault.Invalid, by field.
func (t *Table) Validate() error {
	services := make(map[string]bool, len(t.Services))
	for i := range t.Services {
		if t.Services[i].Name == "" || services[t.Services[i].Name] {
			return fault.New(fault.Invalid, "services[%d]: the name %q is empty or stands twice", i, t.Services[i].Name)
		}
		services[t.Services[i].Name] = true
	}
	places := make(map[[2]string]bool, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.validate(services); err != nil {
			return err
		}
		place := [2]string{r.Host, r.Prefix}
		if places[place] {
			return fault.New(fault.Invalid, "route %q: another route has the host %q and prefix %q", r.Name, r.Host, r.Prefix)
		}
		places[place] = true
	}
	return t.validateOrganisations()
}

func (r *Route) validate(services map[string]bool) error {
	if r.Host == "" || len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fault.New(fault.Invalid, "route %q: host %q or prefix %q: a prefix begins and ends with a slash", r.Name, r.Host, r.Prefix)
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
			return fault.New(fault.Invalid, "route %q: the weight of %q is negative", r.Name, b.Service)
		}
		sum += b.Weight
	}
	if sum <= 0 {
		return fault.New(fault.Invalid, "route %q: the weights add up to zero", r.Name)
	}
	return nil
}

func (t *Table) validateOrganisations() error {
	holder := map[KeyDigest]string{}
	names := map[string]bool{}
	for i := range t.Organisations {
		o := &t.Organisations[i]
		if o.Name == "" || names[o.Name] {
			return fault.New(fault.Invalid, "organisations[%d]: the name %q is empty or stands twice", i, o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if other, taken := holder[k]; taken && other != o.Name {
				return fault.New(fault.Invalid, "organisations %q and %q share a key", other, o.Name)
			}
			holder[k] = o.Name
		}
	}
	return nil
}
