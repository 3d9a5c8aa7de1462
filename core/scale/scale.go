// Package scale decides how many upstreams of a service are ordered in each failure domain, and of
// which kind: standard ones, or preemptible ones, which cost a fraction of the price but may be
// reclaimed, all of a domain at once. It does no I/O; time is passed in.
//
// The decision has three independent parts. LevelController derives from the demand how many
// upstreams should serve. allocate distributes them over domains and kinds at the lowest price that
// tolerates the loss of a domain's preemptible ones. Planner keeps between two calls what each domain
// has available.
package scale

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/defaults"
)

// Counts is a number of upstreams by kind.
type Counts struct{ Standard, Preemptible int }

// Total returns the number of both kinds.
func (c Counts) Total() int { return c.Standard + c.Preemptible }

// Domain is the state of a service in one failure domain.
type Domain struct {
	Name string
	// Price is the price of a standard upstream.
	Price float64
	// Ready upstreams serve, Leaving ones drain.
	Ready, Leaving Counts
}

// Service is the state of one service.
type Service struct {
	Name string
	// Min and Max bound the upstreams in a domain, of both kinds together.
	Min, Max int
	// BootTime is the time from the order of an upstream until it serves.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible upstream as a fraction of that of a standard
	// one; zero if there are none.
	PreemptiblePrice float64
	// Domains are sorted by name.
	Domains []Domain
	// Need is the number of upstreams that the current demand requires at their highest permitted
	// utilisation. Known is false while no instance reports demand.
	Need  float64
	Known bool
}

// ready returns how many upstreams serve.
func (s *Service) ready() (n int) {
	for i := range s.Domains {
		n += s.Domains[i].Ready.Total()
	}
	return n
}

// maxTotal returns the highest number of upstreams.
func (s *Service) maxTotal() int { return s.Max * len(s.Domains) }

// minTotal returns the lowest number of upstreams.
func (s *Service) minTotal() int { return s.Min * len(s.Domains) }

// Target is the planned number of upstreams in a domain.
type Target struct {
	Domain string
	Counts
}

// Config holds the operator's settings. Zero values take the defaults.
type Config struct {
	// Utilisation is the target share of the upstreams that the demand requires.
	Utilisation float64
	// StartShare is the share of the maximum that is ordered until demand is first seen, for at most
	// StartTimeout.
	StartShare   float64
	StartTimeout time.Duration
	// HoldTime is how long upstreams are kept after they were last needed, and ReleaseRate the share
	// of them that may be removed per second afterwards.
	HoldTime    time.Duration
	ReleaseRate float64
	// MinStandard is the number of standard upstreams that each domain keeps.
	MinStandard int
	// MaxUpstreams bounds the upstreams of a service. MaxPending bounds those ordered at a time in
	// excess of the serving ones; a tenth of the serving ones is permitted if that is more. Each
	// upstream reports to the control group, and each change is announced to all instances: beyond
	// these bounds the members fall behind, instances lose contact, and requests fail for lack of
	// upstreams.
	MaxUpstreams, MaxPending int
	// MaxUtilisation is the share of the upstreams that the demand may require during the seconds in
	// which preemptible ones are reclaimed; above it, standard ones are ordered.
	MaxUtilisation float64
}

// Defaults of a Config.
const (
	DefaultUtilisation    = 0.5
	DefaultStartShare     = 1
	DefaultStartTimeout   = 10 * time.Minute
	DefaultHoldTime       = 30 * time.Second
	DefaultReleaseRate    = 0.02
	DefaultMinStandard    = 1
	DefaultMaxUtilisation = 1
	DefaultMaxUpstreams   = 4000
	DefaultMaxPending     = 240
)

func (c *Config) fill() {
	defaults.Set(&c.Utilisation, DefaultUtilisation)
	defaults.Set(&c.StartShare, DefaultStartShare)
	defaults.Set(&c.StartTimeout, DefaultStartTimeout)
	defaults.Set(&c.HoldTime, DefaultHoldTime)
	defaults.Set(&c.ReleaseRate, DefaultReleaseRate)
	defaults.Set(&c.MinStandard, DefaultMinStandard)
	defaults.Set(&c.MaxUtilisation, DefaultMaxUtilisation)
	defaults.Set(&c.MaxUpstreams, DefaultMaxUpstreams)
	defaults.Set(&c.MaxPending, DefaultMaxPending)
}
