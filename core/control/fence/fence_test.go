package fence_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

const ttl = 10 * time.Second

func apply(m *fence.Machine, at time.Duration, r fence.Request) fence.Grant {
	if r.Subject == "" {
		r.Subject = "teku-hall"
	}
	b, _ := control.Marshal(&r)
	var g fence.Grant
	if err := control.Unmarshal(m.Apply(1, time.Unix(0, 0).Add(at), b), &g); err != nil {
		panic(err)
	}
	return g
}

func acquire(holder string) fence.Request {
	return fence.Request{Verb: fence.Acquire, Holder: holder, TTL: ttl}
}

// Guards against two instances giving an engine conflicting orders. A holder pauses, its
// lease expires, another instance takes over, and the first one resumes. This goes wrong if
// numbers do not increase or the successor does not wait.
func TestSuccessorGetsGreaterNumberAndWaits(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	first := apply(m, 0, acquire("a"))
	g.Expect(first.Granted).To(BeTrue())
	g.Expect(first.Wait).To(BeZero())
	g.Expect(apply(m, ttl-1, acquire("b")).Err()).To(MatchError(fault.New(fault.Conflict, "")))
	second := apply(m, ttl, acquire("b"))
	g.Expect(second.Lease.Number).To(BeNumerically(">", first.Lease.Number))
	g.Expect(second.Wait).To(Equal(ttl))
	g.Expect(apply(m, ttl+1, acquire("a")).Granted).To(BeFalse())

	// b releases the lease before its wait has ended, so c has to wait as long.
	g.Expect(apply(m, ttl+2, fence.Request{Verb: fence.Release, Holder: "b"}).Granted).To(BeTrue())
	third := apply(m, ttl+3, acquire("c"))
	g.Expect(third.Wait).To(Equal(ttl))
	waited := acquire("c")
	waited.WaitDone = true
	g.Expect(apply(m, ttl+4, waited).Wait).To(BeZero())
	g.Expect(apply(m, ttl+5, fence.Request{Verb: fence.Release, Holder: "c"}).Granted).To(BeTrue())
	g.Expect(apply(m, ttl+6, acquire("d")).Wait).To(BeZero())
}

// Two instances acquire and lose a lease in turn within a second. Each uses a greater number
// than the one before, but they alternate faster than a call may take, so that the receiver
// sees their orders interleaved. The instance that regains the lease has to wait, also if its
// process has been restarted, and after a snapshot was restored.
func TestInstanceThatRegainsLeaseWaits(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	acquireOn := func(at time.Duration, instance, start string) fence.Grant {
		r := acquire(instance + "/" + start)
		r.Instance, r.ReturnDelay = instance, 3*time.Second
		grant := apply(m, at, r)
		g.Expect(grant.Granted).To(BeTrue())
		return grant
	}
	release := func(at time.Duration, holder string) {
		g.Expect(apply(m, at, fence.Request{Verb: fence.Release, Holder: holder}).Granted).To(BeTrue())
	}
	g.Expect(acquireOn(0, "a", "1").Wait).To(BeZero())
	release(1, "a/1")
	g.Expect(acquireOn(2, "a", "2").Wait).To(BeZero(), "nobody else held it")
	release(3, "a/2")
	g.Expect(acquireOn(4, "b", "1").Wait).To(BeZero(), "a released it, and b has not held it")
	release(5, "b/1")
	b, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	m = fence.New()
	g.Expect(m.Restore(b)).To(Succeed())
	g.Expect(acquireOn(6, "a", "3").Wait).To(Equal(3 * time.Second))
}

func TestPreviousInstancesAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	for i := range 100 {
		r := acquire(fmt.Sprint(i))
		r.Instance = r.Holder
		g.Expect(apply(m, time.Duration(i)*2*ttl, r).Granted).To(BeTrue())
	}
	l, _ := m.Lease("teku-hall")
	g.Expect(len(l.PreviousInstances)).To(BeNumerically("<", 50))
	g.Expect(l.PreviousInstances[len(l.PreviousInstances)-1]).To(Equal("98"))
}

// A holder that was suspended for longer than its lease must not rely on it after it resumes.
// The lease counts from before the request, not from the answer.
func TestHeldLease(t *testing.T) {
	g := NewWithT(t)
	var lease fence.HeldLease
	now := time.Unix(100, 0)
	timing := fence.Timing{TTL: ttl, Margin: time.Second, MaxEffectDelay: 2 * time.Second}
	g.Expect(lease.Valid(now)).To(BeFalse())
	newNumber, uninterrupted := lease.Update(now, now.Add(3*time.Second), &fence.Grant{Lease: fence.Lease{Number: 4}, Wait: 5 * time.Second}, timing)
	g.Expect([]bool{newNumber, uninterrupted}).To(Equal([]bool{true, false}))
	g.Expect(lease.Valid(now.Add(ttl - time.Second - 1))).To(BeTrue())
	g.Expect(lease.Valid(now.Add(ttl - time.Second))).To(BeFalse())
	g.Expect(lease.IsSettled(now.Add(10*time.Second - 1))).To(BeFalse())
	g.Expect(lease.IsSettled(now.Add(10 * time.Second))).To(BeTrue())
	lease.Expire(now.Add(time.Hour))
	g.Expect(lease.Number).To(BeZero())
	newNumber, uninterrupted = lease.Update(now.Add(time.Hour), now.Add(time.Hour), &fence.Grant{Lease: fence.Lease{Number: 5}}, timing)
	g.Expect([]bool{newNumber, uninterrupted}).To(Equal([]bool{true, true}))
}

func TestExpiredHolderGetsNewNumber(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	g.Expect(apply(m, 0, acquire("a")).Lease.Number).To(Equal(uint64(1)))
	g.Expect(apply(m, 1, acquire("a")).Lease.Number).To(Equal(uint64(1)))
	g.Expect(apply(m, 2*ttl, acquire("a")).Lease.Number).To(Equal(uint64(2)))
	g.Expect(apply(m, 0, fence.Request{Verb: fence.Acquire, Holder: "a"}).Err()).To(MatchError(fault.New(fault.Invalid, "")))
}

func TestNumbersGrowAcrossSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fence.New()
		now := time.Duration(0)
		var number uint64
		var holder string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, int(ttl)).Draw(t, "pause"))
			r := acquire(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "holder")))
			if rapid.Bool().Draw(t, "release") {
				r.Verb = fence.Release
			}
			g := apply(m, now, r)
			if g.Granted && r.Verb == fence.Acquire {
				if g.Lease.Number < number || g.Lease.Number == number && r.Holder != holder {
					t.Fatalf("number %d for %s after %d for %s", g.Lease.Number, r.Holder, number, holder)
				}
				number, holder = g.Lease.Number, r.Holder
			}
			if rapid.Bool().Draw(t, "restore") {
				b, _ := m.Snapshot()
				m = fence.New()
				if err := m.Restore(b); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
