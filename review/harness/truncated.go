package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// faultyRunners of the runners reset faultyShare of their answers on the way.
	answerRunners, faultyRunners = 4, 2
	faultyShare                  = 0.05
	// They do so for faultyFor, again and again after calmFor.
	faultyFor, calmFor = 5 * time.Second, 5 * time.Second
	// answersPerSecond are asked for answersFor.
	answersPerSecond = 90
	answersFor       = 60 * time.Second
	// minAnswer and maxAnswer bound the size of an answer.
	minAnswer, maxAnswer = 90 << 10, 240 << 10
	answerLimit          = 4 * time.Second
)

func answersConfig() string {
	return `{"version":1,"routes":[{"name":"r-status","host":"app.example","path-prefix":"/status/","route-type":"idempotent","timeout-ms":4000,"target-latency-ms":300,"priority":2,"service":"band-gateway","max-attempts":2,"anonymous":false,"sticky":false,"resumable":false},
{"name":"r-sync","host":"app.example","path-prefix":"/sync/","route-type":"non_idempotent","timeout-ms":4000,"target-latency-ms":300,"priority":2,"service":"band-gateway","max-attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
"services":[{"name":"band-gateway","health-path":"/healthz","max-connections":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"ward","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`
}

// answerOf returns the body of the answer to an attempt, which both sides can work out.
func answerOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	size := minAnswer + (int(sum[0])<<16|int(sum[1])<<8|int(sum[2]))%(maxAnswer-minAnswer)
	return strings.Repeat(hex.EncodeToString(sum[:]), size/64+1)[:size]
}

// serveAnswer answers without a length: the answer ends with its channel. A faulty runner resets some on the way.
func serveAnswer(faulty bool, span *atomic.Bool, resets *atomic.Int64) func(l *life, w http.ResponseWriter, q *http.Request) {
	return func(l *life, w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		_, _ = io.Copy(io.Discard, q.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		body := answerOf(id)
		time.Sleep(time.Duration(20+rand.IntN(40)) * time.Millisecond)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Seal: %s.%d.%s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n", id, l.id, l.born, id)
		if !faulty || !span.Load() || rand.Float64() >= faultyShare {
			l.s.record.line("run       attempt %s at %s, answers %d bytes and closes", id, l.id, len(body))
			_, _ = io.WriteString(c, head+body)
			return
		}
		part := len(body)/2 + rand.IntN(len(body)/4)
		l.s.record.line("run       attempt %s at %s, resets its channel after %d of %d bytes", id, l.id, part, len(body))
		resets.Add(1)
		_, _ = io.WriteString(c, head+body[:part])
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// truncatedAnswer checks that an answer without a length which is reset on the way does not look whole.
func truncatedAnswer(rec *record, trouble bool) bool {
	s := newSite(rec, 3, 3)
	cleanup = s.close
	s.startAll()
	s.put(answersConfig())
	var resets atomic.Int64
	var span atomic.Bool
	for i := range answerRunners {
		r := s.newRunner(fmt.Sprintf("i-%08x", 0x7f3a9200+i), "band-gateway", zones[i%3], 201+i, 6)
		r.serve = serveAnswer(i < faultyRunners, &span, &resets)
		r.start("v1", 0)
	}
	for _, e := range s.edges {
		await("an edge is not ready", 20*time.Second, e.isReady)
	}
	time.Sleep(3 * time.Second)
	var all sync.WaitGroup
	var sent, served, cut atomic.Int64
	ticker := time.NewTicker(time.Second / answersPerSecond)
	defer ticker.Stop()
	begun := time.Now()
	for time.Since(begun) < answersFor {
		<-ticker.C
		span.Store(trouble && time.Since(begun)%(faultyFor+calmFor) < faultyFor)
		n := int(sent.Add(1))
		all.Go(func() {
			switch s.ask(n) {
			case wholeAnswer:
				served.Add(1)
			case shortAnswer:
				cut.Add(1)
			}
		})
	}
	all.Wait()
	rec.say("%d requests, %d got the whole answer, %d answers were reset by their runners, %d of these were passed on as complete successes", sent.Load(), served.Load(), resets.Load(), cut.Load())
	return cut.Load() > 0
}

// Results of a request.
const (
	noAnswer = iota
	wholeAnswer
	shortAnswer
)

// ask sends one request on a channel of its own and judges the answer.
func (s *site) ask(n int) int {
	e := s.edges[n%len(s.edges)]
	id := fmt.Sprintf("%016x", attempts.Add(1))
	request := "GET /status/2f HTTP/1.1\r\n"
	if n%2 == 0 {
		request = "POST /sync/2f HTTP/1.1\r\nContent-Length: 2\r\n"
	}
	request += fmt.Sprintf("Host: app.example\r\nAttempt-Id: %s\r\nKey: n2ctnfzs989anu6wsjnb\r\nDeadline-Ms: %d\r\n\r\n", id, answerLimit.Milliseconds())
	if n%2 == 0 {
		request += "{}"
	}
	c, err := net.DialTimeout("tcp4", e.at(s.frontend), time.Second)
	if err != nil {
		return noAnswer
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerLimit))
	s.record.line("sent      attempt %s to %s: %s", id, e.name, strings.TrimSpace(request[:14]))
	if _, err := io.WriteString(c, request); err != nil {
		return noAnswer
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.record.line("answered  attempt %s: %v", id, err)
		return noAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	want := answerOf(id)
	switch {
	case resp.StatusCode/100 != 2 || err != nil:
		s.record.line("answered  attempt %s: %d, %d bytes, %v", id, resp.StatusCode, len(body), err)
		return noAnswer
	case string(body) == want && resp.Header.Get("Runner-Seal") != "":
		s.record.line("answered  attempt %s: %d, the whole body", id, resp.StatusCode)
		return wholeAnswer
	}
	s.record.line("MIXED     attempt %s: %d with Content-Length %s, a complete body of %d bytes, the runner's has %d; seal %s", id, resp.StatusCode, resp.Header.Get("Content-Length"), len(body), len(want), resp.Header.Get("Runner-Seal"))
	return shortAnswer
}
