package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/usage"
)

const span = 5 * time.Second

func at(window int64, into time.Duration) time.Time {
	return time.Unix(0, window*int64(span)).Add(into)
}

func TestWindowsBeginAtTheEpoch(t *testing.T) {
	g := NewWithT(t)
	g.Expect(usage.WindowAt(time.Unix(0, 0), span)).To(Equal(int64(0)))
	g.Expect(usage.WindowAt(time.Unix(1767225604, 999_999_999), span)).To(Equal(int64(353445120)))
	g.Expect(usage.WindowAt(time.Unix(1767225605, 0), span)).To(Equal(int64(353445121)))
	g.Expect(usage.WindowAt(time.Unix(-1, 0), span)).To(Equal(int64(-1)))
	g.Expect(usage.EndOf(353445120, span)).To(Equal(time.Unix(1767225605, 0).UTC()))
}

func counts(r *usage.Report) map[int64]map[string]uint64 {
	out := map[int64]map[string]uint64{}
	for _, n := range r.Counts {
		if out[n.Window] == nil {
			out[n.Window] = map[string]uint64{}
		}
		out[n.Window][n.Organisation] = n.Requests
	}
	return out
}

// An instance reports changes to a member that is lost before it commits them. The next member
// must get all counts again; otherwise the organisation is billed for too little.
func TestNewMemberGetsAllCounts(t *testing.T) {
	g := NewWithT(t)
	c := usage.NewCounter(7, span)
	c.Add(at(10, time.Second), "o")
	c.Add(at(10, time.Second), "p")
	r, rev := c.Report(at(10, 2*time.Second), "a")
	g.Expect(r.Instance).To(Equal(uint64(7)))
	g.Expect(r.Current).To(Equal(int64(10)))
	g.Expect(counts(&r)).To(Equal(map[int64]map[string]uint64{10: {"o": 1, "p": 1}}))
	again, _ := c.Report(at(10, 2*time.Second), "a")
	g.Expect(again).To(Equal(r), "not acknowledged yet")
	c.Acknowledge(&r, rev, "a")
	r, _ = c.Report(at(10, 3*time.Second), "a")
	g.Expect(r.Empty()).To(BeTrue(), "everything has been acknowledged")
	c.Add(at(10, 3*time.Second), "o")
	r, rev = c.Report(at(10, 4*time.Second), "a")
	g.Expect(counts(&r)).To(Equal(map[int64]map[string]uint64{10: {"o": 2}}))
	c.Acknowledge(&r, rev, "a")
	r, _ = c.Report(at(11, 0), "a")
	g.Expect(r.Current).To(Equal(int64(11)), "the end of a window has to be reported")
	g.Expect(r.Counts).To(BeEmpty())
	r, _ = c.Report(at(11, 0), "b")
	g.Expect(counts(&r)).To(Equal(map[int64]map[string]uint64{10: {"o": 2, "p": 1}}))
}

// Acknowledged counts are dropped after some windows, others are kept for ten minutes.
func TestCountsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := usage.NewCounter(7, span)
	c.Add(at(10, 0), "o")
	r, rev := c.Report(at(10, 0), "a")
	c.Acknowledge(&r, rev, "a")
	c.Add(at(11, 0), "o")
	r, _ = c.Report(at(100, 0), "b")
	g.Expect(counts(&r)).To(Equal(map[int64]map[string]uint64{11: {"o": 1}}))
	r, _ = c.Report(at(200, 0), "b")
	g.Expect(r.Counts).To(BeEmpty())
}

// A member failed to commit the counts that it has collected. It must return all of them again,
// and after a commit only newer ones.
func TestUncommittedReportsStay(t *testing.T) {
	g := NewWithT(t)
	c := usage.NewCollector()
	c.Add(&usage.Report{Instance: 1, Current: 10, Counts: []usage.Count{{Window: 10, Organisation: "o", Requests: 3}}})
	c.Add(&usage.Report{Instance: 2, Current: 10})
	c.Add(&usage.Report{})
	list, rev := c.Uncommitted()
	g.Expect(list).To(HaveLen(2))
	again, _ := c.Uncommitted()
	g.Expect(again).To(Equal(list))
	c.Add(&usage.Report{Instance: 1, Current: 10, Counts: []usage.Count{{Window: 10, Organisation: "o", Requests: 5}}})
	c.Committed(rev)
	list, rev = c.Uncommitted()
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Counts[0].Requests).To(Equal(uint64(5)))
	c.Committed(rev)
	c.Add(&usage.Report{Instance: 1, Current: 9, Counts: []usage.Count{{Window: 10, Organisation: "o", Requests: 4}}})
	list, _ = c.Uncommitted()
	g.Expect(list).To(BeEmpty(), "a late report does not lower a total")
	c.Forget(12)
	c.Add(&usage.Report{Instance: 1, Current: 12})
	list, _ = c.Uncommitted()
	g.Expect(list).To(HaveLen(1))
}
