package serving_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	coreserving "github.com/comfreyladder/comfreyladder/core/control/serving"
)

// Guards against a stream that goes on at the only version that serves though another one, which has left,
// began it; and against an answer of a member that is cut off and does not know of another version.
func TestOnlySoftwareCountsUpstreamsThatHaveLeft(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	ctx := context.Background()
	announce := func(id, version string) {
		u := coreserving.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1" + id, Domain: "d0", Slots: 1, State: coreserving.Ready, Sequence: 1, Software: version}
		g.Eventually(func() error { return g.instances["m0"].serving.Announce(ctx, u) }).Should(Succeed())
	}
	only := func(member string) func() bool {
		return func() bool {
			version, only, err := g.instances[member].serving.OnlySoftware(ctx, "s")
			return err == nil && only && version == "v1"
		}
	}
	g.Expect(only("m1")()).To(BeFalse(), "nothing is known of the service")
	announce("001", "v1")
	announce("002", "v1")
	g.Eventually(only("m1")).Should(BeTrue())
	announce("003", "v2")
	g.Expect(only("m1")()).To(BeFalse())
	g.Expect(g.instances["m0"].serving.Leave(ctx, "003", 0)).To(Succeed())
	g.Expect(only("m1")()).To(BeFalse(), "streams may have begun there")
	g.split([]string{"m2"}, []string{"m0", "m1"})
	g.Eventually(func() error {
		_, _, err := g.instances["m2"].serving.OnlySoftware(ctx, "s")
		return err
	}).Should(HaveOccurred())
}
