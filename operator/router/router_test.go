package router

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/fleet"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

var _ = Describe("format", func() {
	It("writes what intent files are read as", func() {
		for _, file := range []string{"../load/samples/bagmati.ini", "../load/samples/lanyang.ini"} {
			x, err := load.Load(file)
			Expect(err).NotTo(HaveOccurred())
			doc, err := intentfile.Parse("formatted", []byte(formatIntent(x.Intent)))
			Expect(err).NotTo(HaveOccurred())
			Expect(doc).To(Equal(x.Intent))
		}
	})
})

var _ = Describe("System", func() {
	It("serves model requests and calls in all failure domains, and explains them", func() {
		x, err := load.Load("../load/testdata/tiny.ini")
		Expect(err).NotTo(HaveOccurred())
		x.Engines.Domains = []string{"north", "south"}
		x.Faults = nil
		sys := New(x, 1).(*System)
		run := &load.Run{Experiment: x, Policy: "router", Seed: 1, System: sys}
		run.StartFleet = func(ctx context.Context, announce load.Announce) (load.Fleet, error) {
			Expect(announce.To("north")).To(HaveLen(instancesPerDomain))
			Expect(announce.To("south")).NotTo(ContainElements(announce.To("north")))
			return fleet.Start(ctx, x, 1, announce)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		res, err := run.Do(ctx)
		Expect(err).NotTo(HaveOccurred())
		complete := 0
		for i := range res.Records {
			Expect(res.Records[i].Outcome.Verdict).NotTo(BeElementOf(load.Wrong, load.Verdict("")))
			if res.Records[i].Outcome.Verdict == load.Complete {
				complete++
				Expect(res.Records[i].Outcome.ID).NotTo(BeEmpty())
			}
		}
		Expect(complete).NotTo(BeZero())
		for _, m := range res.Missed {
			if m.Record.Outcome.ID != "" && m.Record.Outcome.Verdict == load.Complete {
				Expect(m.Events).NotTo(BeEmpty())
			}
		}
	})
})
