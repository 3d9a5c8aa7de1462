// Package fairshare divides a capacity that does not suffice among organisations by max-min fairness: each
// gets what it asks for up to a level that is the same for all, and what small ones leave unused is lent
// to the others. It does no I/O.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MinShare is the admitted share of an organisation, against that of all, which it gets whatever it
	// asks for.
	MinShare = 0.25
	// minListedShare is the share of the demand from which an organisation is reported to the others.
	// Smaller ones are below any level that binds, unless there are hundreds of them.
	minListedShare = 0.005
	// maxRemoteAge is how long the demand that others reported is used, and refreshInterval how long a
	// level is. Computing it takes 16 microseconds with 100 organisations and 205 with 1,000; an instance
	// counts those that asked it within some ten time constants, and the largest of the others.
	maxRemoteAge    = 1500 * time.Millisecond
	refreshInterval = 20 * time.Millisecond
	// minScale is the weight of old work at which counters are rescaled and negligible ones dropped.
	minScale   = 1e-4
	negligible = 1e-2
)

// Level returns the most that any organisation gets of a capacity; infinite if there is enough for all.
func Level(capacity float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		each := capacity / float64(len(demands)-i)
		if d > each {
			return max(0, each)
		}
		capacity -= d
	}
	return math.Inf(1)
}

// Demand is the recent work that organisations asked for.
type Demand map[string]float64

// Smaller is the name under which a report sums up the demand of the organisations that it does not list. An
// organisation of that name would be counted among them.
const Smaller = "\x00smaller"

// Shares decides which share of the requests of an organisation is admitted on one route. It counts the
// demand at this instance and adds what the others report. It is not safe for concurrent use.
type Shares struct {
	// local holds the work by organisation, divided by scale, which shrinks as the work decays.
	local Demand
	scale float64
	// remote is the demand of the largest organisations at the other instances, as of remoteAt.
	remote   Demand
	remoteAt time.Time
	// level, scaled and multiple are the results of the latest refresh at refreshedAt: the level, the factor
	// by which the local demand is scaled up to that of all instances, and whether there are several
	// organisations.
	level, scaled float64
	multiple      bool
	refreshedAt   time.Time
}

// New returns shares without any demand.
func New() *Shares { return &Shares{local: Demand{}, scale: 1} }

// Decay reduces the weight of the work so far by a factor.
func (s *Shares) Decay(factor float64) {
	s.scale *= factor
	if s.scale > minScale {
		return
	}
	for name, work := range s.local {
		if work *= s.scale; work < negligible {
			delete(s.local, name)
		} else {
			s.local[name] = work
		}
	}
	s.scale = 1
}

// Add counts work that an organisation asks for, whether or not it is admitted.
func (s *Shares) Add(organisation string, work float64) { s.local[organisation] += work / s.scale }

// Largest returns the local demand of up to n organisations that may be limited, for the other instances, and the
// sum of the rest under Smaller.
func (s *Shares) Largest(n int) Demand {
	total := 0.0
	for _, work := range s.local {
		total += work
	}
	names := make([]string, 0, len(s.local))
	for name, work := range s.local {
		if work >= minListedShare*total {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(s.local[b], s.local[a]) })
	out, rest := Demand{}, total
	for _, name := range names[:min(n, len(names))] {
		out[name] = s.local[name] * s.scale
		rest -= s.local[name]
	}
	if rest *= s.scale; rest > minListedShare*total*s.scale {
		out[Smaller] = rest
	}
	return out
}

// SetRemote sets the demand that all other instances reported.
func (s *Shares) SetRemote(now time.Time, d Demand) { s.remote, s.remoteAt = d, now }

// Admitted returns the admitted share of a request of an organisation, whose work was added before. total is the
// demand of all instances, and admitted the share of it for which there is capacity. The request is judged by
// what its organisation asked for besides: its own work, which may be many times the mean, would make a large
// request less likely to be admitted, and leave a part of the capacity unused.
func (s *Shares) Admitted(now time.Time, organisation string, work, total, admitted float64) float64 {
	if admitted >= 1 {
		return 1
	}
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now, total, admitted)
	}
	if !s.multiple {
		return admitted
	}
	demand := s.scaled * (max(0, s.local[organisation]*s.scale-work) + s.remoteOf(now)[organisation])
	if demand <= s.level {
		return 1
	}
	return max(MinShare*admitted, s.level/demand)
}

// remoteOf returns the reported demand unless it is old.
func (s *Shares) remoteOf(now time.Time) Demand {
	if now.Sub(s.remoteAt) > maxRemoteAge {
		return nil
	}
	return s.remote
}

// refresh computes the level. Demand that is not reported by organisation, as that of instances that see no shortage
// or of an older build, is taken to be divided as the known demand is. Were it one more organisation, or were it
// none, capacity would be left unused or admitted twice.
func (s *Shares) refresh(now time.Time, total, admitted float64) {
	s.refreshedAt, s.scaled = now, 1
	known := maps.Clone(s.remoteOf(now))
	if known == nil {
		known = Demand{}
	}
	for name, work := range s.local {
		known[name] += work * s.scale
	}
	sum := 0.0
	for _, work := range known {
		sum += work
	}
	if sum > 0 {
		// Reports may exceed the present total, as they are of demand a moment ago.
		s.scaled = max(1, total/sum)
	}
	// Organisations that are not listed ask for less than any level that binds, and get it.
	smaller := s.scaled * known[Smaller]
	delete(known, Smaller)
	demands := make([]float64, 0, len(known))
	for _, work := range known {
		demands = append(demands, s.scaled*work)
	}
	s.multiple = len(demands) > 1 || smaller > 0
	s.level = Level(max(0, admitted*total-smaller), demands)
}
