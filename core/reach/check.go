package reach

import "time"

const (
	// Patience is how long a check waits for an answer before other instances are asked for the same
	// upstreams.
	Patience = 400 * time.Millisecond
	// Grace is how much longer an upstream may take to answer this instance than another one that asked
	// it later.
	Grace = 300 * time.Millisecond
	// maxRetries is how often an upstream is asked again once another instance got an answer: an
	// overloaded upstream may drop any connection, and one that ended may have started again.
	maxRetries = 2
	// quickly is within what time a connect is refused if nobody listens there, far below the time after
	// which one that nothing answers is given up.
	quickly = 100 * time.Millisecond
)

// Outcome is what became of a try to get an answer from an upstream.
type Outcome uint8

const (
	// Pending means that nothing came back yet.
	Pending Outcome = iota
	// Unconnected means that no connection could be made.
	Unconnected
	// Lost means that the connection was made and ended before any answer.
	Lost
	// Withheld means that the connection was made, and that nothing was sent as the upstream has no room.
	// It proves neither the links nor a cut.
	Withheld
	// Answered means that bytes of an answer came back, whichever they are.
	Answered
)

// Verdict is what a check has found so far.
type Verdict uint8

const (
	// Undecided means that no upstream has answered this instance, and that this is not known to be due to
	// its links.
	Undecided Verdict = iota
	// Sound means that an upstream has answered.
	Sound
	// CutOff means that an upstream answers another instance and not this one.
	CutOff
)

// Check compares the answers that this instance and others get from some upstreams. The zero value has
// asked none. It is not safe for concurrent use.
type Check struct{ tries []try }

// try is what is known of one upstream.
type try struct {
	outcome Outcome
	// strained is set if the upstream is short of room.
	strained bool
	begun    time.Time
	retries  int
	// endedAt is when the latest try of this instance ended, acceptedAt when another instance first could
	// connect, and byOther when another one got an answer; zero if that has not happened.
	endedAt, acceptedAt, byOther time.Time
}

// Begin records that this instance asks another upstream, which may be short of room, and returns its
// number in the check.
func (c *Check) Begin(now time.Time, strained bool) int {
	c.tries = append(c.tries, try{begun: now, strained: strained})
	return len(c.tries) - 1
}

// Ended records how a try ended.
func (c *Check) Ended(i int, o Outcome, now time.Time) {
	c.tries[i].outcome, c.tries[i].endedAt = o, now
}

// AcceptedOther records that another instance could connect to an upstream that this one asked before.
// That is proof enough if this one can connect to none at that time.
func (c *Check) AcceptedOther(i int, now time.Time) {
	if c.tries[i].acceptedAt.IsZero() {
		c.tries[i].acceptedAt = now
	}
}

// AnsweredOther records that another instance got an answer from an upstream that this one asked before.
func (c *Check) AnsweredOther(i int, now time.Time) {
	c.AcceptedOther(i, now)
	if c.tries[i].byOther.IsZero() {
		c.tries[i].byOther = now
	}
}

// Retry reports whether this instance must ask an upstream again, and records that it does.
func (c *Check) Retry(i int, now time.Time) bool {
	t := &c.tries[i]
	if t.byOther.IsZero() && !t.unproven() || !t.mayRetry() {
		return false
	}
	t.outcome, t.begun = Pending, now
	t.retries++
	return true
}

func (t *try) mayRetry() bool {
	return (t.outcome == Lost || t.outcome == Unconnected) && t.retries < maxRetries
}

// unproven reports whether the upstream may have started between the failed connect of this instance and
// the success of another one. A quick refusal lasts for no time, so any start of the upstream falls between
// the two unless this instance has tried again since.
func (t *try) unproven() bool {
	if t.outcome != Unconnected || t.acceptedAt.IsZero() {
		return false
	}
	if t.endedAt.Sub(t.begun) < quickly {
		return t.begun.Before(t.acceptedAt)
	}
	return t.acceptedAt.Sub(t.endedAt) > Grace
}

// unconnected reports whether this instance can connect to no upstream though another one can.
func (c *Check) unconnected() bool {
	byOther := false
	for i := range c.tries {
		if c.tries[i].outcome != Unconnected {
			return false
		}
		byOther = byOther || !c.tries[i].acceptedAt.IsZero() && !c.tries[i].unproven()
	}
	return byOther
}

// Verdict returns what the check has found. While it is undecided, left is how long until that changes
// by itself, zero if it does not.
func (c *Check) Verdict(now time.Time) (v Verdict, left time.Duration) {
	if c.unconnected() {
		return CutOff, 0
	}
	for i := range c.tries {
		t := &c.tries[i]
		if t.outcome == Answered {
			return Sound, 0
		}
		if t.byOther.IsZero() || t.mayRetry() || t.outcome == Withheld {
			continue
		}
		wait := t.graceLeft(now)
		switch {
		case wait <= 0:
			v = CutOff
		case left == 0 || wait < left:
			left = wait
		}
	}
	if v == CutOff {
		return CutOff, 0
	}
	return v, left
}

// graceLeft returns how long the upstream may still take to answer this instance.
func (t *try) graceLeft(now time.Time) time.Duration {
	if t.outcome != Pending {
		return 0
	}
	from := t.byOther
	if t.begun.After(from) {
		from = t.begun
	}
	return Grace - now.Sub(from)
}

// Futile reports whether further tries can't show a cut: this instance could connect, and what it did not
// send would have gone to upstreams without room.
func (c *Check) Futile() bool {
	withheld := false
	for i := range c.tries {
		switch c.tries[i].outcome {
		case Withheld:
			withheld = true
		case Unconnected:
		default:
			return false
		}
	}
	return withheld
}

// Open returns how many tries have not ended.
func (c *Check) Open() (n int) {
	for i := range c.tries {
		if c.tries[i].outcome == Pending {
			n++
		}
	}
	return n
}

// Result returns what the check has found in numbers.
func (c *Check) Result() (r Result) {
	r.Strained = true
	for i := range c.tries {
		t := &c.tries[i]
		switch t.outcome {
		case Answered:
			r.Reached++
			r.Strained = r.Strained && t.strained
		case Withheld:
			r.Withheld++
		default:
			r.Failed++
		}
	}
	r.Strained = r.Strained && r.Reached+r.Withheld > 0
	return r
}
