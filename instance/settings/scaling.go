package settings

import (
	"io"
	"time"

	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// scalingSection is the only section of a scaling file.
const scalingSection = "scaling"

// Scaling configures how upstreams are ordered from a provider. It has its own file, because it
// is the same for all members of the control group. See scale.Config for the fields.
type Scaling struct {
	// Utilisation is the share of the upstreams that the demand, observed over HoldTime, may require.
	Utilisation float64 `ini:"utilisation" default:"0.5" allow:"0.05..1"`
	// StartShare is the share of MaxUpstreams that is ordered until demand is first seen, for at
	// most StartTimeout.
	StartShare   float64       `ini:"start" default:"1" allow:"0.05..1"`
	StartTimeout time.Duration `ini:"start_for" default:"10m" allow:"1s..24h"`
	// HoldTime is how long upstreams are kept after they were last needed, ReleaseRate the share of
	// them that may be removed per second afterwards.
	HoldTime    time.Duration `ini:"hold" default:"30s" allow:"1s..24h"`
	ReleaseRate float64       `ini:"pace" default:"0.02" allow:"0.0001..1"`
	// MinStandard is the number of standard upstreams that each failure domain keeps.
	MinStandard int `ini:"base" default:"1" allow:"1..10000"`
	// MaxUpstreams limits the upstreams of a service. MaxPending limits those ordered at a time in
	// excess of the serving ones; a tenth of the serving ones is permitted if that is more.
	MaxUpstreams int `ini:"most" default:"4000" allow:"1..1000000"`
	MaxPending   int `ini:"coming" default:"240" allow:"1..1000000"`
	// MaxUtilisation is the share of the upstreams that the demand may require while preemptible
	// ones are reclaimed; above it, standard ones are ordered.
	MaxUtilisation float64 `ini:"bearable" default:"1" allow:"0.1..2"`
	// DryRun logs the orders without placing them.
	DryRun bool `ini:"dry_run" default:"false"`
}

// LoadScaling reads and checks a scaling file. All faults are returned at once, as an
// *inifile.FaultsError.
func LoadScaling(name string) (*Scaling, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	out := &Scaling{}
	f.Decode(scalingSection, out)
	return out, f.Err()
}

// Plan returns the configuration of the scaling decision.
func (s *Scaling) Plan() scale.Config {
	return scale.Config{
		Utilisation: s.Utilisation, StartShare: s.StartShare, StartTimeout: s.StartTimeout, HoldTime: s.HoldTime, ReleaseRate: s.ReleaseRate, MinStandard: s.MinStandard, MaxUtilisation: s.MaxUtilisation, MaxUpstreams: s.MaxUpstreams, MaxPending: s.MaxPending,
	}
}

// DescribeScaling writes all keys with their defaults and allowed values.
func DescribeScaling(w io.Writer) { inifile.Describe(w, scalingSection, Scaling{}) }
