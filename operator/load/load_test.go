package load_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
	"github.com/comfreyladder/comfreyladder/operator/load"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "load")
}

func tiny() *load.Experiment {
	x, err := load.Load("testdata/tiny.ini")
	Expect(err).NotTo(HaveOccurred())
	return x
}

var _ = Describe("Experiment", func() {
	It("reports all faults of a file at once", func() {
		_, err := load.Load("testdata/faulty.ini")
		var faults *inifile.FaultsError
		Expect(errors.As(err, &faults)).To(BeTrue())
		var places []string
		for _, f := range faults.Faults {
			places = append(places, f.Section+"/"+f.Key)
		}
		Expect(places).To(ConsistOf("experiment/duration", "experiment/seeds", "engines/colour", "traffic.urgent/tokens",
			"traffic.urgent/organisations", "traffic.urgent/bursts", "traffic.unknown/", "calls.booking/", "fault.f/kind", "fault.f/engine", "weather/"))
	})

	It("scales all times by its speed and keeps the intent valid", func() {
		x := tiny()
		Expect(x.Settings.Duration).To(Equal(400 * time.Millisecond))
		Expect(x.Class("urgent").FirstToken).To(Equal(200 * time.Millisecond))
		Expect(x.Traffic[1].Rate).To(Equal(50.0))
		Expect(x.Intent.Validate()).To(Succeed())
	})

	It("reads the samples of both users", func() {
		for _, name := range []string{"bagmati", "lanyang"} {
			x, err := load.Load("samples/" + name + ".ini")
			Expect(err).NotTo(HaveOccurred())
			Expect(x.Intent.Validate()).To(Succeed())
			Expect(x.Intent.Organisations).To(HaveLen(10))
		}
	})
})

var _ = Describe("Workload", func() {
	It("is the same for the same seed and another for another", func() {
		x := tiny()
		a, b := load.Workload(x, 1), load.Workload(tiny(), 1)
		Expect(a).To(Equal(b))
		Expect(a).NotTo(Equal(load.Workload(x, 2)))
	})

	It("keeps arrivals in order, lengths in bounds, IDs unique, and organisations to their classes", func() {
		x := tiny()
		x.Settings.Duration *= 100
		seen := map[string]bool{}
		last := time.Duration(0)
		for _, r := range load.Workload(x, 3) {
			Expect(r.At).To(And(BeNumerically(">=", last), BeNumerically("<", x.Settings.Duration)))
			Expect(r.Tokens).To(And(BeNumerically(">=", 1), BeNumerically("<=", r.Class.MaxTokens)))
			Expect(seen[r.ID]).To(BeFalse())
			if r.Class.Name == "urgent" {
				Expect(r.Organisation).To(Equal("small"))
			}
			seen[r.ID] = true
			last = r.At
		}
		Expect(len(seen)).To(BeNumerically(">", 1000))
	})

	It("multiplies the rate in a burst", func() {
		x := tiny()
		inside, outside := 0, 0
		for seed := range uint64(50) {
			for _, r := range load.Workload(x, seed) {
				if r.Class.Name != "urgent" {
					continue
				}
				if r.At >= 100*time.Millisecond && r.At < 200*time.Millisecond {
					inside++
				} else {
					outside++
				}
			}
		}
		// 15 a second for one second against 5 a second for three.
		Expect(float64(inside) / float64(outside)).To(BeNumerically("~", 1, 0.2))
	})
})

// record returns the record of a request of the class urgent.
func record(x *load.Experiment, o load.Outcome) load.Record {
	return load.Record{Request: &load.Request{Class: x.Class("urgent"), Tokens: 10}, Outcome: o}
}

var _ = Describe("Report", func() {
	It("counts attainment, goodput and waste by what callers received", func() {
		x := tiny()
		r := &load.Result{Policy: "p", Measured: true, Records: []load.Record{
			record(x, load.Outcome{Verdict: load.Complete, Tokens: 10, FirstToken: time.Millisecond, Total: 2 * time.Millisecond}),
			record(x, load.Outcome{Verdict: load.Complete, Tokens: 10, FirstToken: time.Second, Total: 2 * time.Second}),
			record(x, load.Outcome{Verdict: load.Broken, Tokens: 5, FirstToken: time.Millisecond}),
			record(x, load.Outcome{Verdict: load.NotRun}),
		}}
		r.Counters.Generated = 40
		rep := load.Summarize(x, []*load.Result{r})
		p := rep.Policies[0]
		Expect(p.Goodput.Mean).To(BeNumerically("~", 10/0.4, 1e-9))
		Expect(p.Wasted.Mean).To(BeNumerically("~", 0.5, 1e-9))
		Expect(p.Classes[1].Class).To(Equal("urgent"))
		Expect(p.Classes[1].Attainment.Mean).To(Equal(0.25))
		Expect(p.Classes[1].Verdicts).To(Equal(map[load.Verdict]int{load.Complete: 2, load.Broken: 1, load.NotRun: 1}))
		var out bytes.Buffer
		Expect(rep.WriteTable(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("25.0%"))
	})

	It("does not claim a measurement of waste without the engines", func() {
		x := tiny()
		rep := load.Summarize(x, []*load.Result{{Policy: "p", Records: []load.Record{record(x, load.Outcome{})}}})
		Expect(rep.Policies[0].Wasted).To(BeNil())
		var out bytes.Buffer
		Expect(rep.WriteTable(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("not measured"))
	})

	It("checks what callers were told of calls against the service's book", func() {
		rec := func(key string, v load.CallVerdict) load.CallRecord {
			return load.CallRecord{Call: &load.Call{Service: "booking", Key: key}, Outcome: load.CallOutcome{Verdict: v}}
		}
		r := &load.Result{Policy: "p", Calls: []load.CallRecord{
			rec("right", load.CallDone), rec("refused", load.CallNotRun), rec("unknown", load.CallUnknown),
			rec("twice", load.CallDone), rec("lied", load.CallNotRun), rec("lost", load.CallDone),
		}}
		r.Books = load.Books{"booking": {ByKey: map[string]int{"right": 1, "unknown": 1, "twice": 2, "lied": 1}}}
		rep := load.Summarize(tiny(), []*load.Result{r})
		c := rep.Policies[0].Calls[0]
		Expect([]int{c.Calls, c.RunTwice, c.FalseNotRun, c.FalseDone}).To(Equal([]int{6, 1, 1, 1}))
		var out bytes.Buffer
		Expect(rep.WriteTable(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("run twice"))
	})

	It("draws PNG and SVG and refuses other formats", func() {
		x := tiny()
		r := &load.Result{Policy: "p", Records: []load.Record{record(x, load.Outcome{})}, Samples: []load.Sample{{}, {}}}
		dir := GinkgoT().TempDir()
		for suffix, magic := range map[string]string{".png": "\x89PNG", ".svg": "<?xml"} {
			path := filepath.Join(dir, "plot"+suffix)
			Expect(load.WritePlot(x, []*load.Result{r}, path)).To(Succeed())
			data, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(data)).To(HavePrefix(magic))
		}
		Expect(load.WritePlot(x, []*load.Result{r}, filepath.Join(dir, "plot.gif"))).NotTo(Succeed())
	})

	DescribeTable("tells whether a level was met", func(o load.Outcome, met bool) {
		c := &intent.Class{FirstToken: 2, BetweenTokens: 2, Total: 5, Deadline: 6}
		Expect(o.Met(c)).To(Equal(met))
	},
		Entry("in time", load.Outcome{Verdict: load.Complete, FirstToken: 2, Between: 2, Total: 5}, true),
		Entry("not whole", load.Outcome{Verdict: load.Broken, FirstToken: 2, Between: 2, Total: 5}, false),
		Entry("first token late", load.Outcome{Verdict: load.Complete, FirstToken: 3, Between: 2, Total: 5}, false),
		Entry("tokens slow", load.Outcome{Verdict: load.Complete, FirstToken: 2, Between: 3, Total: 5}, false),
		Entry("end late", load.Outcome{Verdict: load.Complete, FirstToken: 2, Between: 2, Total: 6}, false),
	)
})
