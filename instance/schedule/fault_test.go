package schedule_test

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/schedule"
)

// partition partitions an instance: all messages from and to it are lost.
func (d *domain) partition(name string) {
	d.net.setLose(func(from, to, _ string) bool { return from == name || to == name })
}

func (d *domain) without(name string) []string {
	var out []string
	for _, n := range []string{"a", "b", "c"} {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

// deputy returns the instance that schedules while the elected one is unresponsive.
func (d *domain) deputy(elected string) string { return schedule.Elect(d.without(elected)) }

// agreedScheduler returns the scheduler that all given instances follow, including the deputy
// itself, or "" while they disagree.
func (d *domain) agreedScheduler(names ...string) string {
	agreed := ""
	for _, name := range names {
		st := d.services[name].Status()
		if st.Role != "scheduler" && st.Role != "follower" || agreed != "" && st.Scheduler != agreed {
			return ""
		}
		agreed = st.Scheduler
	}
	return agreed
}

// acquireInto acquires a grant in the background.
func (d *domain) acquireInto(got chan<- *schedule.Grant, name string) {
	tk := d.ticket("draft")
	go func() {
		g, _ := d.services[name].Acquire(context.Background(), tk)
		got <- g
	}()
}

// Guards against requests that hang, or slots that stay taken, after one instance fails.
// The scheduler fails while other instances have grants in flight and tickets queued. Its
// successor must count those grants before it issues new ones, and must serve the queued
// tickets without action by their callers.
func TestSchedulerFailsWithGrantsInFlight(t *testing.T) {
	d := newDomain(t, 2, "a", "b", "c")
	dead := d.scheduler()
	live := d.without(dead)
	held := []*schedule.Grant{d.acquire(live[0]), d.acquire(live[1])}
	waiting := d.acquireAsync(live[0])
	d.Eventually(func() int { return d.services[live[0]].Status().Waiting }).Should(Equal(1))

	d.partition(dead)
	d.net.setMembers(live...)
	d.Eventually(d.scheduler).Should(BeElementOf(live[0], live[1]))
	successor := d.scheduler()
	d.Eventually(d.inFlight(successor)).Should(Equal(2))
	d.Consistently(waiting, "200ms").ShouldNot(Receive(), "both slots are taken")

	held[0].Done(done)
	g := <-waiting
	held[1].Done(done)
	g.Done(done)
	d.Eventually(d.inFlight(successor)).Should(Equal(0))
}

// Guards against more requests on an engine than it has slots, which delays urgent work.
// The scheduler fails while one instance holds all slots. Another instance detects this
// seconds before the member list shows it, and must not grant itself a share of slots that
// are in use.
func TestSlotLimitHoldsBeforeMembersDetectSchedulerFailure(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	dead := d.scheduler()
	live := d.without(dead)
	var held []*schedule.Grant
	for range 3 {
		held = append(held, d.acquire(live[0]))
	}
	d.partition(dead)
	waiting := d.acquireAsync(live[1])
	d.Eventually(func() bool { return d.agreedScheduler(live...) == d.deputy(dead) }).Should(BeTrue())
	d.Eventually(d.inFlight(d.deputy(dead))).Should(Equal(3))
	d.Consistently(waiting, "300ms").ShouldNot(Receive(), "all three slots are taken")

	held[0].Done(done)
	(<-waiting).Done(done)
	held[1].Done(done)
	held[2].Done(done)
	d.Eventually(d.inFlight(d.deputy(dead))).Should(Equal(0))
}

// Guards against requests that wait forever while engines are idle. The link to the
// scheduler fails, and no other member is elected because the scheduler itself is alive.
// The deputy must schedule with all slots and later hand them back.
func TestDeputySchedulesWhileSchedulerIsUnresponsive(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	silent := d.scheduler()
	live := d.without(silent)
	d.partition(silent)
	got := make(chan *schedule.Grant, 4)
	for _, name := range []string{live[0], live[0], live[1], live[1]} {
		d.acquireInto(got, name)
	}
	held := []*schedule.Grant{<-got, <-got, <-got}
	d.Consistently(got, "100ms").ShouldNot(Receive(), "the engine has three slots")
	d.Expect(d.agreedScheduler(live...)).To(Equal(d.deputy(silent)))
	d.Expect(d.inFlight(d.deputy(silent))()).To(Equal(3))

	d.net.setLose(nil)
	d.Eventually(func() string { return d.agreedScheduler(live...) }).Should(Equal(silent))
	held[0].Done(done)
	fourth := <-got
	d.Eventually(d.inFlight(silent)).Should(Equal(3))
	for _, g := range append(held[1:], fourth) {
		g.Done(done)
	}
	d.Eventually(d.inFlight(silent)).Should(Equal(0))
}

// The same, when a single instance has lost its link to the scheduler: the deputy still
// reaches the scheduler and does not replace it. The instance then schedules for itself on
// its share, and later follows the scheduler again.
func TestInstanceSchedulesAloneIfDeputyReachesScheduler(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	elected := d.scheduler()
	deputy := d.deputy(elected)
	lonely := d.without(elected)[0]
	if lonely == deputy {
		lonely = d.without(elected)[1]
	}
	d.net.setLose(func(from, to, _ string) bool {
		return from == lonely && to == elected || from == elected && to == lonely
	})
	got := make(chan *schedule.Grant, 2)
	d.acquireInto(got, lonely)
	d.acquireInto(got, lonely)
	held := <-got
	d.Consistently(got, "100ms").ShouldNot(Receive(), "the share of each is one slot")
	d.Expect(d.services[lonely].Status().Role).To(Equal("alone"))
	d.Expect(d.services[deputy].Status().Scheduler).To(Equal(elected))
	d.Expect(d.inFlight(lonely)()).To(Equal(1))

	d.net.setLose(nil)
	d.Eventually(func() string { return d.services[lonely].Status().Role }).Should(Equal("follower"))
	second := <-got
	d.Eventually(d.inFlight(elected)).Should(Equal(2))
	held.Done(done)
	second.Done(done)
	d.Eventually(d.inFlight(elected)).Should(Equal(0))
}

// Guards against slots that leak until the scheduler restarts: instances crash with grants
// in flight that nobody will ever end.
func TestGrantsOfFailedInstanceEndWithItsLease(t *testing.T) {
	d := newDomain(t, 1, "a", "b", "c")
	dead := d.follower()
	d.acquire(dead)
	elected := d.scheduler()
	d.Expect(d.inFlight(elected)()).To(Equal(1))
	d.partition(dead)
	d.Eventually(d.inFlight(elected)).Should(Equal(0))
	d.acquire(elected).Done(done)
}

// Guards against a request that hangs forever and keeps its slot: the message with its
// grant was lost on a link that was being replaced.
func TestLostGrantIsRepeated(t *testing.T) {
	d := newDomain(t, 1, "a", "b", "c")
	name := d.follower()
	var lost atomic.Int64
	var submitted atomic.Bool
	d.net.setLose(func(_, to, channel string) bool {
		if to != name || channel != "schedule.down" || !submitted.Load() {
			return false
		}
		return lost.Add(1) <= 3
	})
	submitted.Store(true)
	g := d.acquire(name)
	d.Expect(lost.Load()).To(BeNumerically(">", 3))
	g.Done(done)
	d.Eventually(d.inFlight(d.scheduler())).Should(Equal(0))
}

// The same for lost tickets and for lost ends of grants.
func TestLostTicketsAndFinishesAreRepeated(t *testing.T) {
	d := newDomain(t, 1, "a", "b", "c")
	name := d.follower()
	rnd := rand.New(rand.NewSource(1))
	d.net.setLose(func(from, _, channel string) bool {
		return from == name && channel == "schedule.up" && rnd.Intn(2) == 0
	})
	for range 10 {
		d.acquire(name).Done(done)
	}
	d.Eventually(d.inFlight(d.scheduler())).Should(Equal(0))
}

// Guards against hanging requests and leaked slots while the scheduler changes repeatedly,
// links lose messages and callers cancel at any moment. In the end each request has been
// answered once and no slot is taken.
func TestNoRequestOrSlotIsLostWhileSchedulerChanges(t *testing.T) {
	d := newDomain(t, 4, "a", "b", "c")
	rnd := rand.New(rand.NewSource(7))
	d.net.setLose(func(string, string, string) bool { return rnd.Intn(10) == 0 })
	var running sync.WaitGroup
	var granted, refused atomic.Int64
	for n := range 300 {
		tk := d.ticket("draft")
		patience := time.Duration(50+n) * 10 * time.Millisecond
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			g, err := d.services[string("abc"[n%3])].Acquire(ctx, tk)
			if err != nil {
				refused.Add(1)
				return
			}
			granted.Add(1)
			time.Sleep(time.Duration(n%7) * time.Millisecond)
			g.Done(done)
		})
	}
	for n := range 12 {
		live := d.without(string("abcx"[n%4]))
		d.net.setMembers(live...)
		time.Sleep(40 * time.Millisecond)
	}
	d.net.setMembers("a", "b", "c")
	running.Wait()
	d.Expect(granted.Load() + refused.Load()).To(Equal(int64(300)))
	d.Expect(granted.Load()).To(BeNumerically(">", 0))
	d.net.setLose(nil)
	d.Eventually(d.scheduler).ShouldNot(BeEmpty())
	d.Eventually(func() int { return d.inFlight(d.scheduler())() }).Should(Equal(0))
}

// Guards against a new scheduler that has no measurements of the engines, and so uses slow
// ones, although its own requests as a follower have measured them.
func TestSuccessorKeepsMeasurementsMadeAsFollower(t *testing.T) {
	d := newDomain(t, 4, "a", "b", "c")
	dead := d.scheduler()
	live := d.without(dead)
	for _, name := range live {
		g := d.acquire(name)
		g.FirstToken()
		time.Sleep(time.Millisecond)
		g.Progress(16)
		g.Done(done)
	}
	d.partition(dead)
	d.net.setMembers(live...)
	d.Eventually(d.scheduler).Should(BeElementOf(live[0], live[1]))
	known := d.services[d.scheduler()].Status().Domain.Upstreams
	d.Expect(known).To(HaveLen(1))
	d.Expect(known[0].FirstToken).NotTo(BeZero())
	d.Expect(known[0].TokenRate).NotTo(BeZero())
}
