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

// A caller's request is cut off in the middle: it came when the process had a second
// to live and took two. What can't be answered in time must not be taken.
func TestOnlyWhatEndsInTimeIsTaken(t *testing.T) {
	RegisterTestingT(t)
	none := drain.Schedule{}
	Expect(none.Accepts(at(0), true, at(1e6))).To(BeTrue())
	s := drain.NewSchedule(begun, 2500*time.Millisecond, 7*time.Second)
	Expect(s.Accepts(at(2000), true, at(1e6))).To(BeTrue(), "the balancer still sends callers here")
	Expect(s.Accepts(at(2500), true, at(2600))).To(BeFalse(), "nobody knows how long a stream takes")
	Expect(s.Accepts(at(2500), false, at(7000))).To(BeTrue())
	Expect(s.Accepts(at(2500), false, at(7001))).To(BeFalse())
}

// world runs a connection's state beside what its two ends do, for every order of
// events up to a length.
type world struct {
	conn  drain.Conn
	phase drain.Phase
	// unread requests may still come; got were read whole and answered went out.
	unread, got, answered, dropped int
	reading                        bool
	// readerDone and finished say that the goroutines have ended; armed that a deadline
	// for an idle connection runs, and long that it is the usual one.
	readerDone, finished, armed, long, hungUp bool
}

// step does one thing that may happen next, or reports that it can't.
type step struct {
	name string
	do   func(w *world) bool
}

var steps = []step{
	{"a request begins", func(w *world) bool {
		if w.readerDone || w.reading || w.hungUp || w.unread == 0 {
			return false
		}
		w.unread--
		w.reading, w.armed = true, false
		w.conn.BeginRequest()
		return true
	}},
	{"a request is whole", func(w *world) bool {
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
		w.got++
		return true
	}},
	{"an answer keeps the connection", func(w *world) bool { return w.answer(true) }},
	{"an answer ends the connection", func(w *world) bool { return w.answer(false) }},
	{"the idle deadline passes", func(w *world) bool {
		if w.readerDone || !w.armed || w.reading {
			return false
		}
		w.armed, w.readerDone = false, true
		w.conn.HangUp()
		return true
	}},
	{"the caller hangs up", func(w *world) bool {
		if w.readerDone || w.hungUp || w.reading {
			return false
		}
		w.hungUp, w.readerDone = true, true
		w.conn.HangUp()
		return true
	}},
	{"the drain announces", func(w *world) bool {
		if w.phase != drain.Serving {
			return false
		}
		w.phase = drain.Announcing
		return true
	}},
	{"the drain ends", func(w *world) bool {
		if w.phase != drain.Announcing {
			return false
		}
		w.phase = drain.Ending
		if w.conn.Sweep(0) != drain.WithAnswer {
			w.armed, w.long = true, false
		}
		return true
	}},
}

func (w *world) answer(keep bool) bool {
	if w.finished || w.got == w.answered {
		return false
	}
	w.answered++
	switch w.conn.Answered(w.phase, keep) {
	case drain.Finish:
		w.finished, w.armed = true, true
	case drain.Await:
		w.armed, w.long = true, true
	}
	return true
}

// waiting is how many requests were read and are not answered.
func (w *world) waiting() int { return w.got - w.answered }

// idle reports whether the connection is open and nothing is under way.
func (w *world) idle() bool {
	return !w.readerDone && !w.finished && !w.reading && w.waiting() == 0
}

// cutsOff reports whether a request loses its connection though its caller waits.
func (w *world) cutsOff() bool {
	return w.readerDone && !w.hungUp && !w.finished && w.waiting() > 0
}

// broken names the promise of the package that does not hold.
func (w *world) broken() string {
	switch {
	case w.cutsOff():
		return "a request that was read is cut off"
	case w.reading && w.conn.Sweep(0) != drain.WithAnswer:
		return "a request that is being read would be cut off by the drain"
	case w.idle() && !w.armed:
		return "an idle connection is never closed"
	case w.idle() && w.long && w.phase == drain.Ending:
		return "an idle connection outlives the drain"
	case w.conn.Pending() != w.waiting():
		return "requests are miscounted"
	}
	return ""
}

// A caller has connected and not sent anything yet, another one waits to send its next
// request: the first is given a moment, for its request may be on its way.
func TestNewConnectionsAreClosedLater(t *testing.T) {
	RegisterTestingT(t)
	var c drain.Conn
	Expect(c.Sweep(0)).To(Equal(drain.Soon))
	c.BeginRequest()
	Expect(c.Sweep(0)).To(Equal(drain.WithAnswer))
	c.RequestRead()
	Expect(c.Answered(drain.Announcing, true)).To(Equal(drain.Await))
	Expect(c.Sweep(0)).To(Equal(drain.Now))
}

// A caller's request vanishes with its connection at the end of a drain, or the
// connection stays open for ever. Three faults of this kind were found one by one, each
// in another order of the same few events: here all orders are played.
func TestEveryOrderOfEventsKeepsThePromises(t *testing.T) {
	const longest, requests = 14, 4
	played := 0
	var play func(w world, path []string)
	play = func(w world, path []string) {
		if why := w.broken(); why != "" {
			t.Fatalf("%s after %q", why, path)
		}
		if len(path) == longest {
			return
		}
		for _, s := range steps {
			next := w
			if s.do(&next) {
				played++
				play(next, append(path[:len(path):len(path)], s.name))
			}
		}
	}
	play(world{unread: requests, armed: true, long: true}, nil)
	if played < 10_000 {
		t.Fatalf("only %d steps were played", played)
	}
	t.Logf("%d steps played", played)
}
