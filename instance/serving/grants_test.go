package serving_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	state "github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// slotAt asks a member for a slot of service "s" as another one; zero if none is granted.
func (g *group) slotAt(from, to string) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var a serving.SlotGrant
	if err := g.instances[from].links.Call(ctx, to, serving.ChannelSlots, serving.SlotRequest{Service: serving.ServiceHash("s"), HoldMS: 40}, &a); err != nil {
		return 0
	}
	return a.FirstIndex
}

// Guards against grants of an incarnation that has ended, by a member that has just started again, and by one
// whose state is not confirmed because it is cut off from the others.
func TestGrantsOfMembersThatRestartOrAreCutOff(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	announce := func(id string, startedAt int64) {
		u := state.Upstream{ID: id, Service: "s", Address: "x:1", Slots: 4, Sequence: 1, StartedAt: startedAt, State: state.Ready}
		g.Expect(g.instances["m0"].serving.Announce(t.Context(), u)).To(Succeed())
	}
	follow := func() bool {
		var a serving.WatchResponse
		return g.watch("m0", "m1", serving.WatchRequest{Forwards: true}, &a) == nil && a.Confirmed
	}
	slot := func() uint64 {
		if !follow() {
			return 0
		}
		return g.slotAt("m0", "m1")
	}
	announce("a", 1)
	g.Expect(g.slotAt("m0", "m1")).To(BeZero(), "it does not follow the member")
	g.Eventually(slot).WithPolling(20 * time.Millisecond).ShouldNot(BeZero())
	first := slot()
	announce("a", 2)
	g.Eventually(slot).WithPolling(20 * time.Millisecond).Should(BeNumerically(">", first))

	n := g.instances["m1"]
	n.stop()
	n.start(false)
	begun := time.Now()
	g.Eventually(slot).WithPolling(time.Millisecond).ShouldNot(BeZero())
	g.Expect(time.Since(begun)).To(BeNumerically(">=", 300*time.Millisecond), "it does not know the loads of its followers yet")

	g.split([]string{"m1"}, []string{"m0", "m2"})
	g.Eventually(func() uint64 {
		var a serving.WatchResponse
		_ = g.watch("m0", "m1", serving.WatchRequest{Forwards: true}, &a)
		return g.slotAt("m0", "m1")
	}).WithTimeout(5 * time.Second).WithPolling(50 * time.Millisecond).Should(BeZero())
}

// maxGrantBytes bounds what a granted request adds to the traffic between processes, in bytes: the request for a
// slot, the grant, and the load update for the end. A load update for the start, which it saves where one is sent,
// has as many bytes as that for the end. Nothing is sent for requests to plain services without grants.
const maxGrantBytes = 200

// Guards against messages that grow with the number of upstreams or carry names: there are some of them for each
// request.
func TestBytesPerGrantedRequest(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	u := state.Upstream{ID: "a-long-name-of-an-upstream", Service: "s", Address: "x:1", Slots: 4, Sequence: 1, State: state.Ready}
	g.Expect(g.instances["m0"].serving.Announce(t.Context(), u)).To(Succeed())
	links := g.instances["m0"].links
	bytes := func(channel string) (sent, received uint64) {
		for _, c := range links.Stats() {
			if c.Channel == channel {
				return c.SentBytes, c.RecvBytes
			}
		}
		return 0, 0
	}
	var at uint64
	g.Eventually(func() uint64 {
		var a serving.WatchResponse
		_ = g.watch("m0", "m1", serving.WatchRequest{Forwards: true}, &a)
		at = g.slotAt("m0", "m1")
		return at
	}).WithPolling(20 * time.Millisecond).ShouldNot(BeZero())
	sentBefore, receivedBefore := bytes(serving.ChannelSlots)
	g.Expect(g.slotAt("m0", "m1")).To(Equal(at))
	sent, received := bytes(serving.ChannelSlots)
	g.Expect(links.Send("m1", serving.ChannelLoadUpdate, serving.LoadUpdate{Sequence: 1 << 20, Loads: []serving.Load{{FirstIndex: at}}})).To(Succeed())
	var end uint64
	g.Eventually(func() uint64 { end, _ = bytes(serving.ChannelLoadUpdate); return end }).ShouldNot(BeZero())
	request, grant := sent-sentBefore, received-receivedBefore
	t.Logf("request %d bytes, grant %d, load update for the end %d: %d for each granted request, none without grants", request, grant, end, request+grant+end)
	g.Expect(request + grant + end).To(BeNumerically("<=", maxGrantBytes))
}
