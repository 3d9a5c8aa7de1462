package usage_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/usage"
	core "github.com/comfreyladder/comfreyladder/core/usage"
)

const span = 5 * time.Second

func apply(m *usage.Machine, c usage.Command) {
	b, err := control.Marshal(&c)
	if err != nil {
		panic(err)
	}
	m.Apply(1, time.Unix(1000, 0), b)
}

func closeWindow(m *usage.Machine, window int64) { apply(m, usage.Command{Close: &window}) }

func report(m *usage.Machine, instance uint64, current int64, list ...core.Count) {
	apply(m, usage.Command{Counts: []core.Report{{Instance: instance, Current: current, Counts: list}}})
}

func count(window int64, organisation string, n uint64) core.Count {
	return core.Count{Window: window, Organisation: organisation, Requests: n}
}

// A holder sends a window's report and dies before the answer. More counts arrive, and its
// successor closes the window again. The organisation is billed by the first report, so the
// second close must change nothing.
func TestAClosedWindowNeverChanges(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	report(m, 1, 10, count(10, "o", 3))
	report(m, 2, 10, count(10, "o", 4))
	closeWindow(m, 9)
	g.Expect(m.Closed()).To(BeEmpty(), "windows before the first one cannot be closed")
	closeWindow(m, 10)
	first := m.Closed()[0]
	g.Expect(first.Totals).To(Equal([]usage.Total{{Organisation: "o", Requests: 7}}))
	g.Expect([]int{first.Instances, first.Missing}).To(Equal([]int{2, 2}))
	report(m, 2, 11, count(10, "o", 6))
	closeWindow(m, 10)
	g.Expect(m.Closed()).To(HaveLen(1))
	g.Expect(m.Closed()[0].Totals).To(Equal(first.Totals))
	g.Expect(m.Closed()[0].Late).To(Equal(uint64(2)), "late requests are visible to operators")
	g.Expect(m.Open()).To(HaveLen(1))
	apply(m, usage.Command{Settle: &usage.Settle{Window: 10, Outcome: usage.Acknowledged}})
	apply(m, usage.Command{Settle: &usage.Settle{Window: 10, Outcome: usage.Refused}})
	g.Expect(m.Open()).To(BeEmpty())
	g.Expect(m.Closed()[0].Outcome).To(Equal(usage.Acknowledged))
}

func TestWindowIsCompleteOnceAllInstancesReported(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	g.Expect(m.Complete(10)).To(BeFalse())
	report(m, 1, 10)
	report(m, 2, 10)
	g.Expect(m.Complete(10)).To(BeFalse())
	report(m, 1, 11)
	g.Expect(m.Complete(10)).To(BeFalse())
	report(m, 2, 12)
	g.Expect(m.Complete(10)).To(BeTrue())
	closeWindow(m, 10)
	g.Expect(m.Complete(11)).To(BeFalse(), "instance 1 is in window 11")
	closeWindow(m, 11)
	report(m, 2, 13)
	g.Expect(m.Complete(12)).To(BeFalse(), "instance 1 may be cut off, and come back with counts of 12")
	closeWindow(m, 12)
	report(m, 2, 14)
	g.Expect(m.Complete(13)).To(BeTrue(), "instance 1 has not reported since window 11 and is taken to have ended")
}

// A failure domain is cut off from the middle of one window to the middle of the second one
// after it. The first window is closed without its instances, at the latest possible time. The
// next window must wait for them too; otherwise organisations are billed for less than they used.
func TestNextWindowWaitsForMissingInstances(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	report(m, 1, 10, count(10, "o", 3))
	report(m, 2, 10, count(10, "o", 4))
	report(m, 2, 12, count(11, "o", 5))
	closeWindow(m, 10)
	g.Expect(m.Complete(11)).To(BeFalse(), "instance 1 has not reported window 11")
	report(m, 1, 12, count(10, "o", 6), count(11, "o", 7))
	g.Expect(m.Complete(11)).To(BeTrue())
	closeWindow(m, 11)
	g.Expect(m.Closed()[1].Totals).To(Equal([]usage.Total{{Organisation: "o", Requests: 12}}))
	g.Expect(m.Closed()[1].Missing).To(BeZero())
}

// An installation serves its first requests shortly before the end of a window, and the first
// report is committed in the next one. Its counts of the earlier window must be billed.
func TestFirstWindowIsTheEarliestOneWithCounts(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	report(m, 1, 11, count(10, "o", 12), count(11, "o", 3))
	closeWindow(m, 10)
	closeWindow(m, 11)
	g.Expect(m.Closed()).To(HaveLen(2))
	g.Expect(m.Closed()[0].Totals).To(Equal([]usage.Total{{Organisation: "o", Requests: 12}}))
}

// The instances report one after the other, in commands of different members. The one that is
// committed last began to serve first.
func TestFirstWindowMovesBackUntilOneIsClosed(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	report(m, 1, 11, count(11, "o", 3))
	report(m, 2, 11, count(9, "o", 4))
	next, _ := m.Next()
	g.Expect(next).To(Equal(int64(9)))
	for w := int64(9); w <= 11; w++ {
		closeWindow(m, w)
	}
	g.Expect(m.Closed()).To(HaveLen(3))
	g.Expect(m.Closed()[0].Totals).To(Equal([]usage.Total{{Organisation: "o", Requests: 4}}))
	report(m, 3, 12, count(8, "o", 5))
	next, _ = m.Next()
	g.Expect(next).To(Equal(int64(12)), "a window before a closed one must not be reported any more")
}

// A member replays a log whose first close names a later window than its first counts. It must
// go on like the members that have closed that window.
func TestFirstCloseDecidesTheFirstWindow(t *testing.T) {
	g := NewWithT(t)
	m := usage.New()
	report(m, 1, 11, count(10, "o", 12), count(11, "o", 3))
	closeWindow(m, 11)
	next, _ := m.Next()
	g.Expect(next).To(Equal(int64(12)))
	g.Expect(m.Closed()).To(HaveLen(1))
}

// The state is bounded even if no report is ever settled and instances come and go.
func TestTheStateIsBounded(t *testing.T) {
	m := usage.New()
	for w := range int64(5000) {
		report(m, uint64(1+w), w, count(w, "o", 1))
		closeWindow(m, w)
	}
	g := NewWithT(t)
	g.Expect(len(m.Closed())).To(BeNumerically("<", 3000))
	g.Expect(m.Closed()[len(m.Closed())-1].Window).To(Equal(int64(4999)))
	b, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(b)).To(BeNumerically("<", 300_000))
}

// source is one run of an instance, with the counts that are expected of it.
type source struct {
	counter *core.Counter
	truth   map[string]uint64
	last    []core.Report
}

// simulation has instances that report to two members, which commit to one state machine.
type simulation struct {
	*rapid.T
	m       *usage.Machine
	members []*core.Collector
	sources []*source
	starts  uint64
	now     time.Time
	// ended holds the counts of instances that have ended.
	ended map[string]uint64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		T: t, m: usage.New(), members: []*core.Collector{core.NewCollector(), core.NewCollector()},
		now: time.Unix(50, 0), ended: map[string]uint64{},
	}
	for range 3 {
		w.sources = append(w.sources, w.start())
	}
	return w
}

func (w *simulation) start() *source {
	w.starts++
	return &source{counter: core.NewCounter(w.starts, span), truth: map[string]uint64{}}
}

func (w *simulation) commit(member int) {
	list, revision := w.members[member].Uncommitted()
	apply(w.m, usage.Command{Counts: list})
	w.members[member].Committed(revision)
}

func (w *simulation) report(s *source, member int) {
	r, revision := s.counter.Report(w.now, fmt.Sprint(member))
	w.members[member].Add(&r)
	s.counter.Acknowledge(&r, revision, fmt.Sprint(member))
	s.last = append(s.last, r)
}

// add adds the counts of a source to a sum.
func (s *source) add(sum map[string]uint64) {
	for o, n := range s.truth {
		sum[o] += n
	}
}

// loseMember replaces a member that is lost with its uncommitted counts. Instances report all
// of their counts again to the other member, as to any member that they have not used before.
func (w *simulation) loseMember(member int) {
	w.members[member] = core.NewCollector()
	for _, s := range w.sources {
		w.report(s, 1-member)
		w.report(s, member)
	}
}

// end ends an instance after it has reported all of its counts.
func (w *simulation) end(s *source, member int) {
	w.report(s, member)
	s.add(w.ended)
	w.commit(member)
	*s = *w.start()
}

func (w *simulation) snapshot() {
	b, err := w.m.Snapshot()
	if err != nil {
		w.Fatal(err)
	}
	w.m = usage.New()
	if err := w.m.Restore(b); err != nil {
		w.Fatal(err)
	}
	if again, _ := w.m.Snapshot(); string(again) != string(b) {
		w.Fatal("a restored state differs")
	}
}

func (w *simulation) step() {
	s := rapid.SampledFrom(w.sources).Draw(w.T, "source")
	member := rapid.IntRange(0, 1).Draw(w.T, "member")
	switch rapid.IntRange(0, 7).Draw(w.T, "step") {
	case 0, 1:
		o := rapid.SampledFrom([]string{"o", "p"}).Draw(w.T, "organisation")
		s.counter.Add(w.now, o)
		s.truth[o]++
	case 2:
		w.report(s, member)
	case 3:
		if len(s.last) > 0 {
			r := rapid.SampledFrom(s.last).Draw(w.T, "doubled")
			w.members[member].Add(&r)
		}
	case 4:
		w.commit(member)
	case 5:
		w.loseMember(member)
	case 6:
		w.end(s, member)
	case 7:
		w.snapshot()
	}
}

// Instances count requests and report to two members. Reports are lost, duplicated and late,
// instances end and restart, and members commit what they collected, fail to, or are lost with
// it. Each request that was reported to a surviving member must be in the totals exactly once.
func TestEachReportedRequestCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
		}
		truth := w.ended
		for _, s := range w.sources {
			w.report(s, 0)
			s.add(truth)
		}
		w.commit(0)
		window, begun := w.m.Next()
		if !begun {
			return
		}
		closeWindow(w.m, window)
		totals := map[string]uint64{}
		for _, total := range w.m.Closed()[0].Totals {
			totals[total.Organisation] = total.Requests
		}
		if !maps.Equal(totals, truth) {
			t.Fatalf("%v instead of %v", totals, truth)
		}
	})
}
