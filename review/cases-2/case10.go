package main

import "time"

func init() { cases["10"] = killedAtTheFirstStart }

// killedAtTheFirstStart kills one process of the core while the system starts for the first time.
func killedAtTheFirstStart(r *record, trouble bool) bool {
	const (
		stagger   = 280 * time.Millisecond
		killAfter = 150 * time.Millisecond
		down      = 500 * time.Millisecond
		patience  = 30 * time.Second
	)
	s := newSite(r)
	defer s.close()
	for i, zone := range []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"} {
		s.add("core-"+zone+"-1", zone, i+1, true)
	}
	first, last := s.cores()[0], s.cores()[2]
	first.start(true)
	s.cores()[1].start(true)
	begun := time.Now()
	time.Sleep(killAfter)
	if trouble {
		first.kill()
	}
	time.Sleep(stagger - time.Since(begun))
	last.start(true)
	if trouble {
		time.Sleep(killAfter + down - time.Since(begun))
		first.start(false)
	}
	// The core is stable from contact-ms after the last start on.
	time.Sleep(contact)
	if s.putAnywhere(desired(1), patience) != nil {
		return true
	}
	r.printf("no machine has acknowledged the first desired state in %v; all three run", patience)
	for _, n := range s.cores() {
		r.printf("%s runs: %v", n.name, n.running())
	}
	return false
}
