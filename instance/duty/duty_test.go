package duty_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/usage"
)

// play runs a story in virtual time, with three members unless it starts others.
func play(t *testing.T, story func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		w := newWorld(t, "a", "b", "c")
		defer func() {
			w.stopAll()
			time.Sleep(time.Second)
		}()
		story(w)
		w.kept()
	})
}

// kept checks the provider's rules.
func (w *world) kept() {
	w.t.Helper()
	w.provider.mu.Lock()
	defer w.provider.mu.Unlock()
	Expect(w.provider.broken).To(BeEmpty())
}

// holder returns the member that holds the duties, once there is one.
func (w *world) holder() *node {
	w.t.Helper()
	for range 200 {
		for _, n := range w.live() {
			if n.Status().Number > 0 {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("nobody holds the duties")
	return nil
}

// reported checks that the windows that began after a time and are due have been reported
// in time, each once.
func (w *world) reported(since time.Time) {
	w.t.Helper()
	first := usage.WindowAt(since, span) + 1
	last := usage.WindowAt(time.Now().Add(-delay), span) - 1
	Expect(last).To(BeNumerically(">=", first))
	for window := first; window <= last; window++ {
		body, ok := w.provider.got(window)
		Expect(ok).To(BeTrue(), "window %d was not reported", window)
		Expect(body).To(Equal("[{o 20}]"), "window %d", window)
	}
	w.inTime(first, last)
}

// inTime checks that reports came in time; they may be repeated later.
func (w *world) inTime(first, last int64) {
	w.t.Helper()
	seen := map[int64]bool{}
	for _, a := range w.provider.arrivals() {
		if a.window < first || a.window > last || seen[a.window] {
			continue
		}
		seen[a.window] = true
		Expect(a.at).To(BeTemporally("<=", usage.EndOf(a.window, span).Add(delay)), "window %d", a.window)
	}
}

func TestEachWindowIsReportedOnce(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		time.Sleep(60 * time.Second)
		w.reported(begun)
		seen := map[int64]int{}
		for _, a := range w.provider.arrivals() {
			if a.order != nil {
				continue
			}
			seen[a.window]++
			Expect(a.number).To(Equal(uint64(1)))
			Expect(seen[a.window]).To(Equal(1), "calls cost")
		}
	})
}

// The holder is killed after its report has arrived and before the answer, and more counts
// come in. An organisation would be billed by two reports that differ if its successor
// added up again: it sends what was agreed on.
func TestASuccessorSendsTheSameReport(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(12 * time.Second)
		w.provider.set(func(p *provider) { p.answer = time.Minute })
		window := usage.WindowAt(time.Now(), span)
		for {
			time.Sleep(500 * time.Millisecond)
			if _, ok := w.provider.got(window); ok {
				break
			}
		}
		before := w.holder()
		before.kill()
		w.tell(1, window, 999)
		w.provider.set(func(p *provider) { p.answer = 0 })
		time.Sleep(20 * time.Second)
		Expect(w.holder()).NotTo(BeIdenticalTo(before))
		again := 0
		for _, a := range w.provider.arrivals() {
			if a.window == window && a.machine != before.name {
				again++
			}
		}
		Expect(again).To(BeNumerically(">=", 1))
	})
}

// The holder freezes while the answer to its renewal is on its way, another one takes over,
// and it wakes up after that. Nothing of it may arrive any more.
func TestAFrozenHolderSendsNothingLate(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(12 * time.Second)
		begun := time.Now()
		for i := range 12 {
			// At another moment between two renewals each time.
			time.Sleep(time.Duration(i) * 53 * time.Millisecond)
			n := w.holder()
			n.freezeNext([]place{renewing, sending}[i%2])
			for !n.frozen() {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
			w.provider.set(func(p *provider) { p.lost = 20 })
			time.Sleep(3 * time.Second)
			n.thaw()
			time.Sleep(2 * time.Second)
			w.provider.set(func(p *provider) { p.lost = 0 })
		}
		time.Sleep(15 * time.Second)
		w.reported(begun)
	})
}

// Members stop one after the other and hand over at once, as in a restart of all, while
// calls are made all the time. The one that starts first is back before the last one has
// acted for long: by the order of calls they would act to and fro.
func TestMembersThatRestartInTurn(t *testing.T) {
	play(t, func(w *world) {
		w.nodes["c"].kill()
		time.Sleep(11 * time.Second)
		w.provider.set(func(p *provider) { p.lost = 1 << 30 })
		time.Sleep(10 * time.Second)
		for range 6 {
			n := w.holder()
			Expect(n.Drain(context.Background())).To(Succeed())
			n.kill()
			time.Sleep(300 * time.Millisecond)
			w.run(n.name)
			time.Sleep(500 * time.Millisecond)
		}
		w.provider.set(func(p *provider) { p.lost = 0 })
		time.Sleep(10 * time.Second)
		begun := time.Now()
		time.Sleep(20 * time.Second)
		w.reported(begun)
	})
}

// A call is on its way when the holder stops, and takes longer than its successor's first
// one.
func TestACallUnderWayArrivesBeforeTheNextHolders(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(11 * time.Second)
		w.provider.set(func(p *provider) { p.lost = 1 << 30 })
		for range 20 {
			n := w.holder()
			n.mu.Lock()
			n.trip = 190 * time.Millisecond
			n.mu.Unlock()
			time.Sleep(5 * time.Second)
			for n.flies(0) == 0 {
				time.Sleep(time.Millisecond)
			}
			Expect(n.Drain(context.Background())).To(Succeed())
			time.Sleep(time.Second)
			n.kill()
			w.run(n.name)
		}
	})
}

// An instance is cut off for six seconds and tells what it counted after that: its callers'
// organisation is billed right. One that is gone for good holds up no report for longer
// than it may be late.
func TestInstancesThatAreCutOffAreWaitedFor(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		time.Sleep(14 * time.Second)
		w.setSilent(2)
		time.Sleep(6 * time.Second)
		w.setSilent(0)
		time.Sleep(25 * time.Second)
		w.reported(begun)
		w.setSilent(2)
		since := time.Now()
		time.Sleep(30 * time.Second)
		first := usage.WindowAt(since, span) + 1
		for window := first; window < first+3; window++ {
			body, _ := w.provider.got(window)
			Expect(body).To(Equal("[{o 10}]"))
		}
		w.inTime(first, first+2)
	})
}

// A member is cut off from the provider while it holds the duties, and the others are not:
// no window may be missed for it.
func TestDutiesGoToWhoReachesTheProvider(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		for range 4 {
			time.Sleep(10 * time.Second)
			n := w.holder()
			number := n.Status().Number
			var left string
			w.provider.set(func(p *provider) {
				p.unreachable = map[string]bool{n.name: true}
				for _, other := range w.live() {
					if !p.unreachable[other.name] && len(p.unreachable) < 2 {
						p.unreachable[other.name] = true
					} else if other != n {
						left = other.name
					}
				}
			})
			time.Sleep(10 * time.Second)
			Expect(w.holder().name).To(Equal(left))
			Expect(w.holder().Status().Number).To(Equal(number+1), "who can't reach the provider doesn't try")
		}
		time.Sleep(15 * time.Second)
		w.reported(begun)
	})
}

// Two members lose the way to the provider by turns, each for less time than the other one
// may not act again.
func TestDutiesDoNotGoToAndFro(t *testing.T) {
	play(t, func(w *world) {
		w.nodes["c"].kill()
		for range 30 {
			time.Sleep(2 * time.Second)
			n := w.holder()
			w.provider.set(func(p *provider) { p.unreachable = map[string]bool{n.name: true} })
		}
		w.provider.set(func(p *provider) { p.unreachable = nil })
		time.Sleep(10 * time.Second)
		begun := time.Now()
		time.Sleep(20 * time.Second)
		w.reported(begun)
	})
}

// The half of the group with the holder is cut off, then the cut heals.
func TestAHolderWithoutAQuorumStops(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		time.Sleep(11 * time.Second)
		n := w.holder()
		n.setCut(true)
		time.Sleep(9 * time.Second)
		Expect(w.holder().name).NotTo(Equal(n.name))
		n.setCut(false)
		time.Sleep(20 * time.Second)
		w.reported(begun)
	})
}

// All members are killed at once, again and again, and start with what the log holds.
func TestAllKilled(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		for range 4 {
			time.Sleep(7 * time.Second)
			for _, n := range w.live() {
				n.kill()
			}
			time.Sleep(time.Second)
			for _, name := range []string{"a", "b", "c"} {
				w.run(name)
			}
		}
		time.Sleep(20 * time.Second)
		w.reported(begun)
	})
}

// The lead goes to a member whose clock is ahead by more than a lease, and back: by the
// log's time the lease is over at once, while its holder still counts on it.
func TestTheLogsTimeEndsNoLeaseEarly(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(11 * time.Second)
		for _, ahead := range []time.Duration{10 * time.Second, 0, 25 * time.Second} {
			w.mu.Lock()
			w.ahead = ahead
			w.mu.Unlock()
			time.Sleep(15 * time.Second)
		}
	})
}

// The provider takes two seconds for an answer, then answers nothing for some, then calls
// come too fast for it: reports are late by no more than it is.
func TestASlowAndABusyProvider(t *testing.T) {
	play(t, func(w *world) {
		begun := time.Now()
		time.Sleep(7 * time.Second)
		w.provider.set(func(p *provider) { p.answer = 2500 * time.Millisecond })
		time.Sleep(20 * time.Second)
		w.provider.set(func(p *provider) { p.answer, p.busy, p.lost = 0, 10, 0 })
		time.Sleep(20 * time.Second)
		w.provider.set(func(p *provider) { p.lost = 6 })
		time.Sleep(30 * time.Second)
		w.reported(begun)
		Expect(len(w.provider.arrivals())).To(BeNumerically("<", 40), "calls cost")
		Expect(w.holder().Status().Number).To(Equal(uint64(1)), "another holder would fare no better")
	})
}

// The provider can't be reached by anybody for a while; then all windows are due at once.
func TestLateWindowsAreReportedTogether(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(11 * time.Second)
		w.provider.set(func(p *provider) { p.unreachable = map[string]bool{"a": true, "b": true, "c": true} })
		begun := time.Now()
		time.Sleep(30 * time.Second)
		w.provider.set(func(p *provider) { p.unreachable = nil })
		time.Sleep(9 * time.Second)
		first := usage.WindowAt(begun, span) + 1
		for window := first; window < first+5; window++ {
			body, ok := w.provider.got(window)
			Expect(ok).To(BeTrue(), "window %d", window)
			Expect(body).To(Equal("[{o 20}]"))
		}
	})
}

// A holder that stops hands over: its successor acts at once.
func TestAHolderThatStopsHandsOver(t *testing.T) {
	play(t, func(w *world) {
		time.Sleep(8 * time.Second)
		n := w.holder()
		begun := time.Now()
		Expect(n.Drain(context.Background())).To(Succeed())
		n.kill()
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		for n.name == w.holder().name {
			time.Sleep(50 * time.Millisecond)
		}
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
	})
}

// Members freeze, are killed and start again, lose the way to the group or to the provider,
// and answers are lost, all by lot. Whatever comes, the provider's rules hold, and once all
// is well the windows are reported.
func TestRulesHoldThroughDrawnFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, func(w *world) { w.drawn(rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func (w *world) drawn(r *rand.Rand) {
	names := []string{"a", "b", "c"}
	frozen := map[string]bool{}
	for range 40 {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		name := names[r.IntN(3)]
		w.fleet.set(func(f *fleet) { f.need = float64(r.IntN(60)) })
		w.mu.Lock()
		n := w.nodes[name]
		w.mu.Unlock()
		switch step := r.IntN(9); {
		case n == nil:
			w.run(name)
		case frozen[name]:
			n.thaw()
			frozen[name] = false
		case step <= 1:
			n.freeze()
			frozen[name] = true
		case step == 2:
			n.kill()
		case step <= 4:
			n.setCut(!n.isCut())
		case step <= 6:
			w.provider.set(func(p *provider) { p.unreachable[name] = !p.unreachable[name] })
		case step == 7:
			w.provider.set(func(p *provider) { p.lost, p.busy = r.IntN(3), r.IntN(3) })
		case step == 8:
			w.mu.Lock()
			w.ahead = time.Duration(r.IntN(5000)) * time.Millisecond
			w.mu.Unlock()
		}
	}
	for _, name := range names {
		w.mu.Lock()
		n := w.nodes[name]
		w.mu.Unlock()
		if n == nil {
			n = w.run(name)
		}
		n.thaw()
		n.setCut(false)
	}
	w.provider.set(func(p *provider) { p.unreachable, p.lost, p.busy = map[string]bool{}, 0, 0 })
	time.Sleep(15 * time.Second)
	begun := time.Now()
	time.Sleep(25 * time.Second)
	w.reported(begun)
}
