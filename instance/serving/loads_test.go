package serving

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Instances ask different members, and each must see the work of all the others but
// not its own twice. What an instance that died had under way fades.
func TestLoadsOfOthersAddUp(t *testing.T) {
	g := NewWithT(t)
	b := newLoadBook()
	now := time.Unix(100, 0)
	b.watchers["a"] = loadReport{at: now, loads: []Load{{ID: "u", Active: 1, Reading: 10, Held: 100}}}
	b.watchers["b"] = loadReport{at: now, loads: []Load{{ID: "u", Active: 2, Reading: 20, Held: 200}}}
	b.members["m"] = loadReport{at: now, loads: []Load{{ID: "u", Active: 4, Reading: 40, Held: 400}}}
	g.Expect(b.sum(now, "a", true)).To(Equal([]Load{{ID: "u", Active: 6, Reading: 60, Held: 600}}))
	g.Expect(b.sum(now, "", false)).To(Equal([]Load{{ID: "u", Active: 3, Reading: 30, Held: 300}}))
	g.Expect(b.sum(now.Add(2*loadsAge), "", true)).To(BeEmpty())
}

func TestPlacedPromptsReachTheOthersOnce(t *testing.T) {
	g := NewWithT(t)
	var l placedLog
	l.add("a", []Placed{{1, "u"}, {2, "v"}})
	l.add("b", []Placed{{3, "u"}})
	g.Expect(l.since(0, "a")).To(Equal([]Placed{{3, "u"}}))
	g.Expect(l.since(0, "c")).To(HaveLen(3))
	g.Expect(l.since(l.next, "c")).To(BeEmpty())
	g.Expect(l.since(l.next+99, "c")).To(BeEmpty(), "a number of another member's log")
	for range 3 * maxPlaced {
		l.add("a", []Placed{{9, "w"}})
	}
	g.Expect(len(l.notes)).To(BeNumerically("<=", 2*maxPlaced))
	g.Expect(l.since(1, "c")).To(HaveLen(maxPlacedAnswer))
}
