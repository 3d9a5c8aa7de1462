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

// simulate runs a scenario in virtual time, with three members unless it starts others.
func simulate(t *testing.T, scenario func(w *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		w := newSimulation(t, "a", "b", "c")
		defer func() {
			w.stopAll()
			time.Sleep(time.Second)
		}()
		scenario(w)
		w.checkRules()
	})
}

// checkRules fails the test if the provider's rules were violated.
func (w *simulation) checkRules() {
	w.t.Helper()
	w.provider.mu.Lock()
	defer w.provider.mu.Unlock()
	Expect(w.provider.violations).To(BeEmpty())
}

// holder waits for a member that holds the duties and returns it.
func (w *simulation) holder() *testMember {
	w.t.Helper()
	for range 200 {
		for _, n := range w.live() {
			if n.Status().Number > 0 {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("no member holds the duties")
	return nil
}

// checkReported checks that the windows that began after a time and are due were reported in time
// with the right content.
func (w *simulation) checkReported(since time.Time) {
	w.t.Helper()
	first := usage.WindowAt(since, span) + 1
	last := usage.WindowAt(time.Now().Add(-delay), span) - 1
	Expect(last).To(BeNumerically(">=", first))
	for window := first; window <= last; window++ {
		body, ok := w.provider.got(window)
		Expect(ok).To(BeTrue(), "window %d was not reported", window)
		Expect(body).To(Equal("[{o 20}]"), "window %d", window)
	}
	w.checkInTime(first, last)
}

// checkInTime checks that reports arrived in time; they may be repeated later.
func (w *simulation) checkInTime(first, last int64) {
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
	simulate(t, func(w *simulation) {
		startedAt := time.Now()
		time.Sleep(60 * time.Second)
		w.checkReported(startedAt)
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

// An instance whose clock is a day behind sends the first report. The windows of that day must not
// be closed one by one before those of the others.
func TestClockADayBehindDelaysNoReport(t *testing.T) {
	simulate(t, func(w *simulation) {
		startedAt := time.Now()
		w.commitCount(3, usage.WindowAt(startedAt.Add(-24*time.Hour), span), 1)
		time.Sleep(60 * time.Second)
		w.checkReported(startedAt)
	})
}

// The holder is killed after its report has arrived and before the answer, and more counts are
// committed. If its successor computed the totals again, the organisation would be billed by two
// different reports. It must send the agreed totals.
func TestSuccessorSendsSameReport(t *testing.T) {
	simulate(t, func(w *simulation) {
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
		w.commitCount(1, window, 999)
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

// The holder freezes while its renewal is being answered or a call is about to be sent, another
// member takes over, and the holder resumes after that. None of its calls may arrive any more.
func TestFrozenHolderSendsNothingLate(t *testing.T) {
	simulate(t, func(w *simulation) {
		time.Sleep(12 * time.Second)
		begun := time.Now()
		for i := range 12 {
			// Freezes at a different time between two renewals in each round.
			time.Sleep(time.Duration(i) * 53 * time.Millisecond)
			n := w.holder()
			n.freezeNext([]freezePoint{renewing, sending}[i%2])
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
		w.checkReported(begun)
	})
}

// Members stop one after the other and hand over at once, as in a rolling restart, while calls are
// made all the time. The member that restarted first is back before the last one has held the duties
// for long: without a delay the duties would return to it within the time that the rules forbid.
func TestRollingRestart(t *testing.T) {
	simulate(t, func(w *simulation) {
		w.members["c"].kill()
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
		w.checkReported(begun)
	})
}

// A call is in flight when the holder stops, and takes longer than the first call of its successor.
func TestCallInFlightArrivesBeforeSuccessorsCalls(t *testing.T) {
	simulate(t, func(w *simulation) {
		time.Sleep(11 * time.Second)
		w.provider.set(func(p *provider) { p.lost = 1 << 30 })
		for range 20 {
			n := w.holder()
			n.mu.Lock()
			n.latency = 190 * time.Millisecond
			n.mu.Unlock()
			time.Sleep(5 * time.Second)
			for n.addInFlight(0) == 0 {
				time.Sleep(time.Millisecond)
			}
			Expect(n.Drain(context.Background())).To(Succeed())
			time.Sleep(time.Second)
			n.kill()
			w.run(n.name)
		}
	})
}

// An instance is cut off for six seconds and reports its counts after that: the organisation of its
// callers must be billed correctly. An instance that is gone for good must not delay a report beyond
// its due time.
func TestReportWaitsForInstancesThatAreCutOff(t *testing.T) {
	simulate(t, func(w *simulation) {
		begun := time.Now()
		time.Sleep(14 * time.Second)
		w.setSilent(2)
		time.Sleep(6 * time.Second)
		w.setSilent(0)
		time.Sleep(25 * time.Second)
		w.checkReported(begun)
		w.setSilent(2)
		since := time.Now()
		time.Sleep(30 * time.Second)
		first := usage.WindowAt(since, span) + 1
		for window := first; window < first+3; window++ {
			body, _ := w.provider.got(window)
			Expect(body).To(Equal("[{o 10}]"))
		}
		w.checkInTime(first, first+2)
	})
}

// The holder is cut off from the provider while another member is not: no window may be missed.
func TestLeaseMovesToMemberThatReachesProvider(t *testing.T) {
	simulate(t, func(w *simulation) {
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
			Expect(w.holder().Status().Number).To(Equal(number+1), "a member that cannot reach the provider does not try")
		}
		time.Sleep(15 * time.Second)
		w.checkReported(begun)
	})
}

// Two members lose their connection to the provider in turn, each for less time than the other one
// has to wait before it may hold the duties again.
func TestLeaseDoesNotAlternateBetweenMembers(t *testing.T) {
	simulate(t, func(w *simulation) {
		w.members["c"].kill()
		for range 30 {
			time.Sleep(2 * time.Second)
			n := w.holder()
			w.provider.set(func(p *provider) { p.unreachable = map[string]bool{n.name: true} })
		}
		w.provider.set(func(p *provider) { p.unreachable = nil })
		time.Sleep(10 * time.Second)
		begun := time.Now()
		time.Sleep(20 * time.Second)
		w.checkReported(begun)
	})
}

// The holder is cut off from the group, and later connected again.
func TestHolderWithoutQuorumStops(t *testing.T) {
	simulate(t, func(w *simulation) {
		begun := time.Now()
		time.Sleep(11 * time.Second)
		n := w.holder()
		n.setCut(true)
		time.Sleep(9 * time.Second)
		Expect(w.holder().name).NotTo(Equal(n.name))
		n.setCut(false)
		time.Sleep(20 * time.Second)
		w.checkReported(begun)
	})
}

// All members are killed at once, repeatedly, and restart from the log.
func TestRecoversAfterAllMembersAreKilled(t *testing.T) {
	simulate(t, func(w *simulation) {
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
		w.checkReported(begun)
	})
}

// The leadership moves to a member whose clock is ahead by more than a lease, and back: by the time
// of the log the lease ends at once, while its holder still relies on it.
func TestLogTimeDoesNotEndLeaseEarly(t *testing.T) {
	simulate(t, func(w *simulation) {
		time.Sleep(11 * time.Second)
		for _, ahead := range []time.Duration{10 * time.Second, 0, 25 * time.Second} {
			w.mu.Lock()
			w.clockAhead = ahead
			w.mu.Unlock()
			time.Sleep(15 * time.Second)
		}
	})
}

// The provider takes 2.5 seconds for an answer, then refuses calls for their rate, then loses
// answers: reports may be late only by as much as the provider delays them.
func TestSlowAndOverloadedProvider(t *testing.T) {
	simulate(t, func(w *simulation) {
		begun := time.Now()
		time.Sleep(7 * time.Second)
		w.provider.set(func(p *provider) { p.answer = 2500 * time.Millisecond })
		time.Sleep(20 * time.Second)
		w.provider.set(func(p *provider) { p.answer, p.busy, p.lost = 0, 10, 0 })
		time.Sleep(20 * time.Second)
		w.provider.set(func(p *provider) { p.lost = 6 })
		time.Sleep(30 * time.Second)
		w.checkReported(begun)
		Expect(len(w.provider.arrivals())).To(BeNumerically("<", 40), "calls cost")
		Expect(w.holder().Status().Number).To(Equal(uint64(1)), "another holder would have the same faults")
	})
}

// No member can reach the provider for a while; then all windows are due at once.
func TestLateWindowsAreReportedTogether(t *testing.T) {
	simulate(t, func(w *simulation) {
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

// A holder that stops releases the lease, and its successor takes over at once.
func TestStoppingHolderHandsOver(t *testing.T) {
	simulate(t, func(w *simulation) {
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

// Members freeze, are killed and restarted, lose the group or the provider, and answers are lost, all
// at random. The provider's rules must hold throughout, and once all faults are over the windows must
// be reported.
func TestRulesHoldUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(w *simulation) { w.injectRandomFaults(rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func (w *simulation) injectRandomFaults(r *rand.Rand) {
	names := []string{"a", "b", "c"}
	frozen := map[string]bool{}
	for range 40 {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		name := names[r.IntN(3)]
		w.fleet.set(func(f *fleet) { f.need = float64(r.IntN(60)) })
		w.mu.Lock()
		n := w.members[name]
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
			w.clockAhead = time.Duration(r.IntN(5000)) * time.Millisecond
			w.mu.Unlock()
		}
	}
	for _, name := range names {
		w.mu.Lock()
		n := w.members[name]
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
	w.checkReported(begun)
}
