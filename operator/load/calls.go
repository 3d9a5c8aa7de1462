package load

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

// Calls is a section [calls.SERVICE]: calls of a plain service that must not
// run twice.
type Calls struct {
	Service string `ini:"-"`
	// Rate is the mean calls a second, outside of bursts.
	Rate      float64  `ini:"rate" allow:"required 0..1000000"`
	BurstText []string `ini:"bursts"`
	Path      string   `ini:"path" default:"/bookings"`
	// Doubled is the share of calls, in [0,1], that are sent twice at the same
	// time, as by a client that lost patience.
	Doubled float64 `ini:"doubled" default:"0" allow:"0..1"`
	// Timeout is how long a caller waits for one answer, and Resends how often
	// it asks again under the same key when it did not learn the outcome.
	Timeout time.Duration `ini:"timeout" default:"10s" allow:"10ms..1h"`
	Resends int           `ini:"resends" default:"3" allow:"0..100"`

	Bursts []Burst `ini:"-"`
}

// Call is one call with a key of its own.
type Call struct {
	At       time.Duration
	Service  string
	Path     string
	Key      string
	APIKey   string
	Doubled  bool
	Timeout  time.Duration
	Resends  int
	Sequence int
}

// CallVerdict is what a caller was told of its call in the end.
type CallVerdict string

// The verdicts of calls.
const (
	CallDone     CallVerdict = "done"
	CallNotRun   CallVerdict = "not_run"
	CallUnknown  CallVerdict = "unknown"
	CallRejected CallVerdict = "rejected"
)

// CallOutcome is what one caller saw.
type CallOutcome struct {
	Verdict CallVerdict
	Detail  string
	Total   time.Duration
	// Sent is how many requests the call took.
	Sent int
}

// CallSystem is a System that routes calls to plain services as well.
type CallSystem interface {
	Call(ctx context.Context, c *Call, arrived time.Time) CallOutcome
}

// CallRecord is a call with its outcome.
type CallRecord struct {
	Call    *Call
	Outcome CallOutcome
}

// CallReport sums up the calls of one policy, over all seeds. The last three
// figures are counted in the services' own books and must be zero.
type CallReport struct {
	Service  string              `json:"service"`
	Calls    int                 `json:"calls"`
	Verdicts map[CallVerdict]int `json:"verdicts"`
	// RunTwice counts keys with more than one effect.
	RunTwice int `json:"run_twice"`
	// FalseNotRun counts calls that were called not run and had an effect.
	FalseNotRun int `json:"false_not_run"`
	// FalseDone counts calls that were called done and had none.
	FalseDone int `json:"false_done"`
}

// CallWorkload returns the calls of one seed in order of arrival.
func CallWorkload(x *Experiment, seed uint64) []*Call {
	var all []*Call
	for i := range x.Calls {
		all = append(all, x.Calls[i].calls(x, seed)...)
	}
	slices.SortStableFunc(all, func(a, b *Call) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (c *Calls) calls(x *Experiment, seed uint64) []*Call {
	rnd := rand.New(rand.NewPCG(seed, uint64(len(c.Service))<<32))
	var users []string
	for _, o := range x.Intent.Organisations {
		if slices.Contains(o.Services, c.Service) {
			users = append(users, o.Name)
		}
	}
	t := Traffic{Rate: c.Rate, Bursts: c.Bursts}
	var out []*Call
	end := x.Settings.Duration
	for at := t.next(rnd, 0, end); at < end; at = t.next(rnd, at, end) {
		call := &Call{At: at, Service: c.Service, Path: c.Path, Timeout: c.Timeout, Resends: c.Resends, Sequence: len(out) + 1}
		call.Key = c.Service + "-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(call.Sequence)
		call.APIKey = x.Key(users[rnd.IntN(len(users))])
		call.Doubled = rnd.Float64() < c.Doubled
		out = append(out, call)
	}
	return out
}

func (p *parser) calls(c *Calls) {
	section := "calls." + c.Service
	c.Bursts = p.bursts(section, c.BurstText)
	if p.x.Intent == nil {
		return
	}
	for _, o := range p.x.Intent.Organisations {
		if slices.Contains(o.Services, c.Service) {
			return
		}
	}
	p.file.AddFault(section, "", c.Service, "no organisation of the intent may call this service")
}

// addCalls counts the calls of one run by what the service's book says.
func (p *PolicyReport) addCalls(r *Result) {
	for _, rec := range r.Calls {
		if rec.Call == nil {
			continue
		}
		rep := p.callReport(rec.Call.Service)
		rep.Calls++
		rep.Verdicts[rec.Outcome.Verdict]++
		book, measured := r.Books[rec.Call.Service]
		if !measured {
			continue
		}
		effects := book.ByKey[rec.Call.Key]
		switch {
		case effects > 1:
			rep.RunTwice++
		case effects == 1 && rec.Outcome.Verdict == CallNotRun:
			rep.FalseNotRun++
		case effects == 0 && rec.Outcome.Verdict == CallDone:
			rep.FalseDone++
		}
	}
}

func (p *PolicyReport) callReport(name string) *CallReport {
	for _, c := range p.Calls {
		if c.Service == name {
			return c
		}
	}
	c := &CallReport{Service: name, Verdicts: map[CallVerdict]int{}}
	p.Calls = append(p.Calls, c)
	return c
}

func (c *CallReport) line(policy string) string {
	return fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d", c.Service, policy, c.Calls,
		c.Verdicts[CallDone], c.Verdicts[CallNotRun], c.Verdicts[CallUnknown], c.Verdicts[CallRejected],
		c.RunTwice, c.FalseNotRun, c.FalseDone)
}

// Books are the counts of the services' effects, by service.
type Books map[string]service.Counts
