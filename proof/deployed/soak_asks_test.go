package deployed_test

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// Steps of stepPause let an upstream turn all requests away and ask for a pause; those of
	// stepLeave let it say that it leaves, some time before it reports its drain.
	stepPause stepKind = "pause"
	stepLeave stepKind = "leave"

	// firstAsking is the first seed whose steps have these kinds too: earlier ones go on to draw
	// what they drew.
	firstAsking = 4000
	// onItsWay is added to a bound for a request that has left its edge.
	onItsWay = 300 * time.Millisecond
)

var askingWeights = []weight{{stepPause, 5}, {stepLeave, 3}}

// ask is what a runner asks for in one of its lives.
type ask struct {
	r       *soakRunner
	pause   time.Duration
	leaving bool

	mu   sync.Mutex
	told map[*soakNode][]*toldAsk
}

// toldAsk is one answer that asked an edge for something, and how many requests of that edge came
// though they were not wanted.
type toldAsk struct {
	at       time.Time
	unwanted int
}

// asks lets the present life of the runner ask for something for a while; one that leaves drains then.
func (r *soakRunner) asks(s soakStep) {
	a := &ask{r: r, leaving: s.kind == stepLeave, told: map[*soakNode][]*toldAsk{}}
	if !a.leaving {
		a.pause = s.delay
	}
	life := r.current()
	if !life.ask.CompareAndSwap(nil, a) {
		return
	}
	time.Sleep(s.lasts)
	if a.leaving {
		r.drainAndReturn(0)
		return
	}
	life.ask.Store(nil)
}

// arrived judges a request of an edge, and asks in its answer. It reports whether that is the whole
// answer.
func (a *ask) arrived(out http.ResponseWriter, attempt string, edge *soakNode) bool {
	if a == nil || edge == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for _, t := range a.told[edge] {
		a.judge(t, attempt, edge, now)
	}
	a.told[edge] = append(a.told[edge], &toldAsk{at: now})
	if a.leaving {
		out.Header().Set("Server-Leaving", "1")
		return false
	}
	out.Header().Set("Attempt-Id", attempt)
	out.Header().Set("Not-Executed", "1")
	out.Header().Set("Retry-After", strconv.FormatFloat(a.pause.Seconds(), 'f', 3, 64))
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// judge checks a request that comes after an answer that asked for something. An edge that did not
// run all the while, or may not have got the answer, is excused.
func (a *ask) judge(t *toldAsk, attempt string, edge *soakNode, now time.Time) {
	w, since := a.r.w, now.Sub(t.at)
	from, to, most := pauseGrace, a.pause, mostInPause
	if a.leaving {
		from, to, most = leaveGrace+onItsWay, since+1, 0
	}
	if since < from || since >= to {
		return
	}
	begun := t.at.Add(-time.Second)
	if edge.wasKilled(begun, now) || edge.wasFrozen(begun, now) || edge.begunAfter(begun) || w.machine.hung(begun, now) || w.faulty.within(begun, t.at.Add(time.Second)) {
		return
	}
	t.unwanted++
	if t.unwanted == most+1 {
		w.ledger.fail("%s got %s from %s %v after it had asked for no requests (pause %v, leaving %t), %d in all", a.r.id, attempt, edge.name, since, a.pause, a.leaving, t.unwanted)
	}
}

// begunAfter reports whether the process was started after a moment.
func (n *soakNode) begunAfter(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.begun.After(at)
}
