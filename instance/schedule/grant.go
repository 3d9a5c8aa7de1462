package schedule

import (
	"sync"
	"time"

	"github.com/comfreyladder/comfreyladder/core/sched"
)

const (
	// progressStepTokens is the number of tokens between two progress events. It is small
	// enough to charge long answers while they run, and large enough to keep the cost of
	// the events negligible.
	progressStepTokens = 64
	// The first progress event is sent after firstProgressTokens tokens, or after
	// minFirstProgressTokens tokens once firstProgressDelay has passed. Later,
	// maxProgressInterval is the longest time between two events while tokens arrive. The
	// scheduler thus detects a slow engine within one to two seconds. A stream with the
	// target of 29 ms between tokens reaches firstProgressTokens before
	// firstProgressDelay.
	firstProgressTokens    = 8
	minFirstProgressTokens = 5
	firstProgressDelay     = 300 * time.Millisecond
	maxProgressInterval    = 2 * time.Second
)

// Grant permits sending a request to an upstream. Done must be called when the attempt has
// ended; further calls have no effect.
type Grant struct {
	sched.Grant
	s *Service

	mu             sync.Mutex
	started        bool
	ended          bool
	reportedTokens int
	reportedAt     time.Time
}

// FirstToken reports that the first token arrived.
func (g *Grant) FirstToken() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.started || g.ended {
		return
	}
	g.started, g.reportedAt = true, time.Now()
	g.report(event{Kind: eventStarted, ID: g.ID})
}

// Progress reports how many tokens have arrived so far.
func (g *Grant) Progress(tokens int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended || !g.shouldReport(tokens, time.Now()) {
		return
	}
	g.reportedTokens, g.reportedAt = tokens, time.Now()
	g.report(event{Kind: eventProgress, ID: g.ID, Tokens: tokens})
}

func (g *Grant) shouldReport(tokens int, now time.Time) bool {
	if g.reportedTokens == 0 {
		return tokens >= firstProgressTokens || tokens >= minFirstProgressTokens && now.Sub(g.reportedAt) >= firstProgressDelay
	}
	return tokens >= g.reportedTokens+progressStepTokens || now.Sub(g.reportedAt) >= maxProgressInterval
}

// Done ends the grant and frees its slot.
func (g *Grant) Done(o sched.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	g.report(event{Kind: eventFinish, ID: g.ID, Outcome: o})
}

func (g *Grant) report(e event) {
	g.s.enqueue(func(now time.Time) { g.s.state.recordEvent(now, e) })
}
