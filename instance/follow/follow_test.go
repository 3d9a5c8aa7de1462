package follow_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
	"github.com/comfreyladder/comfreyladder/instance/follow"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// group simulates a control group.
type group struct {
	mu      sync.Mutex
	members map[string]*member
	asked   []string
	// longest is the longest time that a call was given.
	longest time.Duration
}

// member answers requests; with a nil answer it does not respond.
type member struct {
	answer *servingsvc.WatchResponse
	delay  time.Duration
}

func (g *group) Call(ctx context.Context, to, _ string, _, resp any) error {
	g.mu.Lock()
	g.asked = append(g.asked, to)
	deadline, _ := ctx.Deadline()
	g.longest = max(g.longest, time.Until(deadline))
	m := g.members[to]
	g.mu.Unlock()
	if m == nil || m.answer == nil {
		<-ctx.Done()
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	select {
	case <-time.After(max(m.delay, time.Millisecond)):
	case <-ctx.Done():
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	*resp.(*servingsvc.WatchResponse) = *m.answer
	return nil
}

func (g *group) Send(string, string, any) error { return nil }

func (g *group) set(name string, a *servingsvc.WatchResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[name] = &member{answer: a}
}

// silence makes a member stop answering and returns how many calls there were before.
func (g *group) silence(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[name] = nil
	return len(g.asked)
}

func answer(index, version uint64, confirmed bool, members ...string) *servingsvc.WatchResponse {
	t := route.Table{Version: version}
	b, _ := corecontrol.Marshal(&t)
	return &servingsvc.WatchResponse{Confirmed: confirmed, Members: members, Forwarders: 1,
		Changes: serving.Changes{Index: index, Version: version, Table: b, Full: true,
			Upstreams: []serving.Upstream{{ID: "u", State: serving.Ready, Changed: index}}}}
}

const (
	lease = 300 * time.Millisecond
	hold  = 20 * time.Millisecond
	slack = 30 * time.Millisecond
)

func start(t *testing.T, g *group, seeds ...string) *follow.Follower {
	t.Helper()
	return startIn(t, g, "", seeds...)
}

// startIn starts a follower in a failure domain.
func startIn(t *testing.T, links follow.Links, domain string, seeds ...string) *follow.Follower {
	t.Helper()
	f := follow.New(follow.Config{
		Links: links, Domain: domain, Seeds: func() []string { return seeds }, Lease: lease, Hold: hold, Slack: slack, Log: zerolog.Nop(),
	})
	if err := f.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	return f
}

func version(f *follow.Follower) func() uint64 {
	return func() uint64 {
		if r := f.View().Routes; r != nil {
			return r.Table.Version
		}
		return 0
	}
}

// Guards against an instance that refuses requests although other members are reachable:
// when its member stops answering, another one must be asked before the lease expires.
func TestAnotherMemberIsAskedInTime(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(1, 1, true, "a", "b", "c"))
	grp.set("b", answer(1, 1, true, "a", "b", "c"))
	f := start(t, grp, "a")
	g.Eventually(version(f)).Should(Equal(uint64(1)))
	before := grp.silence("a")
	expectLease(g, f, 2*lease)
	grp.mu.Lock()
	defer grp.mu.Unlock()
	calls := grp.asked[before:]
	g.Expect(calls).To(ContainElement("b"))
	silent := calls[:slices.Index(calls, "b")]
	g.Expect(silent).To(HaveLen(len(slices.Compact(slices.Sorted(slices.Values(silent))))), "no silent member is asked twice")
	g.Expect(grp.longest).To(BeNumerically("<=", hold+slack))
}

// expectLease checks that a follower has a lease for some time. An instance that is suspended cannot
// renew its lease, so the time for which this process did not run since the last renewal is added.
func expectLease(g *WithT, f *follow.Follower, span time.Duration) {
	const interval = 5 * time.Millisecond
	var suspended, last time.Duration
	for begun := time.Now(); time.Since(begun) < span; {
		slept := time.Now()
		time.Sleep(interval)
		suspended += time.Since(slept) - interval
		left := f.Lease()
		g.Expect(left+suspended).To(BeNumerically(">", 0), "left %v, suspended %v", left, suspended)
		if left > last {
			suspended = 0
		}
		last = left
	}
}

// Guards against a lease that is extended by a member without a quorum: the instance would
// not notice that its state may be outdated.
func TestUnconfirmedAnswerExtendsNoLease(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(1, 1, true, "a"))
	f := start(t, grp, "a")
	g.Eventually(f.Lease).Should(BeNumerically(">", 0))
	grp.set("a", answer(2, 2, false, "a"))
	g.Eventually(version(f)).Should(Equal(uint64(2)), "unconfirmed changes are committed too")
	g.Eventually(f.Lease).WithTimeout(2 * lease).Should(BeNumerically("<", 0))
}

// Guards against an instance that goes back to an older table because the next member
// that it asks lags behind.
func TestViewNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(5, 3, true, "a"))
	f := start(t, grp, "a")
	g.Eventually(version(f)).Should(Equal(uint64(3)))
	grp.set("a", answer(4, 2, true, "a"))
	g.Consistently(version(f)).WithTimeout(100 * time.Millisecond).Should(Equal(uint64(3)))
}

// Guards against a lease that starts when the answer arrives instead of when the request
// was sent: a delayed answer says nothing about the time since.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{"a": {answer: answer(1, 1, true, "a"), delay: 20 * time.Millisecond}}}
	f := start(t, grp, "a")
	g.Eventually(f.Lease).Should(BeNumerically(">", 0))
	g.Expect(f.Lease()).To(BeNumerically("<=", lease-19*time.Millisecond))
}

func TestUpstreamsThatAreGoneLeaveTheView(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(1, 1, true, "a"))
	f := start(t, grp, "a")
	g.Eventually(func() int { return f.View().Upstreams.Len() }).Should(Equal(1))
	a := answer(2, 1, true, "a")
	a.Changes.Full, a.Changes.Table = false, nil
	a.Changes.Upstreams[0].State = serving.Gone
	grp.set("a", a)
	g.Eventually(func() int { return f.View().Upstreams.Len() }).Should(BeZero())
	g.Expect(version(f)()).To(Equal(uint64(1)))
}

// Guards against needless traffic between failure domains: answers carry the work of all
// instances several times a second. The member of the own domain is asked while it answers,
// and others while it does not.
func TestMemberOfTheOwnDomainIsAsked(t *testing.T) {
	RegisterTestingT(t)
	g := &group{members: map[string]*member{}}
	for _, name := range []string{"a", "b", "c"} {
		a := answer(1, 1, true, "a", "b", "c")
		a.Domain = "domain-of-" + name
		g.set(name, a)
	}
	f := follow.New(follow.Config{
		Links: g, Domain: "domain-of-c", Seeds: func() []string { return []string{"a", "b", "c"} }, Lease: lease,
		Hold: 20 * time.Millisecond, Slack: 30 * time.Millisecond, Log: zerolog.Nop(),
	})
	Expect(f.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	last := func() string {
		g.mu.Lock()
		defer g.mu.Unlock()
		if len(g.asked) < 6 {
			return ""
		}
		return g.asked[len(g.asked)-1]
	}
	Eventually(last, 3*time.Second, 5*time.Millisecond).Should(Equal("c"))
	Consistently(last, 100*time.Millisecond, 5*time.Millisecond).Should(Equal("c"))
	g.set("c", nil)
	Eventually(f.Lease, 3*time.Second, 5*time.Millisecond).Should(BeNumerically(">", 200*time.Millisecond))
	Eventually(last, 3*time.Second, 5*time.Millisecond).ShouldNot(Equal("c"))
	Consistently(last, 300*time.Millisecond, time.Millisecond).ShouldNot(Equal("c"), "it is not retried at once")
}

// Guards against a view that nobody confirmed: after all instances ended, a member answers with the
// state of its snapshot until it has a leader, which lacks keys that were removed since.
func TestFirstViewIsConfirmed(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(4, 2, false, "a"))
	var published []uint64
	f := follow.New(follow.Config{Links: grp, Seeds: func() []string { return []string{"a"} }, Lease: lease, Hold: 20 * time.Millisecond, Slack: 30 * time.Millisecond, Log: zerolog.Nop()})
	f.Subscribe(func(v *follow.View) { published = append(published, v.Routes.Table.Version) })
	g.Expect(f.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	g.Consistently(version(f)).WithTimeout(100 * time.Millisecond).Should(BeZero())
	g.Expect(f.Age()).To(Equal(follow.NeverConfirmed))
	grp.set("a", answer(5, 3, true, "a"))
	g.Eventually(version(f)).Should(Equal(uint64(3)))
	g.Expect(f.Stop(context.Background())).To(Succeed())
	g.Expect(published).To(Equal([]uint64{3}))
}

// Guards against a view that is published before it may be used: requests that wait for the first one
// would be refused.
func TestViewIsPublishedWithItsLease(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(4, 2, true, "a"))
	published := make(chan time.Duration, 1)
	f := follow.New(follow.Config{Links: grp, Seeds: func() []string { return []string{"a"} }, Lease: lease, Hold: 20 * time.Millisecond, Slack: 30 * time.Millisecond, Log: zerolog.Nop()})
	f.Subscribe(func(v *follow.View) { published <- v.Lease() })
	g.Expect(f.Start(context.Background())).To(Succeed())
	t.Cleanup(func() { _ = f.Stop(context.Background()) })
	g.Eventually(published).Should(Receive(BeNumerically(">", 0)))
}

// Guards against a first view that is never published because the answer that confirms it brings no
// further change.
func TestFirstViewIsPublishedOnceConfirmed(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(4, 2, false, "a"))
	f := start(t, grp, "a")
	g.Consistently(version(f)).WithTimeout(100 * time.Millisecond).Should(BeZero())
	grp.set("a", answer(4, 2, true, "a"))
	g.Eventually(version(f)).Should(Equal(uint64(2)))
	g.Expect(f.Lease()).To(BeNumerically(">", 0))
}

// Guards against a decision by an older view that rests on the confirmation of a later one.
func TestConfirmationExtendsTheLeaseOfItsViewOnly(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(1, 1, true, "a"))
	f := start(t, grp, "a")
	g.Eventually(version(f)).Should(Equal(uint64(1)))
	old := f.View()
	grp.set("a", answer(2, 2, true, "a"))
	g.Eventually(version(f)).Should(Equal(uint64(2)))
	g.Eventually(old.Lease).WithTimeout(2 * lease).Should(BeNumerically("<=", 0))
	g.Expect(f.Lease()).To(BeNumerically(">", 0))
}

// Guards against a lease that rests on the confirmation of a state that is older than the view.
func TestOlderConfirmedStateExtendsNoLease(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	grp.set("a", answer(5, 3, true, "a"))
	f := start(t, grp, "a")
	g.Eventually(f.Lease).Should(BeNumerically(">", 0))
	grp.set("a", answer(4, 2, true, "a"))
	g.Eventually(f.Lease).WithTimeout(2 * lease).Should(BeNumerically("<=", 0))
	g.Expect(version(f)()).To(Equal(uint64(3)))
}

// Guards against slots of plain services that several instances take for their own: a member that
// does not know all instances yet cannot tell the rank of one among them.
func TestRankOfAStartingMemberIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	known, starting := answer(1, 1, true, "a"), answer(2, 1, true, "a")
	known.Forwarders, known.Rank, starting.Forwarders, starting.Rank, starting.Starting = 9, 7, 2, 1, true
	grp.set("a", known)
	f := start(t, grp, "a")
	g.Eventually(func() int { return f.View().Rank }).Should(Equal(7))
	grp.set("a", starting)
	g.Eventually(func() uint64 { return f.View().Index }).Should(Equal(uint64(2)))
	g.Expect(f.View().Rank).To(Equal(7))
}

// Guards against an instance that takes a larger share of the common budgets than its own: a member that
// has just started knows only those instances that have asked it since.
func TestStartingMemberDoesNotLowerTheNumberOfInstances(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	many, few := answer(1, 1, true, "a"), answer(2, 1, true, "a")
	many.Forwarders, few.Forwarders, few.Starting = 9, 2, true
	grp.set("a", many)
	f := start(t, grp, "a")
	forwarders := func() int { return f.View().Forwarders }
	g.Eventually(forwarders).Should(Equal(9))
	grp.set("a", few)
	g.Eventually(func() uint64 { return f.View().Index }).Should(Equal(uint64(2)))
	g.Expect(forwarders()).To(Equal(9))
	known := *few
	known.Starting = false
	grp.set("a", &known)
	g.Eventually(forwarders).Should(Equal(2))
}

// Guards against an instance that takes a larger share of the common budgets than its own: a member that
// is cut off from the others forgets the instances that follow them.
func TestUnconfirmedAnswerDoesNotLowerTheNumberOfInstances(t *testing.T) {
	g := NewWithT(t)
	grp := &group{members: map[string]*member{}}
	many, few := answer(1, 1, true, "a"), answer(2, 1, false, "a")
	many.Forwarders, few.Forwarders = 9, 2
	grp.set("a", many)
	f := start(t, grp, "a")
	forwarders := func() int { return f.View().Forwarders }
	g.Eventually(forwarders).Should(Equal(9))
	grp.set("a", few)
	g.Consistently(forwarders).WithTimeout(300 * time.Millisecond).Should(Equal(9))
	confirmed := *few
	confirmed.Confirmed = true
	grp.set("a", &confirmed)
	g.Eventually(forwarders).Should(Equal(2))
}
