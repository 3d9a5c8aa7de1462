package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

var (
	report   = balance.Offer{Route: "report", Tokens: 17000, Unread: 17000, Gap: time.Second, Rank: 1}
	question = balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 250 * time.Millisecond}
)

// seen returns what an instance sees of so many reports and questions.
func seen(now time.Time, reports, questions int) (p *balance.Pools, loads map[string]balance.RouteLoad) {
	p = balance.NewPools()
	for range reports {
		p.Record(now, &report)
	}
	for range questions {
		p.Record(now, &question)
	}
	loads = map[string]balance.RouteLoad{}
	for name, l := range p.LocalLoads(now) {
		loads[name] = *l
	}
	return p, loads
}

// Short questions sit among long prompts in the first seconds of a day, and after each
// restart of an instance: it has met none of the long ones yet and takes its questions
// for the longest there are. It must go by the others' sums, and before there are any,
// by the request itself.
func TestInstanceThatHasSeenLittleGoesByTheOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	fresh, _ := seen(now, 0, 30)
	_, others := seen(now, 60, 60)
	fresh.SetRemoteLoads(others)
	g.Expect(fresh.Quick(&question, 50)).To(BeTrue())
	g.Expect(fresh.Quick(&report, 50)).To(BeFalse())
	fresh.Record(now, &question)

	old, _ := seen(now, 60, 60)
	_, few := seen(now, 0, 31)
	old.SetRemoteLoads(few)
	old.Record(now, &question)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	g.Expect(len(fresh.Split(now, ids))).To(Equal(len(old.Split(now, ids))), "all draw the same line")

	empty := balance.NewPools()
	g.Expect(empty.Quick(&question, 50)).To(BeTrue())
	g.Expect(empty.Quick(&report, 50)).To(BeFalse())
}

// All requests are taken for quick ones for a moment, reports among them: the sum of the
// others is a moment older than the own part that was taken off it, and some tokens of
// hardly any request are left, as of a prompt that is longer than any.
func TestResidueOfASumIsNoRoute(t *testing.T) {
	g := NewWithT(t)
	p, _ := seen(time.Unix(100, 0), 20, 20)
	p.SetRemoteLoads(map[string]balance.RouteLoad{"rest": {Tokens: 60_000, Requests: 0.001, Gap: time.Second}})
	g.Expect(p.Quick(&report, 50)).To(BeFalse())
	g.Expect(p.Quick(&question, 50)).To(BeTrue())
}

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
			p.Record(now, &balance.Offer{Route: "report", Tokens: 9000, Unread: 9000, Gap: time.Second})
			for range questions {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
			}
		}
	}
	note(2)
	g.Expect(p.Quick(&question, 50)).To(BeTrue())
	g.Expect(p.Quick(&report, 50)).To(BeFalse())
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
		p.Record(time.Unix(100, int64(i)), &balance.Offer{Route: "a", Tokens: 3000, Unread: 3000, Gap: time.Second})
		p.Record(time.Unix(100, int64(i)), &balance.Offer{Route: "b", Tokens: 2500, Unread: 2500, Gap: time.Second})
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
		p.Record(now, &balance.Offer{Route: "brief", Tokens: 9000, Unread: 3000, Gap: time.Second, Rank: 0})
		p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 9000, Gap: time.Second, Rank: 1})
	}
	p.SetEngine(balance.Engine{PerMS: 60})
	g.Expect(p.AdmittedShare(now, &balance.Offer{Route: "brief"}, 100)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &report, 100)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &balance.Offer{Route: "brief"}, 15)).To(Equal(1.0))
	part := p.AdmittedShare(now, &report, 15)
	g.Expect(part).To(BeNumerically("~", 0.35, 0.1))
	g.Expect(p.AdmittedShare(now, &report, 1)).To(BeNumerically(">", 0.2))
	g.Expect(p.RequiredEngines(now)).To(BeNumerically("~", 100*(3000+9000)/(0.8*60_000), 5), "what operators are told")
}

// A burst asks for twice what engines can read. Half of the callers ask for prompts that
// are cached and cost a fifth; when all are refused by the same lot, engines spend the
// burst on the others, and most callers get nothing. The cached ones must come first, and
// the others must not be shut out, or their prompts would never be cached.
func TestCachedPromptsAreAdmittedFirst(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	cached := balance.Offer{Route: "report", Tokens: 17000, Unread: 3000, Cached: true, Gap: time.Second}
	uncached := balance.Offer{Route: "report", Tokens: 17000, Unread: 17000, Gap: time.Second}
	const each = 2000
	for range each {
		now = now.Add(10 * time.Millisecond)
		p.Record(now, &cached)
		p.Record(now, &uncached)
	}
	p.SetEngine(balance.Engine{PerMS: 60})
	g.Expect(p.AdmittedShare(now, &cached, 100)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &uncached, 100)).To(Equal(1.0))

	const engines = 20
	served := p.AdmittedShare(now, &cached, engines)
	read := p.AdmittedShare(now, &uncached, engines)
	g.Expect(served).To(BeNumerically("~", 1, 1e-9))
	g.Expect(read).To(BeNumerically("~", 0.3, 0.1))
	work := served*float64(cached.Unread) + read*float64(uncached.Unread)
	all := float64(cached.Unread + uncached.Unread)
	both := p.AdmittedShare(now, &balance.Offer{Route: "none"}, engines)
	g.Expect(both).To(Equal(1.0), "a route that brings nothing")
	g.Expect(work/all).To(BeNumerically("<", 0.55), "not more than the engines can read")
	g.Expect(p.AdmittedShare(now, &uncached, 2)).To(BeNumerically(">=", 0.1), "no prompt is shut out")
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
				p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 17000, Gap: time.Second, Rank: 1})
			} else {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
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
			p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, Unread: 5000, Gap: time.Second, Rank: 1})
			for range questions {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, Unread: 1400, Gap: 300 * time.Millisecond})
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
