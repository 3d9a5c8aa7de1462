package deployed_test

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// marks are moments.
type marks struct {
	mu sync.Mutex
	at []time.Time
}

func (m *marks) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = append(m.at, time.Now())
}

// within reports whether a moment lies in a span.
func (m *marks) within(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.at {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// attemptKind is what may be repeated of a request.
type attemptKind int

const (
	repeatable attemptKind = iota
	once
	streamed
)

var attemptKinds = []attemptKind{repeatable, once, streamed}

func (k attemptKind) path() string { return [...]string{"/a/x", "/b/x", "/c/x"}[k] }

// arrival is a request at a runner.
type arrival struct {
	attempt string
	at      time.Time
}

// ledger holds what callers were told beside what ran.
type ledger struct {
	mu       sync.Mutex
	kinds    map[string]attemptKind
	via      map[string]*soakNode // the edge that an attempt was sent to
	keys     map[string]string    // the key that it was sent with
	runs     map[string]int
	promised map[string]int // attempts that were told not to have run, by status
	arrivals []arrival
	failures []string
	// endless holds the attempts to which a runner sent what has no end.
	endless sync.Map
	// failed counts all failures of each kind, of which some are kept.
	failed map[string]int

	served, refused, unknown, closed, crossed, broken, cutByKill, puts atomic.Int64
}

// mostFailures is how many failures of a kind are kept.
const mostFailures = 10

func newLedger() *ledger {
	return &ledger{kinds: map[string]attemptKind{}, via: map[string]*soakNode{}, keys: map[string]string{}, runs: map[string]int{}, promised: map[string]int{}, failed: map[string]int{}}
}

func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed[format]++
	if l.failed[format] <= mostFailures {
		l.failures = append(l.failures, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func (l *ledger) begin(attempt, key string, kind attemptKind, edge *soakNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kinds[attempt], l.via[attempt], l.keys[attempt] = kind, edge, key
}

// edgeOf returns the edge that an attempt was sent to.
func (l *ledger) edgeOf(attempt string) *soakNode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.via[attempt]
}

// keyOf returns the key and the edge that an attempt was sent with, empty and nil for an unknown one.
func (l *ledger) keyOf(attempt string) (string, *soakNode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys[attempt], l.via[attempt]
}

// arrived notes a request at a runner, ran that it is carried out.
func (l *ledger) arrived(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{attempt, time.Now()})
}

func (l *ledger) ran(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[attempt]++
}

// promise notes that a caller was told that its request has not run.
func (l *ledger) promise(attempt string, status int) {
	l.refused.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promised[attempt] = status
}

const (
	budgetSpan  = 10 * time.Second
	budgetRatio = 0.2
	budgetSlack = 58
)

// judge checks what can be told only at the end.
func (w *soakWorld) judge() {
	l := w.ledger
	for attempt, n := range l.runs {
		kind, known := l.kinds[attempt]
		if known && kind == once && n > 1 {
			l.fail("%s may run once and ran %d times", attempt, n)
		}
		if status, promised := l.promised[attempt]; promised {
			l.fail("%s was told %d, not run, and ran %d times", attempt, status, n)
		}
	}
	l.judgeBudget()
	w.poisons.judge()
}

// judgeBudget checks that repeats stay within their budget in each span.
func (l *ledger) judgeBudget() {
	sort.Slice(l.arrivals, func(i, j int) bool { return l.arrivals[i].at.Before(l.arrivals[j].at) })
	seen := map[string]bool{}
	repeat := make([]bool, len(l.arrivals))
	for i, a := range l.arrivals {
		repeat[i] = seen[a.attempt]
		seen[a.attempt] = true
	}
	first, requests, repeats := 0, 0, 0
	for i, a := range l.arrivals {
		count(&requests, &repeats, repeat[i], 1)
		for a.at.Sub(l.arrivals[first].at) > budgetSpan {
			count(&requests, &repeats, repeat[first], -1)
			first++
		}
		if float64(repeats) > budgetRatio*float64(requests)+budgetSlack {
			l.fail("%d repeats beside %d requests in the %v before %v", repeats, requests, budgetSpan, a.at)
			return
		}
	}
}

func count(requests, repeats *int, repeat bool, n int) {
	if repeat {
		*repeats += n
		return
	}
	*requests += n
}

func (l *ledger) clean() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.failed) == 0
}

func (l *ledger) report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := 0
	for _, n := range l.failed {
		all += n
	}
	return fmt.Sprintf("%d failures, the first of each kind:\n%s", all, strings.Join(l.failures, "\n"))
}

func (l *ledger) summary() string {
	return fmt.Sprintf("%d requests: %d served, %d refused, %d unknown, %d idle connections closed, %d requests crossed that, %d streams broken, %d cut by a kill; %d changes acknowledged",
		len(l.kinds), l.served.Load(), l.refused.Load(), l.unknown.Load(), l.closed.Load(), l.crossed.Load(), l.broken.Load(), l.cutByKill.Load(), l.puts.Load())
}
