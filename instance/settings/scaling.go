package settings

import (
	"io"
	"time"

	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// scalingSection is the only section of a file of Scaling.
const scalingSection = "scaling"

// Scaling says how upstreams are ordered where a provider takes orders of them. It has a file
// of its own, since it is the same for all members of the control group.
type Scaling struct {
	// Utilisation is the part of the upstreams that the demand may need, as seen over Hold.
	Utilisation float64 `ini:"utilisation" default:"0.5" allow:"0.05..1"`
	// Start is the part of the most upstreams that is ordered until the first demand was
	// seen, for StartFor at most.
	Start    float64       `ini:"start" default:"1" allow:"0.05..1"`
	StartFor time.Duration `ini:"start_for" default:"10m" allow:"1s..24h"`
	// Hold is for how long upstreams stay that were needed; after that the part Pace of them
	// may go in a second.
	Hold time.Duration `ini:"hold" default:"30s" allow:"1s..24h"`
	Pace float64       `ini:"pace" default:"0.02" allow:"0.0001..1"`
	// Base is how many standard upstreams each failure domain keeps.
	Base int `ini:"base" default:"1" allow:"1..10000"`
	// Most is how many upstreams of a service there may be, Coming how many more than serve
	// may be ordered at a time, or a tenth of them if that is more.
	Most   int `ini:"most" default:"4000" allow:"1..1000000"`
	Coming int `ini:"coming" default:"240" allow:"1..1000000"`
	// Bearable is the part of the upstreams that the demand may need while preemptible ones
	// are taken back; beyond it standard ones are ordered.
	Bearable float64 `ini:"bearable" default:"1" allow:"0.1..2"`
	// DryRun logs what would be ordered, and orders nothing.
	DryRun bool `ini:"dry_run" default:"false"`
}

// LoadScaling reads and checks a file. The failure is an *inifile.FaultsError with all faults.
func LoadScaling(name string) (*Scaling, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	out := &Scaling{}
	f.Decode(scalingSection, out)
	return out, f.Err()
}

// Plan returns the settings of the decision.
func (s *Scaling) Plan() scale.Config {
	return scale.Config{
		Utilisation: s.Utilisation, StartShare: s.Start, StartTimeout: s.StartFor, HoldTime: s.Hold, ReleaseRate: s.Pace, MinStandard: s.Base, MaxUtilisation: s.Bearable, MaxUpstreams: s.Most, MaxPending: s.Coming,
	}
}

// DescribeScaling writes all keys with their defaults and what is allowed.
func DescribeScaling(w io.Writer) { inifile.Describe(w, scalingSection, Scaling{}) }
