package deployed_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"testing"
	"time"
)

const (
	// grantedEdges is the number of edges: each has 2.4 slots of its own and asks for slots.
	grantedEdges    = 40
	grantedSettings = ", slot-grants: true"
	// minGrantedShare is the share of the requests that get a granted slot, at least.
	minGrantedShare = 0.5
	// maxGrantedFactor bounds the share of requests that wait, as a factor of that with two choices by exact counts.
	maxGrantedFactor = 2
)

// Guards against requests that wait at busy upstreams because edges have few slots of their own. At most twice as
// many requests may wait as with the less loaded of two random upstreams.
func TestEdgesWithFewSlotsGetGrants(t *testing.T) {
	newSite(t).steadily(func() error {
		s := watchedSite(t)
		defer s.killAll()
		s.bounds = grantedSettings
		return s.playGranted()
	})
}

// playGranted plays a steady load, and returns an error if the edges got too few grants, or too many requests waited.
func (s *site) playGranted() error {
	var cores, edges []*node
	for i := range 3 {
		n := s.add(fmt.Sprint("core-", i+1), 1+i, true)
		cores = append(cores, n)
		s.seeds = append(s.seeds, n.at(portControl))
	}
	for i := range grantedEdges {
		edges = append(edges, s.add(fmt.Sprint("edge-", i+1), 101+i, false))
	}
	for _, n := range append(append([]*node(nil), cores...), edges...) {
		n.start(true)
	}
	s.within(patience, func() bool { return cores[0].put(1, "k") == 200 }, "the first configuration")
	e, k, rng := &evenRun{}, &evenCases[0], rand.New(rand.NewPCG(3, 5))
	e.start(s, k, cores, 0, evenUpstreams, 0)
	for _, edge := range edges {
		s.within(patience, func() bool { return edge.ask("k") == 200 }, edge.name, "serves")
	}
	time.Sleep(evenKnown)
	e.begun = time.Now()
	timer := time.AfterFunc(evenSettle, func() { e.counting.Store(true) })
	defer timer.Stop()
	e.send(k, edges, rng, 0, evenSettle+evenCounted)
	results := map[string]int{}
	for _, edge := range edges {
		_, series := call("GET", "http://"+edge.at(portMetrics)+"/metrics", "")
		for _, m := range slotSeries.FindAllStringSubmatch(series, -1) {
			n, _ := strconv.Atoi(m[2])
			results[m[1]] += n
		}
	}
	waited, bound := float64(e.waited.Load())/float64(e.arrived.Load()), 0.0
	for range evenDraws {
		bound += maxGrantedFactor * e.twoChoices(k, rng) / evenDraws
	}
	s.t.Logf("%v; %.3f of %d requests waited, %.3f allowed with grants; %d not served", results, waited, e.arrived.Load(), bound, e.failed.Load())
	switch share := float64(results["granted"]) / float64(e.arrived.Load()); {
	case e.failed.Load() >= e.arrived.Load()/100:
		return fmt.Errorf("%d of %d requests not served", e.failed.Load(), e.arrived.Load())
	case share < minGrantedShare:
		return fmt.Errorf("%.2f of the requests got a slot, %v wanted", share, minGrantedShare)
	case waited > bound:
		return fmt.Errorf("%.3f of the requests waited, %.3f allowed", waited, bound)
	}
	return nil
}

var slotSeries = regexp.MustCompile(`relay_slot_requests_total\{result="(\w+)"\} (\d+)`)
