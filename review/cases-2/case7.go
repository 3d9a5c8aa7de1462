package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["7"] = versionsMixed }

// versionsMixed lets streams begin at two runners of one version, kills all processes of the core at once, and replaces
// the runners in place by ones of another version, one after the other. The requesters take up the streams that break, at
// another edge.
func versionsMixed(r *record, trouble bool) bool {
	const (
		streams   = 24
		events    = 34
		gap       = 280 * time.Millisecond
		down      = 500 * time.Millisecond
		stagger   = time.Second
		backOff   = 1500 * time.Millisecond
		tolerated = 2
	)
	s := newSite(r)
	defer s.close()
	zones := []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"}
	for i, zone := range zones {
		s.add("core-"+zone+"-1", zone, i+1, true)
	}
	first, second := s.add("edge-lalitpur-hall-1", zones[0], 11, false), s.add("edge-teku-hall-1", zones[1], 12, false)
	for _, n := range s.nodes {
		n.start(true)
	}
	if s.putAnywhere(llmState(1), 20*time.Second) == nil {
		panic(unable("the first desired state was not acknowledged"))
	}
	var runners []*runner
	for i := range 2 {
		u := s.startRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", "v1", zones[i], 21+i, events, gap)
		defer u.close()
		runners = append(runners, u)
	}
	for _, n := range []*node{first, second} {
		s.awaitReady(n)
	}
	time.Sleep(10 * time.Second)
	var running, upgrades sync.WaitGroup
	list := make([]*stream, streams)
	for i := range list {
		t := &stream{s: s, number: i, until: time.Now().Add(llmLimit)}
		list[i] = t
		running.Go(func() {
			// The sheet allows one retry, which is at another edge.
			t.attempt(context.Background(), first, events)
			time.Sleep(backOff)
			if t.last > 0 && t.last < events && time.Now().Before(t.until) {
				t.attempt(context.Background(), second, events)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		for _, n := range s.cores() {
			n.signal(9)
		}
		for _, n := range s.cores() {
			<-n.exited
		}
	}
	time.Sleep(down)
	if trouble {
		for _, n := range s.cores() {
			n.start(false)
		}
	}
	time.Sleep(time.Second)
	for _, u := range runners {
		upgrades.Go(func() { u.upgrade("v2") })
		time.Sleep(stagger)
	}
	upgrades.Wait()
	running.Wait()
	mixed := 0
	for _, t := range list {
		r.printf("stream %d: %d events, versions %v", t.number, t.last, t.versions)
		if len(t.versions) > 1 {
			mixed++
		}
	}
	r.printf("%d of %d streams hold events of runners of two versions", mixed, streams)
	return mixed <= tolerated
}
