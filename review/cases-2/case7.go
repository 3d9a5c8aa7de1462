package main

import (
	"net/http"
	"time"
)

func init() { cases["7"] = twoDisksOneAfterTheOther }

// desired returns a small desired state.
func desired(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path-prefix": "/lohu930/", "route-type": "idempotent", "timeout-ms": 4000,
			"target-latency-ms": 300, "priority": 2, "service": "wuno96b", "max-attempts": 2, "anonymous": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "health-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}

// twoDisksOneAfterTheOther loses the disks of two core machines, the second one when the first machine has been back
// for longer than catch-up-s, and reads the desired state back.
func twoDisksOneAfterTheOther(r *record, trouble bool) bool {
	const (
		down     = 100 * time.Millisecond
		margin   = 20 * time.Millisecond
		readBack = 30 * time.Second
	)
	s := newSite(r)
	defer s.close()
	for i, zone := range []string{"lalitpur-hall", "teku-hall", "bhaktapur-hall"} {
		s.add("core-"+zone+"-1", zone, i+1, true)
	}
	for _, n := range s.cores() {
		n.start(true)
	}
	version := 1
	if s.putAnywhere(desired(version), 20*time.Second) == nil {
		panic(unable("the first desired state was not acknowledged"))
	}
	time.Sleep(10 * time.Second)
	change := func() bool {
		version++
		if s.putAnywhere(desired(version), 4*time.Second) != nil {
			return true
		}
		version--
		return false
	}
	first := s.leader(s.cores())
	r.printf("%s leads the control group", first.name)
	if !change() {
		panic(unable("a desired state was not acknowledged before any disturbance"))
	}
	if trouble {
		first.kill()
		first.loseDisk()
		time.Sleep(down)
		first.start(false)
	}
	back := time.Now()
	// Changes are acknowledged meanwhile.
	for time.Since(back) < catchUp-500*time.Millisecond {
		change()
		time.Sleep(300 * time.Millisecond)
	}
	var others []*node
	for _, n := range s.cores() {
		if n != first {
			others = append(others, n)
		}
	}
	second := others[0]
	for _, n := range others {
		if n.leads() {
			second = n
		}
	}
	if !change() {
		panic(unable("a desired state was not acknowledged after the first loss"))
	}
	time.Sleep(catchUp + margin - time.Since(back))
	r.printf("%s has been back for %.3f s", first.name, time.Since(back).Seconds())
	if trouble {
		second.kill()
		second.loseDisk()
		time.Sleep(down)
		second.start(false)
	}
	acked := version
	r.printf("version %d was acknowledged last", acked)
	until := time.Now().Add(readBack)
	for time.Now().Before(until) {
		for _, n := range s.cores() {
			status, got := n.read(time.Second)
			r.printf("operator: GET /config from %s: %d, version %d", n.name, status, got)
			if status == http.StatusOK && got < acked {
				r.printf("an older version than the one that was acknowledged")
				return false
			}
			if status == http.StatusOK {
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.printf("no machine has handed out the desired state for %v; all three run", readBack)
	for _, n := range s.cores() {
		r.printf("%s runs: %v", n.name, n.running())
	}
	n := s.putAnywhere(desired(version+1), 5*time.Second)
	r.printf("a further change was acknowledged: %v", n != nil)
	return false
}
