package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = streamsTakenUp }

const (
	llmHost, llmPrefix = "ficu95.example", "/lohu930/"
	llmLimit           = 10 * time.Second
	key                = "n2ctnfzs989anu6wsjnb"
)

// llmState returns a desired state with one route for streams that may be resumed.
func llmState(version int) map[string]any {
	state := desired(version)
	state["routes"] = []any{map[string]any{
		"name": "r-2yhvz3p", "host": llmHost, "path-prefix": llmPrefix, "route-type": "streaming", "timeout-ms": 10000, "target-latency-ms": 1200,
		"priority": 0, "service": "huvo11a", "max-attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "target-gap-ms": 300,
	}}
	state["services"] = []any{map[string]any{
		"name": "huvo11a", "health-path": "/healthz", "max-connections": 370, "protocol": "h1", "tls": false, "inference-engine": map[string]any{
			"slots": 64, "kv-capacity": 653820, "kv-bytes": 163840, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 5, "most": 12,
			"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0, "model-list": []any{map[string]any{"name": "m"}},
		},
	}}
	return state
}

var attempts atomic.Int64

// stream is one request of a requester for a stream, over several attempts.
type stream struct {
	s *site
	// number distinguishes streams; firstID is the attempt that brought the first event.
	number  int
	firstID string
	last    int
	until   time.Time
}

// attempt asks one machine for the stream, from its last event on, and returns the status and how many events came. It
// reads until the stream ends, its channel breaks or enough events came.
func (t *stream) attempt(ctx context.Context, n *node, enough int) (status, events int, retry time.Duration, whole bool) {
	id := fmt.Sprintf("9c41d07be2a%05x", attempts.Add(1))
	ctx, cancel := context.WithDeadline(ctx, t.until)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.at(t.s.frontend)+llmPrefix+"2f", strings.NewReader(fmt.Sprintf(`{"prompt":"%d"}`, t.number)))
	must(err, "request")
	req.Host = llmHost
	h := req.Header
	h.Set("Attempt-Id", id)
	h.Set("Model", "m")
	h.Set("Token-Count", "1460,170")
	h.Set("Prefix-Hash", fmt.Sprintf("5c1e07a2:350,%08x:1110", 0xe4402b7d+t.number))
	h.Set("Deadline-Ms", strconv.FormatInt(time.Until(t.until).Milliseconds(), 10))
	h.Set("Key", key)
	if t.last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(t.last))
		h.Set("Resumes", t.firstID)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.s.printf("stream %d: attempt %s at %s: no answer", t.number, id, n.name)
		return 0, 0, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		in := bufio.NewReader(resp.Body)
		text, _ := in.ReadString('\n')
		t.s.printf("stream %d: attempt %s at %s, after event %d: %d %.100s", t.number, id, n.name, t.last, resp.StatusCode, text)
		return resp.StatusCode, 0, time.Duration(seconds * float64(time.Second)), false
	}
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		value, isID := strings.CutPrefix(in.Text(), "id: ")
		if !isID {
			continue
		}
		got, _ := strconv.Atoi(value)
		if t.firstID == "" {
			t.firstID = id
		}
		if events == 0 {
			t.s.printf("stream %d: attempt %s at %s, after event %d: 200, event %d", t.number, id, n.name, t.last, got)
		}
		t.last = got
		if events++; events >= enough {
			return resp.StatusCode, events, 0, false
		}
	}
	return resp.StatusCode, events, 0, in.Err() == nil
}

// streamsTakenUp lets streams begin at one edge and kills all processes of the core at once. When the core has been
// stable for longer than contact-ms, the requesters' channels break, and they take the streams up at another edge.
func streamsTakenUp(r *record, trouble bool) bool {
	const (
		streams, fresh = 24, 16
		events         = 34
		gap            = 280 * time.Millisecond
		down           = 500 * time.Millisecond
		calm           = contact + 500*time.Millisecond
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
	for i := range 4 {
		u := s.startRunner(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", []string{"v1", "v2"}[i%2], zones[i%3], 21+i, events, gap)
		defer u.close()
	}
	for _, n := range []*node{first, second} {
		s.awaitReady(n)
	}
	time.Sleep(10 * time.Second)
	// All streams begin at the first edge.
	ctx, broken := context.WithCancel(context.Background())
	defer broken()
	var running sync.WaitGroup
	list := make([]*stream, streams)
	for i := range list {
		list[i] = &stream{s: s, number: i, until: time.Now().Add(llmLimit)}
		running.Go(func() { list[i].attempt(ctx, first, events) })
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		for _, n := range s.cores() {
			n.signal(9)
		}
		for _, n := range s.cores() {
			<-n.exited
		}
		time.Sleep(down)
		for _, n := range s.cores() {
			n.start(false)
		}
	} else {
		time.Sleep(down)
	}
	time.Sleep(calm)
	s.awaitReady(second)
	r.printf("the core was last disturbed %v ago", calm)
	broken()
	r.printf("the requesters' channels to %s break", first.name)
	running.Wait()
	var taken, wentOn, begun atomic.Int64
	for _, t := range list {
		if t.last == 0 || t.last >= events {
			r.printf("stream %d had %d events and is not taken up", t.number, t.last)
			continue
		}
		taken.Add(1)
		running.Go(func() {
			for range 3 {
				status, got, retry, _ := t.attempt(context.Background(), second, 2)
				if got > 0 {
					wentOn.Add(1)
					return
				}
				if status != http.StatusServiceUnavailable || retry > time.Until(t.until)/3 {
					return
				}
				time.Sleep(retry)
			}
		})
	}
	for i := range fresh {
		running.Go(func() {
			t := &stream{s: s, number: streams + i, until: time.Now().Add(llmLimit)}
			if _, got, _, _ := t.attempt(context.Background(), second, 1); got > 0 {
				begun.Add(1)
			}
		})
	}
	running.Wait()
	goesOn, begins := float64(wentOn.Load())/float64(max(1, taken.Load())), float64(begun.Load())/fresh
	r.printf("%d streams were taken up, %d of them went on (%.2f); %d of %d new streams began (%.2f)", taken.Load(), wentOn.Load(), goesOn, begun.Load(), fresh, begins)
	if taken.Load() < 12 {
		panic(unable("fewer than 12 streams were taken up"))
	}
	return goesOn >= begins/2
}

// awaitReady waits until the platform may send requesters to a machine.
func (s *site) awaitReady(n *node) {
	for range 200 {
		if status, _ := call(http.MethodGet, "http://"+n.at(s.ready)+"/readyz", nil, time.Second); status == http.StatusOK {
			s.printf("%s says that it is ready", n.name)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(unable(n.name + " does not become ready"))
}
