package settings_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/scale"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

var _ = Describe("Scaling settings", func() {
	It("has the defaults of scale.Config, and its description can be loaded", func() {
		var out bytes.Buffer
		settings.DescribeScaling(&out)
		s, err := settings.LoadScaling(write(out.String()))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Plan()).To(Equal(scale.Config{
			Utilisation: scale.DefaultUtilisation, StartShare: scale.DefaultStartShare, StartTimeout: scale.DefaultStartTimeout, HoldTime: scale.DefaultHoldTime,
			ReleaseRate: scale.DefaultReleaseRate, MinStandard: scale.DefaultMinStandard, MaxUtilisation: scale.DefaultMaxUtilisation, MaxUpstreams: scale.DefaultMaxUpstreams, MaxPending: scale.DefaultMaxPending,
		}))
		Expect(s.DryRun).To(BeFalse())
	})

	It("reports all faults at once", func() {
		_, err := settings.LoadScaling(write("[scaling]\nutilisation = 0\nhold = soon\nbase = -1\ndry_run = perhaps\nprice = 3\n[more]\n"))
		Expect(keys(err)).To(ConsistOf("scaling.utilisation", "scaling.hold", "scaling.base", "scaling.dry_run", "scaling.price", "more."))
	})
})
