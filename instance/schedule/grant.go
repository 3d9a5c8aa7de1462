package schedule

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

const (
	// progressStep is the count of tokens between two notes of progress: often
	// enough to charge long answers while they run, rarely enough to cost
	// nothing.
	progressStep = 64
	// firstProgress is the count of tokens of the first note, or leastProgress
	// after firstWait; progressWait is the longest time between two notes of a
	// stream that moves. They let the scheduler see within a second or two that
	// an engine has become slow; a stream at the wanted 29 ms between tokens is
	// never that late.
	firstProgress = 8
	leastProgress = 5
	firstWait     = 300 * time.Millisecond
	progressWait  = 2 * time.Second
)

// Grant lets a request be sent to an upstream. Done must be called exactly when
// the attempt ended; further calls do nothing.
type Grant struct {
	sched.Grant
	s *Service

	mu      sync.Mutex
	started bool
	ended   bool
	noted   int
	notedAt time.Time
}

// FirstToken notes that the first token arrived.
func (g *Grant) FirstToken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.ended {
		return
	}
	g.started, g.notedAt = true, time.Now()
	g.note(event{Kind: eventStarted, ID: g.ID})
}

// Progress notes how many tokens arrived so far.
func (g *Grant) Progress(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || !g.worthNoting(tokens, time.Now()) {
		return
	}
	g.noted, g.notedAt = tokens, time.Now()
	g.note(event{Kind: eventProgress, ID: g.ID, Tokens: tokens})
}

func (g *Grant) worthNoting(tokens int, now time.Time) bool {
	if g.noted == 0 {
		return tokens >= firstProgress || tokens >= leastProgress && now.Sub(g.notedAt) >= firstWait
	}
	return tokens >= g.noted+progressStep || now.Sub(g.notedAt) >= progressWait
}

// Done ends the grant and frees its slot.
func (g *Grant) Done(o sched.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.note(event{Kind: eventFinish, ID: g.ID, Outcome: o})
}

func (g *Grant) note(e event) {
	g.s.post(func(now time.Time) { g.s.state.note(now, e) })
}
