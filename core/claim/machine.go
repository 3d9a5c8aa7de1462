package claim

import (
	"bytes"
	"time"
)

// Limits bound the state. They must be equal on every member: a claim that one
// member grants and another refuses would split the group's states.
type Limits struct {
	// Bytes bounds the accounted size of all claims.
	Bytes int64
	// OrganisationBytes bounds those of one organisation, so that one that
	// floods the ledger leaves room for the others.
	OrganisationBytes int64
	// ReceiptBytes bounds the headers and body of one receipt.
	ReceiptBytes int
}

// DefaultLimits leave half of a voter's 64 MB to the rest of the control state.
var DefaultLimits = Limits{Bytes: 32 << 20, OrganisationBytes: 8 << 20, ReceiptBytes: 16 << 10}

const (
	// entryOverhead is the accounted size of a claim beside its strings and its
	// receipt, in bytes; TestBytesPerClaim compares it with the heap.
	entryOverhead = 640
	// lateMargin is added to a call's timeout before its claim counts as left
	// by a dead claimer. It covers clocks that differ and a receipt on its way.
	lateMargin = 2 * time.Second
	// maxTextLen bounds each of a command's strings.
	maxTextLen = 256
	digestLen  = 32
)

// entry is the state of one claimed key.
type entry struct {
	Key    Key    `codec:"k"`
	Digest []byte `codec:"d"`
	View   View   `codec:"v"`
	// Due is when the entry becomes a tombstone, and then when it is forgotten.
	Due       Instant       `codec:"du"`
	Retention time.Duration `codec:"re"`
	Tombstone bool          `codec:"to"`

	place int // in the queue of due entries
}

// Machine is the ledger of claims. It is deterministic: time comes with each
// command, never from a clock. It is not safe for concurrent use.
type Machine struct {
	limits  Limits
	entries map[Key]*entry
	due     dueQueue
	bytes   int64
	byOrg   map[string]int64
	// shortest is the shortest retention that each service ever had.
	shortest map[string]time.Duration
}

// New returns an empty ledger.
func New(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.entries = map[Key]*entry{}
	m.due = nil
	m.bytes = 0
	m.byOrg = map[string]int64{}
	m.shortest = map[string]time.Duration{}
}

// Apply carries out one command at the given time of the log and returns the
// encoded Result. The index is not used.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var c Command
	r := Result{Verdict: Malformed}
	if err := Decode(data, &c); err == nil && valid(&c) {
		r = m.Step(at, &c)
	}
	// A Result has only fields that the codec can write.
	out, _ := Encode(&r)
	return out
}

// Step is Apply on a decoded, valid command.
func (m *Machine) Step(now time.Time, c *Command) Result {
	at := InstantOf(now)
	m.expire(at)
	e := m.entries[c.Key]
	if c.Op == OpClaim {
		return m.claim(at, c, e)
	}
	if e == nil {
		return Result{Verdict: Absent}
	}
	switch c.Op {
	case OpRead:
		return e.tell(at)
	case OpReceipt:
		return m.receipt(c, e)
	case OpRelease:
		return m.release(c, e)
	case OpUnknown:
		return m.unknown(c, e)
	case OpResolve:
		return m.resolve(at, c, e)
	}
	return Result{Verdict: Malformed}
}

func valid(c *Command) bool {
	return validTexts(c) && validFor(c)
}

func validTexts(c *Command) bool {
	for _, s := range []string{c.Key.Organisation, c.Key.Service, c.Key.Idempotency, c.Attempt, c.Instance, c.Request, c.Upstream, c.By} {
		if len(s) > maxTextLen {
			return false
		}
	}
	return c.Key.Organisation != "" && c.Key.Service != "" && c.Key.Idempotency != ""
}

func validFor(c *Command) bool {
	settled := c.Outcome == Done || c.Outcome == Rejected
	switch c.Op {
	case OpClaim:
		return c.Attempt != "" && c.Request != "" && len(c.Digest) == digestLen && c.Timeout > 0 && c.Retention >= 2*c.Timeout
	case OpReceipt:
		return c.Receipt != nil && (settled || c.Outcome == Unknown)
	case OpResolve:
		return c.By != "" && (c.Outcome == NotRun || c.Receipt != nil && settled)
	}
	return true
}

// claim grants a key to one attempt. The same attempt is granted again, for a
// proposal whose answer was lost; any other attempt never is.
func (m *Machine) claim(at Instant, c *Command, e *entry) Result {
	switch {
	case e == nil:
		return m.grant(at, c)
	case !bytes.Equal(e.Digest, c.Digest):
		return Result{Verdict: KeyReused}
	case e.View.Attempt == c.Attempt && e.View.Outcome == Pending && !e.Tombstone:
		return Result{Verdict: Granted, View: e.view()}
	}
	return e.tell(at)
}

func (m *Machine) grant(at Instant, c *Command) Result {
	shortest := m.shorten(c.Key.Service, c.Retention)
	if outdated(c.Key.Idempotency, at.Time(), shortest) {
		return Result{Verdict: Expired}
	}
	e := &entry{
		Key: c.Key, Digest: c.Digest, Due: at.Add(c.Retention), Retention: c.Retention,
		View: View{Outcome: Pending, Instance: c.Instance, Attempt: c.Attempt, Request: c.Request,
			Upstream: c.Upstream, At: at, Until: at.Add(c.Timeout + lateMargin)},
	}
	// Full refuses the newcomer: forgetting an older claim early to make room
	// would let its resend run again.
	if cost := e.cost(); !m.fits(e.Key.Organisation, cost) {
		return Result{Verdict: Full}
	}
	m.insert(e)
	return Result{Verdict: Granted, View: e.view()}
}

// tell says what a claim means for anybody but its own attempt.
func (e *entry) tell(at Instant) Result {
	switch {
	case e.Tombstone:
		return Result{Verdict: Expired, View: e.view()}
	case e.View.Outcome == Pending && at < e.View.Until:
		return Result{Verdict: InProgress, View: e.view()}
	case e.View.Outcome == Pending, e.View.Outcome == Unknown:
		// Pending after its time: the claimer died between claim and receipt.
		// Whether the call ran can't be known from here, so it is never sent
		// again; a receipt that still comes is taken.
		v := e.view()
		v.Outcome = Unknown
		return Result{Verdict: OutcomeUnknown, View: v}
	}
	return Result{Verdict: Settled, View: e.view()}
}

func (e *entry) view() *View {
	v := e.View
	return &v
}

// receipt records an answer. One that comes after the outcome was marked unknown
// settles it, if the call's own attempt brings it.
func (m *Machine) receipt(c *Command, e *entry) Result {
	open := e.View.Outcome == Pending || e.View.Outcome == Unknown && e.View.Receipt == nil
	if e.View.Attempt != c.Attempt || !open {
		return Result{Verdict: Stale, View: e.view()}
	}
	m.settle(e, c.Outcome, c.Receipt)
	return Result{Verdict: Recorded, View: e.view()}
}

func (m *Machine) release(c *Command, e *entry) Result {
	if e.View.Attempt != c.Attempt || e.View.Outcome != Pending || e.Tombstone {
		return Result{Verdict: Stale, View: e.view()}
	}
	m.remove(e)
	return Result{Verdict: Recorded}
}

func (m *Machine) unknown(c *Command, e *entry) Result {
	if e.View.Attempt != c.Attempt || e.View.Outcome != Pending {
		return Result{Verdict: Stale, View: e.view()}
	}
	e.View.Outcome = Unknown
	return Result{Verdict: Recorded, View: e.view()}
}

func (m *Machine) resolve(at Instant, c *Command, e *entry) Result {
	if e.tell(at).Verdict != OutcomeUnknown || e.View.Attempt != c.Attempt {
		return Result{Verdict: Stale, View: e.view()}
	}
	if c.Outcome == NotRun {
		m.remove(e)
		return Result{Verdict: Recorded}
	}
	e.View.ResolvedBy = c.By
	m.settle(e, c.Outcome, c.Receipt)
	return Result{Verdict: Recorded, View: e.view()}
}

// settle keeps the answer if there is room; else its status alone, because the
// outcome must be recorded in any case.
func (m *Machine) settle(e *entry, o Outcome, r *Receipt) {
	m.account(e, -1)
	e.View.Outcome = o
	e.View.Receipt = r
	size := r.size()
	if e.Tombstone || size > int64(m.limits.ReceiptBytes) || !m.fits(e.Key.Organisation, e.cost()) {
		e.View.Receipt = &Receipt{Status: r.Status, Truncated: true}
	}
	m.account(e, 1)
}
