package balance_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/balance"
)

var (
	report   = balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 17000, MaxPause: time.Second, Rank: 1}
	question = balance.Offer{Route: "question", Tokens: 1400, UncachedTokens: 1400, MaxPause: 250 * time.Millisecond}
)

// poolsWithLoad returns pools that have seen the given numbers of reports and questions, and their
// loads.
func poolsWithLoad(now time.Time, reports, questions int) (p *balance.Pools, loads map[string]balance.RouteLoad) {
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

// Guards against short questions joining the long prompts at the start and after each restart of an
// instance: before it has seen long prompts, it takes its questions for the longest ones. It must
// use the totals of the others and, before there are any, the request itself.
func TestNewInstanceUsesRemoteLoads(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	fresh, _ := poolsWithLoad(now, 0, 30)
	_, others := poolsWithLoad(now, 60, 60)
	fresh.SetRemoteLoads(others)
	g.Expect(fresh.Quick(&question, 50)).To(BeTrue())
	g.Expect(fresh.Quick(&report, 50)).To(BeFalse())
	fresh.Record(now, &question)

	old, _ := poolsWithLoad(now, 60, 60)
	_, few := poolsWithLoad(now, 0, 31)
	old.SetRemoteLoads(few)
	old.Record(now, &question)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("u", i))
	}
	g.Expect(fresh.QuickCount(now, len(ids))).To(Equal(old.QuickCount(now, len(ids))), "all size the pools alike")

	empty := balance.NewPools()
	g.Expect(empty.Quick(&question, 50)).To(BeTrue())
	g.Expect(empty.Quick(&report, 50)).To(BeFalse())
}

// Guards against all requests, reports included, being classified as quick for a moment: the sum of
// the others is slightly older than the local part subtracted from it, which may leave some tokens
// with hardly any request, like a prompt longer than any real one.
func TestResidueOfSumIsIgnored(t *testing.T) {
	g := NewWithT(t)
	p, _ := poolsWithLoad(time.Unix(100, 0), 20, 20)
	p.SetRemoteLoads(map[string]balance.RouteLoad{"rest": {Tokens: 60_000, Requests: 0.001, MaxPause: time.Second}})
	g.Expect(p.Quick(&report, 50)).To(BeFalse())
	g.Expect(p.Quick(&question, 50)).To(BeTrue())
}

// quickOf returns the upstreams in the quick pool.
func quickOf(p *balance.Pools, now time.Time, ids []string) map[string]bool {
	var x balance.Index[string]
	places := map[string]balance.Place{}
	for _, id := range ids {
		places[id] = x.Add(id, id)
	}
	limit := x.Limit(p.QuickCount(now, len(ids)))
	quick := map[string]bool{}
	for id, at := range places {
		if at.Before(limit) {
			quick[id] = true
		}
	}
	return quick
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
			p.Record(now, &balance.Offer{Route: "report", Tokens: 9000, UncachedTokens: 9000, MaxPause: time.Second})
			for range questions {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, UncachedTokens: 1400, MaxPause: 300 * time.Millisecond})
			}
		}
	}
	note(2)
	g.Expect(p.Quick(&question, 50)).To(BeTrue())
	g.Expect(p.Quick(&report, 50)).To(BeFalse())
	few := quickOf(p, now, ids)
	g.Expect(len(few)).To(BeNumerically("~", 9, 2))
	for range 10 {
		note(6)
		p.QuickCount(now, len(ids))
	}
	many := quickOf(p, now, ids)
	g.Expect(len(many)).To(BeNumerically(">", len(few)))
	for id := range few {
		g.Expect(many).To(HaveKey(id), "pool members stay")
	}
}

func TestSimilarRoutesShareAllUpstreams(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	for i := range 100 {
		p.Record(time.Unix(100, int64(i)), &balance.Offer{Route: "a", Tokens: 3000, UncachedTokens: 3000, MaxPause: time.Second})
		p.Record(time.Unix(100, int64(i)), &balance.Offer{Route: "b", Tokens: 2500, UncachedTokens: 2500, MaxPause: time.Second})
	}
	g.Expect(p.QuickCount(time.Unix(101, 0), 2)).To(BeZero())
}

// Under overload, engines that admitted everything would spend all their time on prefill, and most
// streams would miss their deadlines. The least urgent requests are refused in part, but no route is
// refused completely.
func TestAdmitsOnlyWhatEnginesCanPrefill(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		p.Record(now, &balance.Offer{Route: "brief", Tokens: 9000, UncachedTokens: 3000, MaxPause: time.Second, Rank: 0})
		p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 9000, MaxPause: time.Second, Rank: 1})
	}
	p.SetEngine(balance.Engine{PerMS: 60})
	g.Expect(p.AdmittedShare(now, &balance.Offer{Route: "brief"}, 100)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &report, 100)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &balance.Offer{Route: "brief"}, 15)).To(Equal(1.0))
	part := p.AdmittedShare(now, &report, 15)
	g.Expect(part).To(BeNumerically("~", 0.35, 0.1))
	g.Expect(p.AdmittedShare(now, &report, 1)).To(BeNumerically(">", 0.2))
	g.Expect(p.RequiredEngines(now)).To(BeNumerically("~", 100*(3000+9000)/(0.8*60_000), 5), "the value reported to operators")
}

// A burst asks for twice the capacity of the engines, and half of the prompts are cached and cost a
// fifth. With uniform refusals engines would spend the burst on the others, and most callers would
// get nothing. Cached prompts are admitted first; some uncached ones must be admitted too, or they
// would never be cached.
func TestCachedPromptsAreAdmittedFirst(t *testing.T) {
	g := NewWithT(t)
	p := balance.NewPools()
	now := time.Unix(100, 0)
	cached := balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 3000, Cached: true, MaxPause: time.Second}
	uncached := balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 17000, MaxPause: time.Second}
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
	work := served*float64(cached.UncachedTokens) + read*float64(uncached.UncachedTokens)
	all := float64(cached.UncachedTokens + uncached.UncachedTokens)
	both := p.AdmittedShare(now, &balance.Offer{Route: "none"}, engines)
	g.Expect(both).To(Equal(1.0), "a route without load")
	g.Expect(work/all).To(BeNumerically("<", 0.55), "no more than the engines can prefill")
	g.Expect(p.AdmittedShare(now, &uncached, 2)).To(BeNumerically(">=", 0.1), "some uncached prompts are admitted")
}

// Many instances see their first few requests, each a different mix. They must size the pools almost
// alike, or a prompt cached by one instance is looked for elsewhere by the next.
func TestInstancesAgreeOnPoolSizeFromStart(t *testing.T) {
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
				p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 17000, MaxPause: time.Second, Rank: 1})
			} else {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, UncachedTokens: 1400, MaxPause: 300 * time.Millisecond})
			}
		}
		n := p.QuickCount(now, len(ids))
		least, most = min(least, n), max(most, n)
	}
	g.Expect(most - least).To(BeNumerically("<=", 4))
}

// After a lasting change of the load, the pools must have the right size within seconds, even with
// many upstreams.
func TestManyUpstreamsAreResizedWithinSeconds(t *testing.T) {
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
			p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 5000, MaxPause: time.Second, Rank: 1})
			for range questions {
				p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, UncachedTokens: 1400, MaxPause: 300 * time.Millisecond})
			}
			p.QuickCount(now, len(ids))
		}
		return p.QuickCount(now, len(ids))
	}
	few := run(30, 1)
	many := run(8, 6)
	g.Expect(many).To(BeNumerically(">", few+15))
	g.Expect(run(30, 6)).To(BeNumerically("~", many, 8))
}

// A fleet with engines to spare under a load that swings. Each instance sees it a little differently;
// if each moved its pools in proportion, the same prompt would have other homes at each of them.
func TestPoolsWithEnginesToSpareStay(t *testing.T) {
	g := NewWithT(t)
	const upstreams = 1000
	now := time.Unix(100, 0)
	p := balance.NewPools()
	p.SetEngine(balance.Engine{PerMS: 50, Slots: 64, Count: upstreams})
	sizes := map[int]bool{}
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 17000, MaxPause: time.Second, Rank: 1})
		if i/200%2 == 0 {
			p.Record(now, &balance.Offer{Route: "question", Tokens: 1400, UncachedTokens: 1400, MaxPause: 300 * time.Millisecond})
		}
		sizes[p.QuickCount(now, upstreams)] = true
	}
	g.Expect(len(sizes)).To(BeNumerically("<=", 2))
	for range 2000 {
		now = now.Add(time.Millisecond)
		for range 20 {
			p.Record(now, &balance.Offer{Route: "report", Tokens: 17000, UncachedTokens: 17000, MaxPause: time.Second, Rank: 1})
		}
		p.QuickCount(now, upstreams)
	}
	g.Expect(p.QuickCount(now, upstreams)).To(BeNumerically("<", 100), "a load that needs the engines gets them")
}

// Guards against demand by organisation that is reported without a shortage, and against a shortage that takes from
// organisations that ask no more than their fair share.
func TestShortageIsDividedAmongOrganisations(t *testing.T) {
	g := NewWithT(t)
	p, now := balance.NewPools(), time.Unix(100, 0)
	p.SetEngine(balance.Engine{PerMS: 60, Slots: 64, Count: 10})
	small, large := report, report
	small.Organisation, large.Organisation = "small", "large"
	for range 10 {
		p.Record(now, &small)
	}
	for range 90 {
		p.Record(now, &large)
	}
	needed := p.RequiredEngines(now)
	g.Expect(p.AdmittedShare(now, &small, 2*needed)).To(Equal(1.0))
	g.Expect(p.OrganisationDemand(now)).To(BeNil())
	g.Expect(p.AdmittedShare(now, &small, needed/2)).To(Equal(1.0))
	g.Expect(p.AdmittedShare(now, &large, needed/2)).To(BeNumerically("~", 0.4/0.9, 0.01))
	demand := p.OrganisationDemand(now)["report"]
	g.Expect(demand).To(HaveLen(2))
	g.Expect(demand["large"]).To(BeNumerically("~", 9*demand["small"], 1))
	g.Expect(p.OrganisationDemand(now.Add(3 * time.Second))).To(BeNil())
}
