package drain_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/drain"
)

var begun = time.Unix(1000, 0)

func at(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }

func TestPhases(t *testing.T) {
	RegisterTestingT(t)
	none := drain.Schedule{}
	Expect(none.Phase(at(0))).To(Equal(drain.Serving))
	s := drain.NewSchedule(begun, 2500*time.Millisecond, 7*time.Second)
	Expect(s.Phase(at(0))).To(Equal(drain.Announcing))
	Expect(s.Phase(at(2499))).To(Equal(drain.Announcing))
	Expect(s.Phase(at(2500))).To(Equal(drain.Ending))
	Expect(s.Phase(at(9000))).To(Equal(drain.Ending))
}

// A request that takes two seconds must not be accepted one second before the process
// ends, or it would be cut off.
func TestOnlyRequestsThatEndInTimeAreAccepted(t *testing.T) {
	RegisterTestingT(t)
	none := drain.Schedule{}
	Expect(none.Accepts(at(0), true, at(1e6))).To(BeTrue())
	s := drain.NewSchedule(begun, 2500*time.Millisecond, 7*time.Second)
	Expect(s.Accepts(at(2000), true, at(1e6))).To(BeTrue(), "the load balancer still sends requests here")
	Expect(s.Accepts(at(2500), true, at(2600))).To(BeFalse(), "the duration of a stream is unknown")
	Expect(s.Accepts(at(2500), false, at(7000))).To(BeTrue())
	Expect(s.Accepts(at(2500), false, at(7001))).To(BeFalse())
}

// connModel tracks a connection beside the actions of its two ends, for every order of
// events up to a length.
type connModel struct {
	conn  drain.Conn
	phase drain.Phase
	// unread requests may still come; read ones were read completely, answered and
	// dropped ones ended.
	unread, read, answered, dropped int
	reading                         bool
	// readerDone and finished say that the reader and the writer have ended; deadlineSet
	// that a read deadline is set on an idle connection, and idleDeadline that it is the
	// idle timeout.
	readerDone, finished, deadlineSet, idleDeadline, hungUp bool
}

// action is one event; do applies it, or reports that it is impossible now.
type action struct {
	name string
	do   func(w *connModel) bool
}

var actions = []action{
	{"a request begins", func(w *connModel) bool {
		if w.readerDone || w.reading || w.hungUp || w.unread == 0 {
			return false
		}
		w.unread--
		w.reading, w.deadlineSet = true, false
		w.conn.BeginRequest()
		return true
	}},
	{"a request is complete", func(w *connModel) bool {
		if !w.reading {
			return false
		}
		w.reading = false
		w.conn.RequestRead()
		if w.finished {
			w.conn.DropRequest()
			w.dropped++
			w.readerDone = true
			return true
		}
		w.read++
		return true
	}},
	{"a response keeps the connection open", func(w *connModel) bool { return w.answer(true) }},
	{"a response ends the connection", func(w *connModel) bool { return w.answer(false) }},
	{"the idle deadline passes", func(w *connModel) bool {
		if w.readerDone || !w.deadlineSet || w.reading {
			return false
		}
		w.deadlineSet, w.readerDone = false, true
		w.conn.HangUp()
		return true
	}},
	{"the client hangs up", func(w *connModel) bool {
		if w.readerDone || w.hungUp || w.reading {
			return false
		}
		w.hungUp, w.readerDone = true, true
		w.conn.HangUp()
		return true
	}},
	{"the drain announces", func(w *connModel) bool {
		if w.phase != drain.Serving {
			return false
		}
		w.phase = drain.Announcing
		return true
	}},
	{"the drain ends", func(w *connModel) bool {
		if w.phase != drain.Announcing {
			return false
		}
		w.phase = drain.Ending
		if w.conn.Sweep(0) != drain.KeepOpen {
			w.deadlineSet, w.idleDeadline = true, false
		}
		return true
	}},
}

func (w *connModel) answer(keep bool) bool {
	if w.finished || w.read == w.answered {
		return false
	}
	w.answered++
	switch w.conn.Answered(w.phase, keep) {
	case drain.Finish:
		w.finished, w.deadlineSet = true, true
	case drain.Await:
		w.deadlineSet, w.idleDeadline = true, true
	}
	return true
}

// waiting returns the number of requests that were read and not answered.
func (w *connModel) waiting() int { return w.read - w.answered }

// idle reports whether the connection is open and no request is being read or answered.
func (w *connModel) idle() bool {
	return !w.readerDone && !w.finished && !w.reading && w.waiting() == 0
}

// losesRequest reports whether the connection has ended with an unanswered request
// although the client waits.
func (w *connModel) losesRequest() bool {
	return w.readerDone && !w.hungUp && !w.finished && w.waiting() > 0
}

// violation returns the guarantee of the package that does not hold, or an empty string.
func (w *connModel) violation() string {
	switch {
	case w.losesRequest():
		return "a request that was read is cut off"
	case w.reading && w.conn.Sweep(0) != drain.KeepOpen:
		return "a request that is being read would be cut off by the drain"
	case w.idle() && !w.deadlineSet:
		return "an idle connection is never closed"
	case w.idle() && w.idleDeadline && w.phase == drain.Ending:
		return "an idle connection outlives the drain"
	case w.conn.Pending() != w.waiting():
		return "requests are miscounted"
	}
	return ""
}

// A new connection without a request is kept for a moment, since its first request may be
// in transit; a connection that waits for its next request is closed at once.
func TestNewConnectionsAreClosedLater(t *testing.T) {
	RegisterTestingT(t)
	var c drain.Conn
	Expect(c.Sweep(0)).To(Equal(drain.CloseLater))
	c.BeginRequest()
	Expect(c.Sweep(0)).To(Equal(drain.KeepOpen))
	c.RequestRead()
	Expect(c.Answered(drain.Announcing, true)).To(Equal(drain.Await))
	Expect(c.Sweep(0)).To(Equal(drain.CloseNow))
}

// At the end of a drain, a request may be lost with its connection, or a connection stay
// open for ever. Three such bugs came from different orders of the same few events, so
// this test tries all orders.
func TestEveryOrderOfEventsKeepsThePromises(t *testing.T) {
	const maxActions, requests = 14, 4
	explored := 0
	var explore func(w connModel, path []string)
	explore = func(w connModel, path []string) {
		if violation := w.violation(); violation != "" {
			t.Fatalf("%s after %q", violation, path)
		}
		if len(path) == maxActions {
			return
		}
		for _, s := range actions {
			next := w
			if s.do(&next) {
				explored++
				explore(next, append(path[:len(path):len(path)], s.name))
			}
		}
	}
	explore(connModel{unread: requests, deadlineSet: true, idleDeadline: true}, nil)
	if explored < 10_000 {
		t.Fatalf("only %d actions were explored", explored)
	}
	t.Logf("%d actions explored", explored)
}
