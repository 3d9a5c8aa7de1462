// Package scale decides how many upstreams of a service are ordered in each failure domain,
// and of which kind: standard ones, or preemptible ones, which cost a part of the price and
// may be taken back, all of a domain at once. It does no I/O; time is passed in.
//
// Three steps, each by itself: Level turns the demand into how many upstreams should serve;
// spread lays them out over domains and kinds, at the least price that stands the loss of a
// domain's preemptible ones; Planner remembers between two looks what can be had where.
package scale

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/defaults"
)

// Counts are upstreams by kind.
type Counts struct{ Standard, Preemptible int }

// Total returns those of both kinds.
func (c Counts) Total() int { return c.Standard + c.Preemptible }

// Domain is what is known of a service in one failure domain.
type Domain struct {
	Name string
	// Price is that of a standard upstream.
	Price float64
	// Ready upstreams serve, Leaving ones drain.
	Ready, Leaving Counts
}

// Service is what is known of one service.
type Service struct {
	Name string
	// Min and Max bound the upstreams in a domain, of both kinds together.
	Min, Max int
	// BootTime is how long an upstream takes to serve after it was ordered.
	BootTime time.Duration
	// PreemptiblePrice is the price of a preemptible upstream as a part of that of a
	// standard one; zero where there are none.
	PreemptiblePrice float64
	// Domains are sorted by name.
	Domains []Domain
	// Need is how many upstreams the present demand keeps as busy as they may be. It is not
	// Known while no instance tells what it sees.
	Need  float64
	Known bool
}

// standing returns how many upstreams serve.
func (s *Service) standing() (n int) {
	for i := range s.Domains {
		n += s.Domains[i].Ready.Total()
	}
	return n
}

// most returns how many upstreams there may be.
func (s *Service) most() int { return s.Max * len(s.Domains) }

// least returns how many upstreams there must be.
func (s *Service) least() int { return s.Min * len(s.Domains) }

// Target is how many upstreams there should be in a domain.
type Target struct {
	Domain string
	Counts
}

// Config are an operator's settings. Zero values take the defaults.
type Config struct {
	// Utilisation is the part of the upstreams that the demand may need.
	Utilisation float64
	// StartShare is the part of the most upstreams that is ordered until the first demand was
	// seen, for StartFor at most.
	StartShare    float64
	StartTimeout time.Duration
	// HoldTime is for how long upstreams stay that were needed, and Pace which part of them may
	// go in a second after that.
	HoldTime time.Duration
	ReleaseRate float64
	// MinStandard is how many standard upstreams each domain keeps.
	MinStandard int
	// MaxUpstreams is how many upstreams of a service there may be, and MaxPending how many more than
	// serve may be ordered at a time, or a tenth of them if that is more. Each upstream reports
	// to the control group, and each that comes or goes is told to all instances: beyond that
	// members fall behind, instances lose touch, and nobody is served for want of upstreams.
	MaxUpstreams, MaxPending int
	// MaxUtilisation is the part of the upstreams that the demand may need for the seconds in
	// which preemptible ones are taken back: beyond it, standard ones are ordered.
	MaxUtilisation float64
}

// Defaults of a Config.
const (
	DefaultUtilisation = 0.5
	DefaultStartShare       = 1
	DefaultStartTimeout    = 10 * time.Minute
	DefaultHoldTime        = 30 * time.Second
	DefaultReleaseRate        = 0.02
	DefaultMinStandard        = 1
	DefaultMaxUtilisation    = 1
	DefaultMaxUpstreams        = 4000
	DefaultMaxPending      = 240
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
