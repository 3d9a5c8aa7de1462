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
	if r.Domain == "" {
		r.Domain = "teku-hall"
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
	settled.Settled = true
	g.Expect(ask(m, ttl+4, settled).Wait).To(BeZero())
	g.Expect(ask(m, ttl+5, fence.Request{Verb: fence.Release, Holder: "c"}).Granted).To(BeTrue())
	g.Expect(ask(m, ttl+6, acquire("d")).Wait).To(BeZero())
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
