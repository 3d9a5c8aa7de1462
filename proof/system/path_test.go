package system_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

var _ = Describe("The whole path through separate processes", func() {
	It("serves each failure domain's callers from its own upstreams", func() {
		s := newSite(1, "north", "south", "east")
		s.startAll()
		for _, d := range []string{"north", "south", "east"} {
			in := s.instances[d+"-1"]
			s.engine("e-"+d, d, "--speed", "20")
			Eventually(in.liveUpstreams, patience, poll).Should(Equal(1))
			r := in.chat("urgent", "a question from "+d, 12, true)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(200), r.body)
			Expect(r.whole).To(BeTrue())
			Expect(r.text).To(Equal(engine.Answer(engine.Prompt("a question from "+d), 12)))
			Expect(r.header.Get("X-Request-Id")).NotTo(BeEmpty())
		}
	})
})
