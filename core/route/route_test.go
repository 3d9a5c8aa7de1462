package route_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/route"
)

func table() *route.Table {
	return &route.Table{
		Version: 1,
		Routes: []route.Route{
			{Name: "outer", Host: "a.example", Prefix: "/x/", Kind: route.Idempotent, Timeout: time.Second,
				Services: []route.WeightedService{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
			{Name: "inner", Host: "a.example", Prefix: "/x/y/", Kind: route.Streaming, Timeout: time.Second,
				Services: []route.WeightedService{{Service: "s", Weight: 1}}},
		},
		Services:      []route.Service{{Name: "s"}, {Name: "t"}},
		Organisations: []route.Organisation{{Name: "o", Keys: []route.KeyDigest{route.Digest([]byte("k")), route.Digest([]byte("l"))}}},
	}
}

func TestLongestMatchingPrefixWins(t *testing.T) {
	g := NewWithT(t)
	x := route.NewIndex(table())
	g.Expect(x.Route("a.example", "/x/y/z?q=/x/").Name).To(Equal("inner"))
	g.Expect(x.Route("A.example:80", "/x/y").Name).To(Equal("outer"))
	g.Expect(x.Route("a.example", "/x/").Name).To(Equal("outer"))
	g.Expect(x.Route("a.example", "/x")).To(BeNil())
	g.Expect(x.Route("a.example", "/xy/")).To(BeNil())
	g.Expect(x.Route("b.example", "/x/")).To(BeNil())
	g.Expect(x.Organisation([]byte("l")).Name).To(Equal("o"))
	g.Expect(x.Organisation([]byte("m"))).To(BeNil())
}

func TestPickFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	r := &table().Routes[0]
	g.Expect(r.Pick(0)).To(Equal("s"))
	g.Expect(r.Pick(0.899)).To(Equal("s"))
	g.Expect(r.Pick(0.9)).To(Equal("t"))
}

// Guards against invalid tables that would be accepted and come into force.
func TestFaultyTablesAreRefused(t *testing.T) {
	for name, corrupt := range map[string]func(*route.Table){
		"unknown service": func(t *route.Table) { t.Routes[0].Services[0].Service = "u" },
		"same prefix":     func(t *route.Table) { t.Routes[1].Prefix = "/x/" },
		"no weight":       func(t *route.Table) { t.Routes[1].Services[0].Weight = 0 },
		"no service":      func(t *route.Table) { t.Routes[1].Services = nil },
		"negative weight": func(t *route.Table) { t.Routes[0].Services[1].Weight = -1 },
		"no timeout":      func(t *route.Table) { t.Routes[0].Timeout = 0 },
		"no kind":         func(t *route.Table) { t.Routes[0].Kind = 0 },
		"open prefix":     func(t *route.Table) { t.Routes[0].Prefix = "/x" },
		"shared key": func(t *route.Table) {
			t.Organisations = append(t.Organisations, route.Organisation{Name: "p", Keys: t.Organisations[0].Keys[:1]})
		},
	} {
		g := NewWithT(t)
		tab := table()
		g.Expect(tab.Validate()).To(Succeed())
		corrupt(tab)
		g.Expect(fault.CodeOf(tab.Validate())).To(Equal(fault.Invalid), name)
	}
}

// Upstreams that run out of memory preempt their least urgent requests. Requests of different rank
// must differ in urgency, or the more urgent one may be preempted while the other runs on.
func TestUrgencyKeepsTheOrderOfAllPairs(t *testing.T) {
	g := NewWithT(t)
	tab := table()
	tab.Routes[0].Priority, tab.Routes[1].Priority = 2, 7
	tab.Organisations = nil
	for _, p := range []int{0, 3, 4, 9} {
		tab.Organisations = append(tab.Organisations, route.Organisation{Name: string(rune('a' + p)), Priority: p})
	}
	x := route.NewIndex(tab)
	last := -1
	for j := range tab.Routes {
		for i := range tab.Organisations {
			u := x.Urgency(&tab.Routes[j], &tab.Organisations[i], 10)
			g.Expect(u).To(BeNumerically(">", last))
			last = u
		}
	}
	g.Expect(last).To(BeNumerically("<", 10))
	g.Expect(x.Urgency(&tab.Routes[0], nil, 10)).To(Equal(3))
	g.Expect(x.Urgency(&tab.Routes[1], &tab.Organisations[3], 4)).To(Equal(3))
}
