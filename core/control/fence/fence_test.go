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

func ask(m *fence.Machine, at time.Duration, r fence.Request) fence.Grant {
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

// What a user would see: two instances give an engine opposite orders. What
// happens: the issuer freezes, its lease runs out, another takes over, the first
// wakes up. Cause: numbers that do not grow, or a successor that does not wait.
func TestSuccessorHasAGreaterNumberAndWaits(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	first := ask(m, 0, acquire("a"))
	g.Expect(first.Granted).To(BeTrue())
	g.Expect(first.Wait).To(BeZero())
	g.Expect(ask(m, ttl-1, acquire("b")).Err()).To(MatchError(fault.New(fault.Conflict, "")))
	second := ask(m, ttl, acquire("b"))
	g.Expect(second.Lease.Number).To(BeNumerically(">", first.Lease.Number))
	g.Expect(second.Wait).To(Equal(ttl))
	g.Expect(ask(m, ttl+1, acquire("a")).Granted).To(BeFalse())

	// b gives up without having waited: c owes the same wait.
	g.Expect(ask(m, ttl+2, fence.Request{Verb: fence.Release, Holder: "b"}).Granted).To(BeTrue())
	third := ask(m, ttl+3, acquire("c"))
	g.Expect(third.Wait).To(Equal(ttl))
	settled := acquire("c")
	settled.WaitDone = true
	g.Expect(ask(m, ttl+4, settled).Wait).To(BeZero())
	g.Expect(ask(m, ttl+5, fence.Request{Verb: fence.Release, Holder: "c"}).Granted).To(BeTrue())
	g.Expect(ask(m, ttl+6, acquire("d")).Wait).To(BeZero())
}

// Two machines lose and take a lease by turns within a second. Each act has a greater
// number than the one before, but the acts go to and fro faster than a call may take: who
// is called sees the orders of both mixed. The machine that comes back has to wait, also
// when its process is a new one, and after a snapshot.
func TestAMachineThatComesBackWaits(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	take := func(at time.Duration, machine, start string) fence.Grant {
		r := acquire(machine + "/" + start)
		r.Instance, r.ReturnDelay = machine, 3*time.Second
		grant := ask(m, at, r)
		g.Expect(grant.Granted).To(BeTrue())
		return grant
	}
	give := func(at time.Duration, holder string) {
		g.Expect(ask(m, at, fence.Request{Verb: fence.Release, Holder: holder}).Granted).To(BeTrue())
	}
	g.Expect(take(0, "a", "1").Wait).To(BeZero())
	give(1, "a/1")
	g.Expect(take(2, "a", "2").Wait).To(BeZero(), "nobody else held it")
	give(3, "a/2")
	g.Expect(take(4, "b", "1").Wait).To(BeZero(), "a released it, and b has not held it")
	give(5, "b/1")
	b, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	m = fence.New()
	g.Expect(m.Restore(b)).To(Succeed())
	g.Expect(take(6, "a", "3").Wait).To(Equal(3 * time.Second))
}

func TestMachinesThatAreRememberedAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	for i := range 100 {
		r := acquire(fmt.Sprint(i))
		r.Instance = r.Holder
		g.Expect(ask(m, time.Duration(i)*2*ttl, r).Granted).To(BeTrue())
	}
	l, _ := m.Lease("teku-hall")
	g.Expect(len(l.PreviousInstances)).To(BeNumerically("<", 50))
	g.Expect(l.PreviousInstances[len(l.PreviousInstances)-1]).To(Equal("98"))
}

// A holder that was suspended for longer than its lease believes in it no more when it
// goes on, and the lease counts from before the request, not from the answer.
func TestTheHoldersSide(t *testing.T) {
	g := NewWithT(t)
	var h fence.HeldLease
	now := time.Unix(100, 0)
	terms := fence.Timing{TTL: ttl, Margin: time.Second, MaxEffectDelay: 2 * time.Second}
	g.Expect(h.Valid(now)).To(BeFalse())
	begun, alone := h.Update(now, now.Add(3*time.Second), &fence.Grant{Lease: fence.Lease{Number: 4}, Wait: 5 * time.Second}, terms)
	g.Expect([]bool{begun, alone}).To(Equal([]bool{true, false}))
	g.Expect(h.Valid(now.Add(ttl - time.Second - 1))).To(BeTrue())
	g.Expect(h.Valid(now.Add(ttl - time.Second))).To(BeFalse())
	g.Expect(h.IsSettled(now.Add(10*time.Second - 1))).To(BeFalse())
	g.Expect(h.IsSettled(now.Add(10 * time.Second))).To(BeTrue())
	h.Expire(now.Add(time.Hour))
	g.Expect(h.Number).To(BeZero())
	begun, alone = h.Update(now.Add(time.Hour), now.Add(time.Hour), &fence.Grant{Lease: fence.Lease{Number: 5}}, terms)
	g.Expect([]bool{begun, alone}).To(Equal([]bool{true, true}))
}

func TestHolderThatRanOutGetsANewNumber(t *testing.T) {
	g := NewWithT(t)
	m := fence.New()
	g.Expect(ask(m, 0, acquire("a")).Lease.Number).To(Equal(uint64(1)))
	g.Expect(ask(m, 1, acquire("a")).Lease.Number).To(Equal(uint64(1)))
	g.Expect(ask(m, 2*ttl, acquire("a")).Lease.Number).To(Equal(uint64(2)))
	g.Expect(ask(m, 0, fence.Request{Verb: fence.Acquire, Holder: "a"}).Err()).To(MatchError(fault.New(fault.Invalid, "")))
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
			g := ask(m, now, r)
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
