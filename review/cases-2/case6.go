package main

import (
	"net/http"
	"time"
)

func init() { cases["6"] = replacedThenDisk }

// replacedThenDisk replaces two machines of the core as planned, the new ones first, and then one machine loses its disk.
func replacedThenDisk(r *record, trouble bool) bool {
	const (
		settle   = 10 * time.Second
		down     = time.Second
		readBack = 30 * time.Second
	)
	s := newSite(r)
	defer s.close()
	zones := []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"}
	for i, zone := range zones {
		s.add("core-"+zone+"-1", zone, i+1, true)
	}
	for _, n := range s.cores() {
		n.start(true)
	}
	version := 1
	if s.putAnywhere(desired(version), 20*time.Second) == nil {
		panic(unable("the first desired state was not acknowledged"))
	}
	change := func() {
		version++
		if s.putAnywhere(desired(version), 4*time.Second) == nil {
			panic(unable("a desired state was not acknowledged"))
		}
	}
	old := s.cores()[:2]
	for i := range old {
		added := s.add("core-"+zones[i]+"-2", zones[i], 4+i, true)
		added.start(false)
	}
	time.Sleep(settle)
	change()
	for _, n := range old {
		n.leave()
		time.Sleep(settle)
		change()
	}
	victim := s.leader(s.cores())
	r.printf("%s leads; nothing was disturbed for %v", victim.name, settle)
	if trouble {
		victim.kill()
		victim.loseDisk()
		time.Sleep(down)
		victim.start(false)
	}
	r.printf("version %d was acknowledged last", version)
	until := time.Now().Add(readBack)
	for time.Now().Before(until) {
		for _, n := range s.cores() {
			status, got := n.read(time.Second)
			r.printf("operator: GET /config from %s: %d, version %d", n.name, status, got)
			if status == http.StatusOK {
				return got >= version
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.printf("no machine has handed out the desired state for %v", readBack)
	for _, n := range s.cores() {
		r.printf("%s runs: %v", n.name, n.running())
	}
	return false
}
