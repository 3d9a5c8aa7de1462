package system_test

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	scheduleEngines = 2
	scheduleSlots   = 4
	allSlots        = scheduleEngines * scheduleSlots
	// outlive is the length of answers that take longer than it takes the domain
	// to replace a dead scheduler, at the engines' speed of four.
	outlive = 3000
)

// hall is one failure domain of three instances and two engines. The engines'
// load reports lag by more than a test takes, so that nobody can learn from them
// what is in flight.
type hall struct {
	*site
	engines   []*standIn
	scheduler *instance
	others    []*instance
}

func newHall() *hall {
	h := &hall{site: newSiteWith(siteOptions{settings: quickLimits}, 3, "hall")}
	h.startAll()
	for i := range scheduleEngines {
		h.engines = append(h.engines, h.engine(fmt.Sprintf("e-%d", i+1), "hall", "--slots", fmt.Sprint(scheduleSlots), "--speed", "4", "--report-lag", "30s"))
	}
	h.see("hall", scheduleEngines)
	// All follow the same one before the test begins.
	Eventually(func() bool {
		first := h.list("hall")[0].schedulerName()
		for _, in := range h.list("hall") {
			if first == "" || in.schedulerName() != first || in.alone() {
				return false
			}
		}
		h.scheduler = h.instances[first]
		return h.scheduler != nil
	}, patience, poll).Should(BeTrue())
	for _, in := range h.list("hall") {
		if in != h.scheduler {
			h.others = append(h.others, in)
		}
	}
	return h
}

func (in *instance) schedulerName() string {
	st, err := in.operator("alice").Status()
	if err != nil {
		return ""
	}
	return st.Scheduler
}

// alone reports whether the instance schedules for itself, beside the domain's
// scheduler: for a moment after its start both then grant the same slots.
func (in *instance) alone() bool {
	st, err := in.operator("alice").Status()
	return err != nil || st.SchedulesAs == "alone"
}

// has is how many requests the engine runs or keeps waiting now. A new one waits
// until the engine's next step, so that only the sum tells whether the engine was
// granted more than its slots. Its load report would lag.
func (s *standIn) has() int {
	c := s.counters()
	return int(c.Requests) - int(c.Completed) - int(c.Cancelled)
}

// left is how many requests the engines have, some of them perhaps of a dead
// instance until the engine notices.
func (h *hall) left() int {
	sum := 0
	for _, e := range h.engines {
		sum += e.has()
	}
	return sum
}

// taken is left, and expects that no engine has more than its slots.
func (h *hall) taken() int {
	sum := 0
	for _, e := range h.engines {
		n := e.has()
		Expect(n).To(BeNumerically("<=", scheduleSlots), "an engine was granted more than its slots")
		sum += n
	}
	return sum
}

// ask sends one request after another to the instances in turn, from several
// callers, until stop is closed.
func (h *hall) ask(to []*instance, callers int, stop chan struct{}, t *tally) *sync.WaitGroup {
	var group sync.WaitGroup
	for c := range callers {
		group.Add(1)
		go func() {
			defer GinkgoRecover()
			defer group.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				class := []string{"urgent", "bulk"}[n%2]
				prompt := fmt.Sprintf("question %d of caller %d", n, c)
				r := to[(n+c)%len(to)].chat(class, prompt, 40, n%3 > 0)
				t.add(r.judge(prompt, 40), r)
			}
		}()
	}
	return &group
}

// most is what the engines had at most during a round of requests.
type most struct{ engine, together int }

// exactly is a round in which all slots were taken at once and no engine had more
// than its own.
var exactly = most{engine: scheduleSlots, together: allSlots}

// round sends twice as many requests as there are slots and watches the engines.
func (h *hall) round(through []*instance) most {
	Eventually(h.left, patience, poll).Should(BeZero(), "nothing is left at the engines")
	replies := make(chan verdict, 2*allSlots)
	for n := range 2 * allSlots {
		go func() {
			defer GinkgoRecover()
			prompt := fmt.Sprint("last question ", n)
			r := through[n%len(through)].chat("urgent", prompt, 400, true)
			replies <- r.judge(prompt, 400)
		}()
	}
	m := most{}
	Eventually(func() int {
		together := 0
		for _, e := range h.engines {
			n := e.has()
			m.engine = max(m.engine, n)
			together += n
		}
		m.together = max(m.together, together)
		return len(replies)
	}, patience, poll).Should(Equal(2 * allSlots))
	for range 2 * allSlots {
		Expect(<-replies).To(Equal(wholeOwn))
	}
	return m
}

var _ = Describe("The instance that schedules for its failure domain", func() {
	// Callers of other instances wait for ever, or some slots are never used again.
	// The instance that schedules is killed while requests wait and run; those of
	// the others go on, and another instance takes over. The cause would be tickets
	// that were lost with it, or grants that nobody counts or ends.
	It("is killed under load: every request ends, and no slot is lost", func() {
		h := newHall()
		stop, t := make(chan struct{}), newTally()
		group := h.ask(h.list("hall"), 3*allSlots, stop, t)
		Eventually(func() int { return t.of(wholeOwn) }, patience, poll).Should(BeNumerically(">", 4*allSlots))

		h.scheduler.process.kill()
		Eventually(func() bool {
			a, b := h.others[0].schedulerName(), h.others[1].schedulerName()
			return a == b && a != "" && a != h.scheduler.name
		}, patience, poll).Should(BeTrue(), "another one schedules")
		before := t.of(wholeOwn)
		Eventually(func() int { return t.of(wholeOwn) }, patience, poll).Should(BeNumerically(">", before+4*allSlots))
		close(stop)
		group.Wait()
		Expect(t.of(wrong)).To(BeZero(), "%v", t.bad)
		Expect(h.round(h.others)).To(Equal(exactly))
	})

	// Engines get more requests than they have slots, so that urgent work waits at
	// the engine behind others. All slots are taken by long answers through the
	// instances that live on when the one that schedules is killed; the successor
	// knows nothing of them. They tell it, and it grants nothing before.
	It("is killed: its successor counts the grants in flight", func() {
		h := newHall()
		replies := make(chan verdict, 2*allSlots)
		ask := func(n, tokens int) {
			defer GinkgoRecover()
			prompt := fmt.Sprint("long question ", n)
			r := h.others[n%2].chat("urgent", prompt, tokens, true)
			replies <- r.judge(prompt, tokens)
		}
		for n := range allSlots {
			go ask(n, outlive)
		}
		Eventually(h.taken, patience, poll).Should(Equal(allSlots))

		h.scheduler.process.kill()
		for n := range allSlots {
			go ask(allSlots+n, 100)
		}
		for range 2 * allSlots {
			Eventually(func() int {
				h.taken()
				return len(replies)
			}, patience, poll).Should(BeNumerically(">", 0))
			Expect(<-replies).To(Equal(wholeOwn))
		}
		Expect(h.round(h.others)).To(Equal(exactly))
	})

	// Callers wait for an instance that answers nothing and is not gone either.
	// The instance that schedules is frozen under load and goes on ten seconds
	// later, with a view of the past; meanwhile another one took over.
	It("freezes under load and comes back: every request ends, and no slot is lost", func() {
		h := newHall()
		stop, t := make(chan struct{}), newTally()
		group := h.ask(h.others, 3*allSlots, stop, t)
		Eventually(func() int { return t.of(wholeOwn) }, patience, poll).Should(BeNumerically(">", 4*allSlots))

		h.scheduler.process.signal(syscall.SIGSTOP)
		time.Sleep(10 * time.Second)
		before := t.of(wholeOwn)
		Eventually(func() int { return t.of(wholeOwn) }, patience, poll).Should(BeNumerically(">", before+4*allSlots))
		h.scheduler.process.signal(syscall.SIGCONT)
		Eventually(func() bool {
			name := h.scheduler.schedulerName()
			return name != "" && name == h.others[0].schedulerName() && name == h.others[1].schedulerName()
		}, patience, poll).Should(BeTrue(), "all follow the same one again")
		before = t.of(wholeOwn)
		Eventually(func() int { return t.of(wholeOwn) }, patience, poll).Should(BeNumerically(">", before+4*allSlots))
		close(stop)
		group.Wait()
		Expect(t.of(wrong)).To(BeZero(), "%v", t.bad)
		Expect(h.round(h.list("hall"))).To(Equal(exactly))
	})
})
