package schedule

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

// progressStep is the count of tokens between two notes of progress: often
// enough to charge long answers while they run, rarely enough to cost nothing.
const progressStep = 64

// Grant lets a request be sent to an upstream. Done must be called exactly when
// the attempt ended; further calls do nothing.
type Grant struct {
	sched.Grant
	s *Service

	mu      sync.Mutex
	started bool
	ended   bool
	noted   int
}

// FirstToken notes that the first token arrived.
func (g *Grant) FirstToken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.ended {
		return
	}
	g.started = true
	g.note(event{Kind: eventStarted, ID: g.ID})
}

// Progress notes how many tokens arrived so far.
func (g *Grant) Progress(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || tokens < g.noted+progressStep {
		return
	}
	g.noted = tokens
	g.note(event{Kind: eventProgress, ID: g.ID, Tokens: tokens})
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
