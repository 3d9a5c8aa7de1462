package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { cases["8"] = manyRoutes }

// routes returns the routes from one number to another one, each with a comma before it.
func routes(from, to int) []byte {
	var b bytes.Buffer
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, `,{"name":"r-%07d","host":"ficu95.example","path-prefix":"/lohu930/x%07d/","route-type":"idempotent","timeout-ms":4000,`+
			`"target-latency-ms":300,"priority":2,"service":"wuno96b","max-attempts":2,"anonymous":false,"sticky":false,"resumable":false}`, i, i)
	}
	return b.Bytes()
}

// withRoutes returns a desired state with further routes.
func withRoutes(version int, further []byte) []byte {
	state := desired(version)
	first, err := json.Marshal(state["routes"].([]any)[0])
	must(err, "encode")
	delete(state, "routes")
	rest, err := json.Marshal(state)
	must(err, "encode")
	return slices.Concat([]byte(`{"routes":[`), first, further, []byte("],"), rest[1:])
}

// beat is a liveness report of a runner.
func beat(address, state string, sequence int) map[string]any {
	return map[string]any{
		"service": "wuno96b", "address": address, "zone": "teku-hall", "version": "v1", "slots": 6, "state": state, "warmup-left-ms": 0,
		"phase": "both", "model-list": []any{}, "born": 1780000000000, "sequence": sequence,
	}
}

// acknowledged sends one call to one machine after the other until one acknowledges it.
func (s *site) acknowledged(what string, within time.Duration, send func(n *node) (int, []byte)) bool {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		for _, n := range s.cores() {
			status, answer := send(n)
			s.printf("%s to %s: %d %.100s", what, n.name, status, answer)
			if status == http.StatusOK {
				return true
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// manyRoutes lets the desired state grow by 350 routes at a time, and then sends a small one, and a runner's leave.
func manyRoutes(r *record, trouble bool) bool {
	const (
		step, steps = 350, 80
		ack         = 4 * time.Second
		largeBody   = 5 * time.Second
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
	runner := s.net + ".9:8120"
	sendBeat := func(state string, sequence int) func(n *node) (int, []byte) {
		return func(n *node) (int, []byte) {
			return call(http.MethodPut, "http://"+n.at(s.control)+"/instances/i-7f3a91c2", beat(runner, state, sequence), time.Second)
		}
	}
	if !s.acknowledged("runner: ready", ack, sendBeat("ready", 1)) {
		panic(unable("the runner was not acknowledged"))
	}
	var further []byte
	count := 0
	for range steps {
		version++
		if trouble {
			further = append(further, routes(count, count+step)...)
			count += step
		}
		state := withRoutes(version, further)
		if !s.acknowledged(fmt.Sprintf("operator: version %d with %d routes, %d bytes", version, count+1, len(state)), ack, func(n *node) (int, []byte) {
			return call(http.MethodPut, "http://"+n.at(s.control)+"/config", state, largeBody)
		}) {
			r.printf("version %d is left without a clear answer", version)
			break
		}
	}
	held := true
	version++
	if !s.acknowledged("operator: small desired state", 2*ack, func(n *node) (int, []byte) {
		return call(http.MethodPut, "http://"+n.at(s.control)+"/config", desired(version), time.Second)
	}) {
		r.printf("a desired state of one route got no acknowledgement in %v; no process was disturbed", 2*ack)
		held = false
	}
	if !s.acknowledged("runner: draining", 2*ack, sendBeat("draining", 2)) {
		r.printf("a runner that leaves got no acknowledgement in %v; no process was disturbed", 2*ack)
		held = false
	}
	for _, n := range s.cores() {
		status, got := n.read(3 * time.Second)
		r.printf("%s runs: %v; GET /config: %d, version %d; leads: %v", n.name, n.running(), status, got, n.leads())
	}
	return held
}
