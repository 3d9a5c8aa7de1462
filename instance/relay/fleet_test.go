package relay

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// largeService is a number of upstreams of one service that a choice does not look through.
const largeService = 2 * scanLimit

// testUpstream returns one of many upstreams in five failure domains.
func testUpstream(i int, state serving.State) serving.Upstream {
	return serving.Upstream{
		ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%5), Slots: 64, State: state, FirstIndex: uint64(i + 1),
	}
}

// fleetOf returns a fleet with the given number of upstreams, and the view that it has applied.
func fleetOf(tb testing.TB, count int) (*fleet, *follow.View) {
	log := eventlog.New(io.Discard, nil)
	tb.Cleanup(func() { log.Close(0) })
	list := make([]*serving.Upstream, count)
	for i := range list {
		u := testUpstream(i, serving.Ready)
		list[i] = &u
	}
	f := newFleet(&Config{Log: log})
	v := &follow.View{Index: 1, Upstreams: follow.NewUpstreams(list...), Forwarders: 1000}
	f.update(v)
	return f, v
}

var (
	longRoute  = route.Route{Name: "long", Target: 2 * time.Second, MaxPause: time.Second, MaxAttempts: 2}
	plainRoute = route.Route{Name: "plain", Target: 200 * time.Millisecond, MaxAttempts: 2}
)

// idle ends all requests at an upstream.
func (u *upstream) idle() { u.active, u.queuedTokens, u.usedTokens = 0, 0, 0 }

// longRequest returns a request with a prompt that is not subject to admission.
func longRequest(prompt uint64) *request {
	r := newRequest()
	r.service, r.route, r.tokens, r.sharedTokens, r.capacity = "s", &longRoute, 17_000, 13_300, 600_000
	r.recorded = true
	r.affinity, r.rank, r.maxQueueMS, r.fetchRate = prompt, 1, queueLimitMS(&longRoute, 1), 100
	return r
}

func plainRequest() *request {
	r := newRequest()
	r.service, r.route = "s", &plainRoute
	return r
}

// Instances that do not look at all upstreams must still send the requests of a prompt to the same
// few of them, also while pools and loads differ a little; each other one reads it anew.
func TestLargeServiceKeepsPromptsTogether(t *testing.T) {
	g := NewWithT(t)
	var fleets []*fleet
	for range 4 {
		f, _ := fleetOf(t, largeService)
		fleets = append(fleets, f)
	}
	for prompt := range uint64(200) {
		places := map[string]bool{}
		for _, f := range fleets {
			u, busy := f.choose(longRequest(prompt+1), "d1", nil)
			g.Expect(busy).To(BeFalse())
			places[u.id] = true
			u.idle()
		}
		g.Expect(places).To(HaveLen(1))
	}
}

// The upstreams that a choice looks at first are all unusable: those of the own failure domain are
// excluded, the others suspect. It must look further rather than refuse.
func TestLargeServiceWithFewUsableUpstreams(t *testing.T) {
	// In virtual time the ejections last until the end of the test.
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _ := fleetOf(t, largeService)
		last := f.upstreams["e7"]
		for _, u := range f.upstreams {
			if u != last {
				u.failed(true)
			}
		}
		for i := range 20 {
			u, _ := f.choose(longRequest(uint64(i+1)), "d1", nil)
			g.Expect(u.id).To(Equal(last.id))
			u.idle()
			u, _ = f.choose(plainRequest(), "d1", nil)
			g.Expect(u.id).To(Equal(last.id))
		}
		u, _ := f.choose(plainRequest(), "d1", []*upstream{last})
		g.Expect(u).NotTo(BeNil(), "a suspect upstream is better than none")
	})
}

// Requests without prompts must be spread over the upstreams of the own failure domain, and avoid
// one that fails its requests.
func TestLargePlainServiceIsSpread(t *testing.T) {
	g := NewWithT(t)
	f, _ := fleetOf(t, largeService)
	bad := f.upstreams["e1"]
	for range 50 {
		bad.answeredFailure()
		for i := 6; i < 30; i++ {
			f.upstreams[fmt.Sprint("e", i)].succeeded()
		}
	}
	count := map[string]int{}
	for range 2000 {
		u, _ := f.choose(plainRequest(), "d1", nil)
		count[u.id]++
		g.Expect(u.domain).To(Equal("d1"))
		u.idle()
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	g.Expect(count["e1"]).To(BeZero())
	g.Expect(most).To(BeNumerically("<", 60), "of 2,000 requests to some 100 upstreams")
}

// An instance of many sends few requests to each of many upstreams. It must use the connections that
// it has rather than open one for each request.
func TestLargePlainServiceReusesConnections(t *testing.T) {
	g := NewWithT(t)
	f, _ := fleetOf(t, largeService)
	connected := f.upstreams["e6"]
	f.service("s").recordUse(connected)
	connected.pool.idle = []*upstreamConn{{}}
	for range 50 {
		u, _ := f.choose(plainRequest(), "d1", nil)
		g.Expect(u.id).To(Equal("e6"))
		u.idle()
	}
	connected.active = 10
	u, _ := f.choose(plainRequest(), "d1", nil)
	g.Expect(u.id).NotTo(Equal("e6"), "an idle upstream is worth a connection")
	connected.idle()
	u, _ = f.choose(plainRequest(), "d2", nil)
	g.Expect(u.domain).To(Equal("d2"), "the own failure domain comes first")
	connected.pool.idle = nil
}

// A fleet that applies differences must know the same upstreams as one that applies whole views, and
// the same ones must get work.
func TestDifferencesOfViewsAddUp(t *testing.T) {
	g := NewWithT(t)
	f, v := fleetOf(t, 50)
	changes := []serving.Changes{
		{Index: 2, Upstreams: []serving.Upstream{testUpstream(3, serving.Draining), {ID: "e4", State: serving.Gone}}},
		{Index: 3, Upstreams: []serving.Upstream{testUpstream(70, serving.Ready), {ID: "e99", State: serving.Gone}}},
		{Index: 4, Upstreams: []serving.Upstream{{ID: "e70", State: serving.Gone}, testUpstream(71, serving.Ready)}},
	}
	for i := range changes {
		v = v.After(&changes[i])
		f.update(v)
	}
	whole := newFleet(&Config{Log: f.log})
	whole.update(&follow.View{Index: v.Index, Upstreams: v.Upstreams, Forwarders: 1000})
	g.Expect(f.upstreams).To(HaveLen(len(whole.upstreams)))
	g.Expect(f.service("s").len()).To(Equal(48 + 1))
	for id := range whole.upstreams {
		g.Expect(f.upstreams).To(HaveKey(id))
		g.Expect(f.upstreams[id].service == nil).To(Equal(whole.upstreams[id].service == nil), id)
	}
	skipped := v.After(&serving.Changes{Index: 5, Upstreams: []serving.Upstream{{ID: "e5", State: serving.Gone}}})
	v = skipped.After(&serving.Changes{Index: 6, Upstreams: []serving.Upstream{{ID: "e6", State: serving.Gone}}})
	f.update(v)
	g.Expect(f.upstreams).NotTo(HaveKey("e5"), "a view that was not seen is not needed")
	g.Expect(f.upstreams).NotTo(HaveKey("e6"))
}

// A release that changes hundreds of upstreams at once must not bury the rest of the log, and still
// tell of those that requests of this instance ran at.
func TestManyChangesAreSummarised(t *testing.T) {
	g := NewWithT(t)
	f, v := fleetOf(t, largeService)
	var out strings.Builder
	f.log = eventlog.New(&out, nil)
	used, _ := f.choose(plainRequest(), "d1", nil)
	var changes serving.Changes
	changes.Index = 2
	for i := range largeService {
		changes.Upstreams = append(changes.Upstreams, testUpstream(i, serving.Draining))
	}
	f.update(v.After(&changes))
	f.log.Close(time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines).To(ContainElement(And(ContainSubstring("event=upstream_state"), ContainSubstring("upstream="+used.id+" "))))
	g.Expect(lines).To(ContainElement(And(ContainSubstring("event=upstreams_changed"), ContainSubstring(fmt.Sprintf("draining=%d", largeService-1)))))
}

// plainFleets returns the fleets of some instances in front of the given number of upstreams.
func plainFleets(t *testing.T, instances, upstreams int) (fleets []*fleet) {
	for rank := range instances {
		f, v := fleetOf(t, upstreams)
		next := *v
		next.Forwarders, next.Rank = instances, rank+1
		f.update(&next)
		fleets = append(fleets, f)
	}
	return fleets
}

// Guards against instances that all choose the upstream that had the least load in their last
// report: with no other report between them they must share the upstreams, and show how they do.
func TestInstancesShareUpstreamsOfPlainService(t *testing.T) {
	g := NewWithT(t)
	fleets, count := plainFleets(t, 5, 10), map[string]int{}
	const others = 26 // requests of other instances at each upstream, of 64 slots
	for _, f := range fleets {
		var loads []servingsvc.Load
		for incarnation := range f.byIncarnation {
			loads = append(loads, servingsvc.Load{FirstIndex: incarnation, Active: others})
		}
		f.mergeReport(&servingsvc.Report{Work: servingsvc.Work{Loads: loads}})
	}
	for range 60 {
		for rank, f := range fleets {
			u, _ := f.choose(plainRequest(), fmt.Sprint("d", rank), nil)
			count[u.id]++
		}
	}
	g.Expect(count).To(HaveLen(10))
	for id, n := range count {
		g.Expect(n).To(BeNumerically("~", 30, 6), id)
	}
	e := fleets[0].evenness("s")
	g.Expect(e).To(Equal(evenness{mean: 6 + others, busiest: 30 + others}), "60 requests at two of ten upstreams")
}

// Guards against a lightly loaded instance that sends everything to the first upstreams among its own: the
// others of its failure domain would not be known, nor used again after a failure.
func TestLightLoadUsesAllUpstreams(t *testing.T) {
	g := NewWithT(t)
	f, count := plainFleets(t, 5, 10)[0], map[string]int{}
	for range 1000 {
		u, _ := f.choose(plainRequest(), "d0", nil)
		count[u.id]++
		u.idle()
	}
	g.Expect(count["e0"]).To(BeNumerically("~", 500, 100))
	g.Expect(count["e5"]).To(BeNumerically("~", 500, 100))
}

// Guards against own slots that outweigh what makes an upstream unusable: failures, a pause, a
// failed attempt of the same request.
func TestOwnSlotsOfUnusableUpstreamsAreNotFilled(t *testing.T) {
	g := NewWithT(t)
	f := plainFleets(t, 5, 10)[2]
	first, _ := f.choose(plainRequest(), "d1", nil)
	first.idle()
	other, _ := f.choose(plainRequest(), "d1", []*upstream{first})
	g.Expect(other).NotTo(Equal(first))
	other.idle()
	first.failed(true)
	for range 20 {
		u, _ := f.choose(plainRequest(), "d1", nil)
		g.Expect(u).NotTo(Equal(first))
	}
}

// Guards against own slots that outlive a change of the instances or upstreams.
func TestOwnSlotsFollowTheView(t *testing.T) {
	g := NewWithT(t)
	f, v := fleetOf(t, 10)
	own := func() int {
		f.shareSlots(f.service("s"))
		return f.service("s").ownSlots
	}
	next := *v
	next.Forwarders, next.Rank = 5, 1
	f.update(&next)
	g.Expect(own()).To(Equal(128), "a fifth of 640 slots")
	next.Forwarders = 2
	f.update(&next)
	g.Expect(own()).To(Equal(320))
	f.update(next.After(&serving.Changes{Index: 2, Upstreams: []serving.Upstream{testUpstream(3, serving.Draining)}}))
	g.Expect(own()).To(BeNumerically("~", 288, 1))
}

var sizes = []int{100, 1000, 10_000, 20_000}

func benchmarkChoose(b *testing.B, next func(i int) *request) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, v := fleetOf(b, count)
			ranked := *v
			ranked.Rank = 500
			f.update(&ranked)
			f.remoteLoadsAt = time.Now()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r := next(i)
				u, _ := f.choose(r, "d1", nil)
				if u == nil {
					b.Fatal("nothing chosen")
				}
				u.idle()
				r.release()
			}
		})
	}
}

func BenchmarkChoosePrompt(b *testing.B) {
	benchmarkChoose(b, func(i int) *request { return longRequest(uint64(1 + i%2000)) })
}

func BenchmarkChoosePlain(b *testing.B) {
	benchmarkChoose(b, func(int) *request { return plainRequest() })
}

// BenchmarkChange measures the difference of one upstream, from the changes that a member sends to
// the state by which requests are sent.
func BenchmarkChange(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, v := fleetOf(b, count)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				state := serving.Ready
				if i/count%2 == 0 {
					state = serving.Draining
				}
				v = v.After(&serving.Changes{Index: uint64(2 + i), Upstreams: []serving.Upstream{testUpstream(i%count, state)}})
				f.update(v)
			}
		})
	}
}

// BenchmarkReport measures what an instance tells and is told several times a second.
func BenchmarkReport(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			f, _ := fleetOf(b, count)
			for i := range 50 {
				f.choose(longRequest(uint64(i+1)), "d1", nil)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				r := f.report()
				f.mergeReport(&r)
				f.closeIdle(time.Now())
			}
		})
	}
}
