package serving

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Observation holds the recent measurements of an upstream's answers by one or several
// instances: the fields of balance.Observed as integers.
type Observation struct {
	wire.Array
	// FirstIndex identifies the incarnation, as in Load.
	FirstIndex uint64
	// Answers and Failures are in hundredths of an answer, Predicted and Took in milliseconds.
	Answers, Failures, Predicted, Took int
}

func (o *Observation) add(p *Observation) {
	o.Answers += p.Answers
	o.Failures += p.Failures
	o.Predicted += p.Predicted
	o.Took += p.Took
}

const (
	// ObservationInterval is the time between two exchanges of observations, which are sums over
	// some seconds. Sent with each load report, they raised the traffic of a member with 300
	// instances and 3,000 upstreams by half, from 1.9 to 3.0 MB a second.
	ObservationInterval = time.Second
	// maxObservedAge is how long observations count without newer ones.
	maxObservedAge = 3 * time.Second
	// minSharedAnswers is the number of answers, in hundredths, and minSharedPredicted the sum of
	// predicted times to first events, in milliseconds, from which the observations of an upstream
	// are sent to all instances. Less cannot distinguish an upstream from its peers. Answers alone
	// would tell of a slow engine only when streams end there, seconds after their first events.
	minSharedAnswers   = 300
	minSharedPredicted = 400
)

type observedReport struct {
	at   time.Time
	list []Observation
}

// observedReports holds the latest observations by sender, as in loadReports.
type observedReports struct{ watchers, members map[string]observedReport }

func newObservedReports() observedReports {
	return observedReports{watchers: map[string]observedReport{}, members: map[string]observedReport{}}
}

// significant reports whether an observation says enough to be sent to all instances.
func (o *Observation) significant() bool {
	return o.Answers >= minSharedAnswers || o.Predicted >= minSharedPredicted || o.Failures > 0
}

// sum adds up the observations of the instances that ask this member.
func (b *observedReports) sum(now time.Time) []Observation {
	total := map[uint64]*Observation{}
	addObserved(total, now, b.watchers)
	list := make([]Observation, 0, len(total))
	for _, o := range total {
		list = append(list, *o)
	}
	return list
}

// significant adds up the observations of all instances and returns the significant ones.
func (b *observedReports) significant(now time.Time) []Observation {
	total := map[uint64]*Observation{}
	addObserved(total, now, b.watchers)
	addObserved(total, now, b.members)
	list := make([]Observation, 0, len(total))
	for _, o := range total {
		if o.significant() {
			list = append(list, *o)
		}
	}
	return list
}

// addObserved adds the reports that are at most maxObservedAge old and deletes the others.
func addObserved(total map[uint64]*Observation, now time.Time, reports map[string]observedReport) {
	for name, r := range reports {
		if now.Sub(r.at) > maxObservedAge {
			delete(reports, name)
			continue
		}
		for i := range r.list {
			o := &r.list[i]
			if total[o.FirstIndex] == nil {
				total[o.FirstIndex] = &Observation{FirstIndex: o.FirstIndex}
			}
			total[o.FirstIndex].add(o)
		}
	}
}
