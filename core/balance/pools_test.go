package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

func TestPoolsFollowTheLoad(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	var ids []string
	for i := range 18 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	note := func(questions int) {
		for range 400 {
			now = now.Add(20 * time.Millisecond)
			p.Note(now, &balance.Offer{Route: "report", Tokens: 9000, Unread: 9000, Gap: time.Second})
			for range questions {
				p.Note(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
			}
		}
	}
	note(2)
	g.Expect(p.Quick("question")).To(BeTrue())
	g.Expect(p.Quick("report")).To(BeFalse())
	few := p.Split(now, ids)
	g.Expect(len(few)).To(BeNumerically("~", 9, 2))
	for range 10 {
		note(6)
		p.Split(now, ids)
	}
	many := p.Split(now, ids)
	g.Expect(len(many)).To(BeNumerically(">", len(few)))
	for id := range few {
		g.Expect(many).To(HaveKey(id), "those that were set apart stay so")
	}
}

func TestAlikeRequestsShareAllUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	for i := range 100 {
		p.Note(time.Unix(100, int64(i)), &balance.Offer{Route: "a", Tokens: 3000, Unread: 3000, Gap: time.Second})
		p.Note(time.Unix(100, int64(i)), &balance.Offer{Route: "b", Tokens: 2500, Unread: 2500, Gap: time.Second})
	}
	g.Expect(p.Split(time.Unix(101, 0), []string{"u", "v"})).To(BeEmpty())
}

// More is asked than engines can read. If all were taken, engines would read all the
// time, streams would crawl, and most would be cut at their deadlines. The least
// urgent part is not taken, and no route is shut out.
func TestOnlyWhatCanBeReadIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		p.Note(now, &balance.Offer{Route: "brief", Tokens: 9000, Unread: 3000, Gap: time.Second, Place: 0})
		p.Note(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 9000, Gap: time.Second, Place: 1})
	}
	g.Expect(p.Admitted(now, "brief", 100, 60000)).To(Equal(1.0))
	g.Expect(p.Admitted(now, "report", 100, 60000)).To(Equal(1.0))
	g.Expect(p.Admitted(now, "brief", 15, 60000)).To(Equal(1.0))
	part := p.Admitted(now, "report", 15, 60000)
	g.Expect(part).To(BeNumerically("~", 0.35, 0.1))
	g.Expect(p.Admitted(now, "report", 1, 60000)).To(BeNumerically(">", 0.2))
}

// Ninety instances meet their first requests, each some other ones. They must draw
// about the same line, or what one of them has kept at an engine the next one looks
// for elsewhere.
func TestInstancesDrawTheSameLineFromTheStart(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	var ids []string
	for i := range 90 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	least, most := len(ids), 0
	for i := range 30 {
		p := balance.NewPools()
		for k := range 3 {
			if (i>>k)&1 == 0 {
				p.Note(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 17000, Gap: time.Second, Place: 1})
			} else {
				p.Note(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
			}
		}
		n := len(p.Split(now, ids))
		least, most = min(least, n), max(most, n)
	}
	g.Expect(most - least).To(BeNumerically("<=", 4))
}

// The load changes for good. The line must be where it belongs within seconds also
// where there are many upstreams.
func TestLineFollowsInSecondsAlsoAmongMany(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	var ids []string
	for i := range 90 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	run := func(seconds, questions int) int {
		for range seconds * 20 {
			now = now.Add(50 * time.Millisecond)
			p.Note(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 5000, Gap: time.Second, Place: 1})
			for range questions {
				p.Note(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
			}
			p.Split(now, ids)
		}
		return len(p.Split(now, ids))
	}
	few := run(30, 1)
	many := run(8, 6)
	g.Expect(many).To(BeNumerically(">", few+15))
	g.Expect(run(30, 6)).To(BeNumerically("~", many, 8))
}
