package load

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Report sums up runs, policy by policy.
type Report struct {
	Experiment string          `json:"experiment"`
	Policies   []*PolicyReport `json:"policies"`
}

// PolicyReport is one policy over all seeds.
type PolicyReport struct {
	Policy  string         `json:"policy"`
	Seeds   []*SeedReport  `json:"seeds"`
	Classes []*ClassReport `json:"classes"`
	Calls   []*CallReport  `json:"calls,omitempty"`
	// Goodput is tokens of answers that met their level per second of arrivals.
	Goodput Spread `json:"goodput_tokens_per_second"`
	// Wasted is the share of generated tokens that no caller received in a
	// whole answer; nil when it was not measured.
	Wasted *Spread `json:"wasted_share,omitempty"`
}

// SeedReport is one run.
type SeedReport struct {
	Seed     uint64   `json:"seed"`
	Goodput  float64  `json:"goodput_tokens_per_second"`
	Wasted   *float64 `json:"wasted_share,omitempty"`
	Prefill  uint64   `json:"prefilled_tokens"`
	CacheHit float64  `json:"cached_prompt_share"`
}

// ClassReport is one class over all seeds of a policy.
type ClassReport struct {
	Class    string          `json:"class"`
	Requests int             `json:"requests"`
	Verdicts map[Verdict]int `json:"verdicts"`
	// Target is the attainment that the class asks for.
	Target     float64 `json:"attainment_target"`
	Attainment Spread  `json:"attainment"`
	FirstToken Millis  `json:"first_token_ms"`
	Between    Millis  `json:"between_tokens_ms"`
	Total      Millis  `json:"total_ms"`

	met, seeds []int // per seed
	histograms [3]*hdrhistogram.Histogram
}

// Spread is a figure over seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Millis holds percentiles in milliseconds, of requests that got there.
type Millis struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Summarize builds the report of some runs.
func Summarize(x *Experiment, results []*Result) *Report {
	rep := &Report{Experiment: x.Settings.Name}
	for _, r := range results {
		rep.policy(x, r.Policy).add(x, r)
	}
	for _, p := range rep.Policies {
		p.finish()
	}
	return rep
}

func (rep *Report) policy(x *Experiment, name string) *PolicyReport {
	for _, p := range rep.Policies {
		if p.Policy == name {
			return p
		}
	}
	p := &PolicyReport{Policy: name}
	for i := range x.Traffic {
		p.Classes = append(p.Classes, newClassReport(x.Class(x.Traffic[i].Class)))
	}
	rep.Policies = append(rep.Policies, p)
	return p
}

func newClassReport(c *intent.Class) *ClassReport {
	r := &ClassReport{Class: c.Name, Target: c.Attainment, Verdicts: map[Verdict]int{}}
	for i := range r.histograms {
		r.histograms[i] = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	return r
}

func (p *PolicyReport) class(name string) *ClassReport {
	for _, c := range p.Classes {
		if c.Class == name {
			return c
		}
	}
	return nil
}

func (p *PolicyReport) add(x *Experiment, r *Result) {
	for _, c := range p.Classes {
		c.met = append(c.met, 0)
		c.seeds = append(c.seeds, 0)
	}
	good, received := 0, 0
	for i := range r.Records {
		rec := &r.Records[i]
		if rec.Request == nil {
			continue
		}
		met := p.class(rec.Request.Class.Name).add(rec)
		if met {
			good += rec.Outcome.Tokens
		}
		if rec.Outcome.Verdict == Complete {
			received += rec.Outcome.Tokens
		}
	}
	s := &SeedReport{Seed: r.Seed, Goodput: float64(good) / x.Settings.Duration.Seconds()}
	if r.Measured {
		w := 0.0
		if r.Counters.Generated > 0 {
			w = 1 - float64(received)/float64(r.Counters.Generated)
		}
		s.Wasted = &w
		s.Prefill = r.Counters.Prefilled
		s.CacheHit = float64(r.Counters.Cached) / math.Max(1, float64(r.Counters.Cached+r.Counters.Prefilled))
	}
	p.Seeds = append(p.Seeds, s)
	p.addCalls(r)
}

// add counts one record and reports whether it met its level.
func (c *ClassReport) add(rec *Record) bool {
	o := &rec.Outcome
	last := len(c.met) - 1
	c.Requests++
	c.seeds[last]++
	c.Verdicts[o.Verdict]++
	met := o.Met(rec.Request.Class)
	if met {
		c.met[last]++
	}
	if o.Tokens > 0 {
		record(c.histograms[0], o.FirstToken)
	}
	if o.Tokens > 1 {
		record(c.histograms[1], o.Between)
	}
	if o.Verdict == Complete {
		record(c.histograms[2], o.Total)
	}
	return met
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

func (p *PolicyReport) finish() {
	var goodput, wasted []float64
	for _, s := range p.Seeds {
		goodput = append(goodput, s.Goodput)
		if s.Wasted != nil {
			wasted = append(wasted, *s.Wasted)
		}
	}
	p.Goodput = spread(goodput)
	if len(wasted) > 0 {
		w := spread(wasted)
		p.Wasted = &w
	}
	for _, c := range p.Classes {
		c.finish()
	}
}

func (c *ClassReport) finish() {
	var shares []float64
	for i, n := range c.seeds {
		if n > 0 {
			shares = append(shares, float64(c.met[i])/float64(n))
		}
	}
	c.Attainment = spread(shares)
	c.FirstToken = percentiles(c.histograms[0])
	c.Between = percentiles(c.histograms[1])
	c.Total = percentiles(c.histograms[2])
}

func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	s := Spread{Min: values[0], Max: values[0]}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min = math.Min(s.Min, v)
		s.Max = math.Max(s.Max, v)
	}
	return s
}

func percentiles(h *hdrhistogram.Histogram) Millis {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Millis{P50: at(50), P95: at(95), P99: at(99)}
}

// WriteJSON writes the report as indented JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write report")
	}
	return nil
}

// WriteTable writes the report for people: one line for each policy and class,
// then one for each policy.
func (rep *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\t\n", args...) }
	line("class\tpolicy\trequests\tattained\tmin..max\tasked\twhole\tnot run\tbroken\twrong\texpired\tfirst p50\tp95\tp99 ms\tbetween p95\ttotal p50\tp99 ms")
	if len(rep.Policies) > 0 {
		for i := range rep.Policies[0].Classes {
			for _, p := range rep.Policies {
				c := p.Classes[i]
				v := c.Verdicts
				line("%s\t%s\t%d\t%.1f%%\t%.1f..%.1f\t%.0f%%\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f",
					c.Class, p.Policy, c.Requests, 100*c.Attainment.Mean, 100*c.Attainment.Min, 100*c.Attainment.Max, 100*c.Target,
					v[Complete], v[NotRun], v[Broken], v[Wrong], v[Expired],
					c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.Between.P95, c.Total.P50, c.Total.P99)
			}
		}
	}
	line("")
	line("policy\tseeds\tgoodput tokens/s\tmin..max\twasted\tmin..max\tprompt cached")
	for _, p := range rep.Policies {
		line("%s\t%d\t%.0f\t%.0f..%.0f\t%s\t%s", p.Policy, len(p.Seeds), p.Goodput.Mean, p.Goodput.Min, p.Goodput.Max, p.wasted(), p.cached())
	}
	rep.callLines(line)
	if err := t.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write table")
	}
	return nil
}

func (rep *Report) callLines(line func(format string, args ...any)) {
	first := true
	for _, p := range rep.Policies {
		for _, c := range p.Calls {
			if first {
				line("")
				line("calls\tpolicy\tcalls\tdone\tnot run\tunknown\trejected\trun twice\tfalse not run\tfalse done")
			}
			first = false
			line("%s", c.line(p.Policy))
		}
	}
}

func (p *PolicyReport) wasted() string {
	if p.Wasted == nil {
		return "not measured\t"
	}
	return fmt.Sprintf("%.2f%%\t%.2f..%.2f", 100*p.Wasted.Mean, 100*p.Wasted.Min, 100*p.Wasted.Max)
}

func (p *PolicyReport) cached() string {
	if p.Wasted == nil {
		return "not measured"
	}
	var shares []float64
	for _, s := range p.Seeds {
		shares = append(shares, s.CacheHit)
	}
	return fmt.Sprintf("%.0f%%", 100*spread(shares).Mean)
}
