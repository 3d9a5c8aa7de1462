package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a service. It answers each request with a stream of events.
type runner struct {
	s                             *site
	id, address, service, version string
	zone                          string
	events                        int
	gap                           time.Duration
	server                        *http.Server
	stop                          chan struct{}
	stopped                       sync.WaitGroup

	sequence int
	born     int64
}

// startRunner starts a runner at a machine of its own, and its liveness reports.
func (s *site) startRunner(id, service, version, zone string, host, events int, gap time.Duration) *runner {
	u := &runner{s: s, id: id, service: service, zone: zone, events: events, gap: gap}
	u.begin(version, fmt.Sprintf("%s.%d:0", s.net, host))
	return u
}

// begin starts a lifetime of the runner.
func (u *runner) begin(version, address string) {
	l, err := net.Listen("tcp4", address)
	must(err, "runner")
	u.address, u.version, u.born = l.Addr().String(), version, time.Now().UnixMilli()
	u.server, u.stop = &http.Server{Handler: u}, make(chan struct{})
	go func() { _ = u.server.Serve(l) }()
	u.stopped.Go(u.report)
	u.s.printf("runner %s (%s, %s) starts at %s", u.id, u.service, version, u.address)
}

func (u *runner) close() {
	close(u.stop)
	u.stopped.Wait()
	_ = u.server.Close()
}

// report sends liveness reports until the lifetime ends.
func (u *runner) report() {
	for {
		u.beat()
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-u.stop:
			return
		}
	}
}

// beat sends one liveness report, to the next machine until one acknowledges it.
func (u *runner) beat() {
	u.sequence++
	body := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": u.version, "slots": 64, "state": "ready", "warmup-left-ms": 0,
		"phase": "both", "model-list": []any{map[string]any{"name": "m", "version": 1, "adapter-list": []any{}}}, "born": u.born, "sequence": u.sequence,
	}
	for _, n := range u.s.cores() {
		status, _ := call(http.MethodPut, "http://"+n.at(u.s.control)+"/instances/"+u.id, body, time.Second)
		if status == http.StatusOK {
			return
		}
	}
}

// ServeHTTP runs a request, or says that it does not.
func (u *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		first, _ = strconv.Atoi(last)
	}
	u.s.printf("runner %s (%s) runs %s from event %d on", u.id, u.version, id, first+1)
	w.Header().Set("Runner-Seal", "3e1b.07."+strings.TrimPrefix(u.id, "i-")+".600.0.c9f2a4d1")
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher)
	for n := first + 1; n <= u.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, u.version, id, n); err != nil {
			return
		}
		flush.Flush()
		select {
		case <-time.After(u.gap):
		case <-r.Context().Done():
			u.s.printf("runner %s: the channel of %s was closed after event %d", u.id, id, n)
			return
		}
	}
}
