package relay_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// fakeSlots grants slots as a test tells; none without a grant function.
type fakeSlots struct {
	mu    sync.Mutex
	grant func() (uint64, error)
	asked []servingsvc.SlotRequest
	late  func(uint64)
}

func (f *fakeSlots) SlotsPaused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.grant == nil
}

func (f *fakeSlots) RequestSlot(q servingsvc.SlotRequest, late func(uint64)) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.late = append(f.asked, q), late
	return f.grant()
}

func (f *fakeSlots) set(grant func() (uint64, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grant = grant
}

// always grants a slot at an upstream to each request.
func (f *fakeSlots) always(u *fakeUpstream) { f.set(func() (uint64, error) { return u.begun(), nil }) }

func (f *fakeSlots) requests() []servingsvc.SlotRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]servingsvc.SlotRequest(nil), f.asked...)
}

const manyInstances = 80

// among makes the instance one of so many, of which the others have the given number of requests at each upstream.
func (b *relayTest) among(instances, active int, ups ...*fakeUpstream) {
	b.state.mu.Lock()
	v := *b.state.view
	v.Forwarders, v.Rank = instances, 1
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
	var r servingsvc.Report
	for _, u := range ups {
		r.Work.Loads = append(r.Work.Loads, servingsvc.Load{FirstIndex: u.begun(), Active: active})
	}
	b.service.TakeReport(&r)
}

// slotResult returns how many requests for slots had a result.
func (b *relayTest) slotResult(result string) uint64 {
	return b.set.GetOrCreateCounter(`relay_slot_requests_total{result="` + result + `"}`).Get()
}

// toldAt returns what the next load update tells of an upstream; -1 if nothing.
func (b *relayTest) toldAt(u *fakeUpstream) int {
	for _, l := range b.service.LoadUpdate().Loads {
		if l.FirstIndex == u.begun() {
			return l.Active
		}
	}
	return -1
}

// toldNothing tells the changed loads and reports whether none is left.
func (b *relayTest) toldNothing() bool {
	b.service.LoadUpdate()
	return len(b.service.ToldLoads()) == 0
}

// Guards against a granted slot that is not used, a load update for the start of a request that the member
// knows by its grant, and an end of which the member does not learn at once.
func TestGrantedSlotIsUsedWithoutALoadUpdate(t *testing.T) {
	var ups []*fakeUpstream
	arrived, answer := make(chan struct{}), make(chan struct{})
	for i := range 4 {
		ups = append(ups, startUpstream(t, fmt.Sprint("u", i), func(_ int, r *received, c net.Conn) bool {
			arrived <- struct{}{}
			<-answer
			return whole(c, r, 200, "")
		}))
	}
	b := start(t, ups...)
	b.among(manyInstances, 3, ups...)
	for i, u := range ups {
		b.slots.always(u)
		before := b.loadChanges.Load()
		c := b.caller()
		c.send(message("POST", "/once/x", fmt.Sprint("r", i), "b"))
		<-arrived
		Expect(u.requests()).To(HaveLen(1))
		Expect(b.loadChanges.Load()).To(Equal(before))
		Expect(b.service.LoadUpdate().Loads).To(BeEmpty())
		told := b.service.ToldLoads()
		Expect(told).To(ContainElement(servingsvc.Load{FirstIndex: u.begun(), Active: 1}))
		answer <- struct{}{}
		Expect(c.receive().status).To(Equal(200))
		Eventually(b.loadChanges.Load).Should(Equal(before + 1))
		Expect(b.toldAt(u)).To(BeZero())
	}
	Expect(b.slotResult("granted")).To(Equal(uint64(len(ups))))
	Eventually(b.log.String).Should(ContainSubstring("slot=granted"))
	for _, q := range b.slots.requests() {
		Expect(q.Service).To(Equal(servingsvc.ServiceHash("s")))
		Expect(q.Avoid).To(BeEmpty())
	}
}

// Guards against a request that is lost, or sent to an upstream that this instance knows to be unusable, because
// a slot was granted there, and against a member that grants its slots again and again, as they stay free.
func TestGrantAtAnUnusableUpstreamIsNotUsed(t *testing.T) {
	gone, ok := startGone(t, "gone"), startUpstream(t, "ok", echo)
	b := start(t, gone, ok)
	b.among(manyInstances, 3, gone, ok)
	b.slots.always(gone)
	Expect(b.caller().call("POST", "/once/x", "r1", "b").status).To(Equal(200), "placed elsewhere after the connection was refused")
	Expect(b.slotResult("granted")).To(Equal(uint64(1)))
	b.service.LoadUpdate()

	Expect(b.caller().call("POST", "/once/x", "r2", "b").status).To(Equal(200))
	Expect(b.slotResult("unused")).To(Equal(uint64(1)))
	Eventually(b.log.String).Should(ContainSubstring("slot=unused"))
	Expect(b.toldAt(gone)).To(BeZero(), "the member counts the grant as a load")

	Expect(b.caller().call("POST", "/once/x", "r3", "b").status).To(Equal(200))
	asked := b.slots.requests()
	Expect(asked[1].Avoid).To(BeEmpty())
	Expect(asked[2].Avoid).To(Equal([]uint64{gone.begun()}))
}

// Guards against a request that is placed at the successor of the incarnation at which a slot was granted, or not
// at all, after the upstream has started again.
func TestGrantOfAnEndedIncarnationIsVoid(t *testing.T) {
	u, other := startUpstream(t, "u", echo), startUpstream(t, "other", echo)
	b := start(t, u, other)
	b.among(manyInstances, 6, u, other)
	b.slots.set(func() (uint64, error) { return u.begun() + 1<<20, nil })
	Expect(b.caller().call("POST", "/once/x", "r", "b").status).To(Equal(200))
	Expect(b.slotResult("unused")).To(Equal(uint64(1)))
	Expect(b.service.ToldLoads()).NotTo(ContainElement(HaveField("FirstIndex", u.begun()+1<<20)))
}

// Guards against a request that fails because the grant is refused, lost or late, and against a late grant that
// counts as a load for longer than a load update takes.
func TestRequestWithoutAGrantIsPlaced(t *testing.T) {
	u, other := startUpstream(t, "u", echo), startUpstream(t, "other", echo)
	b := start(t, u, other)
	b.among(manyInstances, 6, u, other)
	for _, c := range []struct {
		result string
		err    error
	}{{"refused", nil}, {"late", fault.New(fault.DeadlineExceeded, "late")}, {"failed", fault.New(fault.NotRun, "unknown channel")}} {
		b.slots.set(func() (uint64, error) { return 0, c.err })
		Expect(b.caller().call("POST", "/once/x", c.result, "b").status).To(Equal(200))
		Expect(b.slotResult(c.result)).To(Equal(uint64(1)))
		Eventually(b.log.String).Should(ContainSubstring("slot=" + c.result))
	}
	Eventually(b.toldNothing).Should(BeTrue(), "all requests have ended")
	b.slots.late(u.begun())
	Expect(b.service.ToldLoads()).To(HaveLen(1))
	Expect(b.toldAt(u)).To(BeZero())
	Expect(b.service.ToldLoads()).To(BeEmpty())
}

// Guards against calls to the member, and loads told at once, where own slots suffice, the load is light or unknown,
// the slots are unknown, or the service has engines.
func TestSlotsAreNotRequestedWithoutNeed(t *testing.T) {
	for name, change := range map[string]func(*relayTest, *fakeUpstream){
		"own slots suffice":     func(b *relayTest, u *fakeUpstream) { b.among(2, 6, u) },
		"a single instance":     func(b *relayTest, u *fakeUpstream) { b.among(1, 6, u) },
		"rank is not known":     func(b *relayTest, _ *fakeUpstream) { b.forgetRank() },
		"light load":            func(b *relayTest, u *fakeUpstream) { b.among(manyInstances, 3, u) },
		"nobody grants":         func(b *relayTest, _ *fakeUpstream) { b.slots.set(nil) },
		"engines":               func(b *relayTest, _ *fakeUpstream) { b.engines() },
		"slots are not known":   func(b *relayTest, u *fakeUpstream) { b.declareNoSlots(u) },
		"many of them, for one": func(*relayTest, *fakeUpstream) {},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpstream(t, "u", echo)
			b := start(t, u, startUpstream(t, "other", echo))
			b.among(manyInstances, 6, u)
			b.slots.always(u)
			change(b, u)
			path := "/once/x"
			if name == "engines" {
				path = "/urgent/x"
			}
			text := strings.Replace(message("POST", path, "r", "b"), "X-Key", "X-Tokens: 100,10\r\nX-Key", 1)
			c := b.caller()
			c.send(text)
			Expect(c.receive().status).To(Equal(200))
			wanted := 0
			if name == "many of them, for one" {
				wanted = 1
			}
			Expect(b.slots.requests()).To(HaveLen(wanted))
		})
	}
}

// forgetRank makes the instance one of many whose rank is not known.
func (b *relayTest) forgetRank() {
	b.state.mu.Lock()
	v := *b.state.view
	v.Rank = 0
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
}

// declareNoSlots lets an upstream register again without slots, beside one that has some.
func (b *relayTest) declareNoSlots(u *fakeUpstream) {
	b.state.mu.Lock()
	v := *b.state.view
	v.Index++
	address := u.listener.Addr().String()
	v.Upstreams = follow.NewUpstreams(
		&serving.Upstream{ID: u.id, Service: "s", Address: address, State: serving.Ready, FirstIndex: u.begun()},
		&serving.Upstream{ID: "next", Service: "s", Address: address, State: serving.Ready, FirstIndex: u.begun() + 1, Slots: 8},
	)
	b.state.view = &v
	b.state.mu.Unlock()
	b.service.Update(&v)
}

// Guards against a second request for a slot when a request is sent again, and against a wait for it.
func TestSlotIsRequestedOnce(t *testing.T) {
	rejecting, ok := startUpstream(t, "a", func(_ int, r *received, c net.Conn) bool { return notRun(c, r) }), startUpstream(t, "b", echo)
	b := start(t, rejecting, ok)
	// The retry budget has a repeat for each of so many instances.
	b.among(12, 6, rejecting, ok)
	b.slots.always(rejecting)
	began := time.Now()
	Expect(b.caller().call("POST", "/once/x", "r", "b").status).To(Equal(200))
	Expect(time.Since(began)).To(BeNumerically("<", requestTimeout))
	Expect(b.slots.requests()).To(HaveLen(1))
	Expect(b.slotResult("granted")).To(Equal(uint64(1)))
	Eventually(func() int { return b.toldAt(ok) }).Should(BeZero())
}
