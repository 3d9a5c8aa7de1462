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

// cut cuts an instance off: nothing reaches it or comes from it.
func (d *domain) cut(name string) {
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

// deputy is who schedules while the elected one is silent.
func (d *domain) deputy(elected string) string { return schedule.Elect(d.without(elected)) }

// follows returns whom the instances follow, the deputy itself included; empty while
// they don't agree.
func (d *domain) follows(names ...string) string {
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

// acquireInto acquires in the background.
func (d *domain) acquireInto(got chan<- *schedule.Grant, name string) {
	tk := d.ticket("draft")
	go func() {
		g, _ := d.services[name].Acquire(context.Background(), tk)
		got <- g
	}()
}

// Requests hang, or slots stay taken, after the death of one instance.
// The scheduler dies with grants of the others in flight and tickets queued. Its
// successor must count those grants before it gives new ones, and must serve the
// queued tickets without their callers' doing.
func TestSchedulerDiesWithGrantsInFlight(t *testing.T) {
	d := newDomain(t, 2, "a", "b", "c")
	dead := d.scheduler()
	live := d.without(dead)
	held := []*schedule.Grant{d.acquire(live[0]), d.acquire(live[1])}
	waiting := d.later(live[0])
	d.Eventually(func() int { return d.services[live[0]].Status().Waiting }).Should(Equal(1))

	d.cut(dead)
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

// An engine gets more requests than it has slots, and urgent work waits there.
// The scheduler dies while one instance has all slots taken. Another instance notices
// the silence seconds before the members are told of the death, and grants itself its
// share of slots that are in use.
func TestNobodyGrantsOnTopOfOthersBeforeTheMembersKnowOfTheDeath(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	dead := d.scheduler()
	live := d.without(dead)
	var held []*schedule.Grant
	for range 3 {
		held = append(held, d.acquire(live[0]))
	}
	d.cut(dead)
	waiting := d.later(live[1])
	d.Eventually(func() bool { return d.follows(live...) == d.deputy(dead) }).Should(BeTrue())
	d.Eventually(d.inFlight(d.deputy(dead))).Should(Equal(3))
	d.Consistently(waiting, "300ms").ShouldNot(Receive(), "all three slots are taken")

	held[0].Done(done)
	(<-waiting).Done(done)
	held[1].Done(done)
	held[2].Done(done)
	d.Eventually(d.inFlight(d.deputy(dead))).Should(Equal(0))
}

// Requests wait for ever although engines idle: the link to the scheduler fell
// silent, and no other member is elected, since the scheduler itself is alive.
// A deputy stands in with all slots, and gives them back later.
func TestDeputyStandsInWhileTheSchedulerIsSilent(t *testing.T) {
	d := newDomain(t, 3, "a", "b", "c")
	silent := d.scheduler()
	live := d.without(silent)
	d.cut(silent)
	got := make(chan *schedule.Grant, 4)
	for _, name := range []string{live[0], live[0], live[1], live[1]} {
		d.acquireInto(got, name)
	}
	held := []*schedule.Grant{<-got, <-got, <-got}
	d.Consistently(got, "100ms").ShouldNot(Receive(), "the engine has three slots")
	d.Expect(d.follows(live...)).To(Equal(d.deputy(silent)))
	d.Expect(d.inFlight(d.deputy(silent))()).To(Equal(3))

	d.net.setLose(nil)
	d.Eventually(func() string { return d.follows(live...) }).Should(Equal(silent))
	held[0].Done(done)
	fourth := <-got
	d.Eventually(d.inFlight(silent)).Should(Equal(3))
	for _, g := range append(held[1:], fourth) {
		g.Done(done)
	}
	d.Eventually(d.inFlight(silent)).Should(Equal(0))
}

// The same where one instance alone has lost its link to the scheduler: the deputy
// hears the scheduler and does not stand in. The instance then schedules for itself
// on its share, and goes back later.
func TestInstanceSchedulesAloneWhereTheDeputyHearsTheScheduler(t *testing.T) {
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

// An engine serves fewer requests each day until the scheduler is restarted.
// Instances die with grants in flight that nobody will ever end.
func TestGrantsOfADeadInstanceEndWithItsLease(t *testing.T) {
	d := newDomain(t, 1, "a", "b", "c")
	dead := d.follower()
	d.acquire(dead)
	elected := d.scheduler()
	d.Expect(d.inFlight(elected)()).To(Equal(1))
	d.cut(dead)
	d.Eventually(d.inFlight(elected)).Should(Equal(0))
	d.acquire(elected).Done(done)
}

// One request hangs for ever while others pass it, and its slot stays taken.
// The message with its grant was lost on a link that was just being replaced.
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

// The same for the ticket on its way, and for the end of a grant.
func TestLostTicketsAndEndsAreRepeated(t *testing.T) {
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

// After a bad night some requests still wait and an engine has lost slots.
// The scheduler changes again and again, links lose messages, callers give up at
// any moment. In the end each request was answered once and no slot is taken.
func TestNothingIsLostWhileTheSchedulerKeepsChanging(t *testing.T) {
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

// Answers crawl on a slow engine for a while after each death of a scheduler.
// A follower takes the role over and knows of no engine how fast it is, although
// requests of its own ran there all the time.
func TestSuccessorKnowsWhatItLearnedAsAFollower(t *testing.T) {
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
	d.cut(dead)
	d.net.setMembers(live...)
	d.Eventually(d.scheduler).Should(BeElementOf(live[0], live[1]))
	known := d.services[d.scheduler()].Status().Domain.Upstreams
	d.Expect(known).To(HaveLen(1))
	d.Expect(known[0].FirstToken).NotTo(BeZero())
	d.Expect(known[0].TokenRate).NotTo(BeZero())
}
