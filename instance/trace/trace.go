// Package trace records the decisions made for recent requests and their reasons, so that
// operators can look up what happened to a request.
package trace

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxRecords limits the requests on record and maxEvents the events of each: together they
	// take at most about 10 MB.
	maxRecords = 10_000
	maxEvents  = 32
)

// Event is one step in the handling of a request.
type Event struct {
	// AtMillis is the time since the request's arrival in milliseconds.
	AtMillis float64 `json:"at_ms" codec:"at_ms"`
	Text     string  `json:"text" codec:"text"`
}

// Record is the history of one request.
type Record struct {
	ID           string    `json:"id" codec:"id"`
	Organisation string    `json:"organisation" codec:"organisation"`
	Class        string    `json:"class" codec:"class"`
	Model        string    `json:"model" codec:"model"`
	Arrived      time.Time `json:"arrived" codec:"arrived"`
	// Outcome is empty while the request is running, then "done" or an error code.
	Outcome string  `json:"outcome" codec:"outcome"`
	Tokens  int     `json:"tokens" codec:"tokens"`
	Events  []Event `json:"events" codec:"events"`
}

// Log is a ring buffer of the most recent records.
type Log struct {
	mu    sync.Mutex
	byID  map[string]*Record
	order []string
	next  int
}

// New returns an empty log.
func New() *Log { return &Log{byID: map[string]*Record{}} }

// Begin adds the record of a new request and evicts the oldest one if the log is full.
func (l *Log) Begin(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.order) < maxRecords {
		l.order = append(l.order, r.ID)
	} else {
		delete(l.byID, l.order[l.next])
		l.order[l.next] = r.ID
		l.next = (l.next + 1) % maxRecords
	}
	l.byID[r.ID] = &r
}

// Add appends an event to a request's record. It does nothing if the record has been evicted or
// has maxEvents events.
func (l *Log) Add(id, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byID[id]
	if r == nil || len(r.Events) >= maxEvents {
		return
	}
	at := float64(time.Since(r.Arrived).Microseconds()) / 1000
	r.Events = append(r.Events, Event{AtMillis: at, Text: fmt.Sprintf(format, args...)})
}

// End sets the outcome and the token count of a request.
func (l *Log) End(id, outcome string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.byID[id]; r != nil {
		r.Outcome = outcome
		r.Tokens = tokens
	}
}

// Find returns a copy of a request's record.
func (l *Log) Find(id string) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byID[id]
	if r == nil {
		return Record{}, false
	}
	c := *r
	c.Events = append([]Event(nil), r.Events...)
	return c, true
}
