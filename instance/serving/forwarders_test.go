package serving_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// Guards against instances that take a larger share of a common budget than theirs, because the member
// that they follow has just started and knows only those that have asked it since.
func TestStartedMemberTellsNoSmallerNumberOfInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	const asked = "m2"
	ask := func(from, to string) serving.WatchResponse {
		var a serving.WatchResponse
		_ = g.watch(from, to, serving.WatchRequest{Forwards: true}, &a)
		return a
	}
	g.Eventually(func() int {
		ask("m0", "m1")
		ask("m1", "m0")
		return ask("m2", "m0").Forwarders
	}).Should(Equal(3))
	n := g.instances[asked]
	n.stop()
	n.start(false)
	var a serving.WatchResponse
	g.Eventually(func() bool {
		a = ask("m0", asked)
		return a.Confirmed
	}).WithPolling(10 * time.Millisecond).Should(BeTrue())
	g.Expect(a.Forwarders >= 3 || a.Starting).To(BeTrue(), "%d, without saying that there may be more", a.Forwarders)
	g.Eventually(func() int { return ask("m0", asked).Forwarders }).WithTimeout(2 * time.Second).Should(BeNumerically(">=", 3))
}

// Guards against a member that tells too small a number of instances once its links to the others are
// back: it has forgotten, or never heard of, those that follow them.
func TestMemberThatWasCutOffTellsNoSmallerNumberOfInstances(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	ask := func(from, to string) (a serving.WatchResponse) {
		_ = g.watch(from, to, serving.WatchRequest{Forwards: true}, &a)
		return a
	}
	g.Eventually(func() bool {
		a := ask("m0", "m0")
		return a.Confirmed && !a.Starting
	}).WithPolling(100 * time.Millisecond).Should(BeTrue())
	g.split([]string{"m0"}, []string{"m1", "m2"})
	time.Sleep(2 * time.Second)
	g.Eventually(func() bool { ask("m1", "m1"); return ask("m2", "m2").Confirmed }).Should(BeTrue())
	g.split()
	var a serving.WatchResponse
	g.Eventually(func() bool {
		a = ask("m0", "m0")
		return a.Confirmed
	}).WithPolling(10 * time.Millisecond).Should(BeTrue())
	g.Expect(a.Forwarders >= 3 || a.Starting).To(BeTrue(), "%d, without saying that there may be more", a.Forwarders)
	g.Eventually(func() int { return ask("m0", "m0").Forwarders }).WithTimeout(3 * time.Second).Should(BeNumerically(">=", 3))
}
