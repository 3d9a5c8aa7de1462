package claim

import (
	"bytes"
	"time"
)

// Limits bound the state. They must be equal on every member: if one member granted a
// claim that another refused, their states would diverge.
type Limits struct {
	// Bytes limits the accounted size of all claims.
	Bytes int64
	// OrganisationBytes limits the claims of one organisation, so that an organisation
	// with very many claims leaves room for the others.
	OrganisationBytes int64
	// ReceiptBytes limits the headers and body of one receipt.
	ReceiptBytes int
}

// DefaultLimits leaves half of a voter's 64 MB to the rest of the control state.
var DefaultLimits = Limits{Bytes: 32 << 20, OrganisationBytes: 8 << 20, ReceiptBytes: 16 << 10}

const (
	// entryOverhead is the accounted size, in bytes, of a claim without its strings and
	// its receipt; TestBytesPerClaim compares it with the heap.
	entryOverhead = 640
	// receiptMargin is added to a call's timeout before the claim counts as abandoned. It
	// covers clock differences and a receipt in transit.
	receiptMargin = 2 * time.Second
	// maxTextLen limits each string of a command.
	maxTextLen = 256
	digestLen  = 32
)

// entry is the state of one claimed key.
type entry struct {
	Key    Key    `codec:"k"`
	Digest []byte `codec:"d"`
	View   View   `codec:"v"`
	// ExpiresAt is when the entry becomes a tombstone, and after that when the tombstone
	// is removed.
	ExpiresAt Instant       `codec:"du"`
	Retention time.Duration `codec:"re"`
	Tombstone bool          `codec:"to"`

	heapIndex int // in Machine.expiryQueue
}

// Machine is the state machine of all claims. It is deterministic: the time is part of
// each command and never read from a clock. It is not safe for concurrent use.
type Machine struct {
	limits      Limits
	entries     map[Key]*entry
	expiryQueue expiryHeap
	bytes       int64
	byOrg       map[string]int64
	// minRetentions is the shortest retention that each service has ever had.
	minRetentions map[string]time.Duration
}

// New returns a Machine without claims.
func New(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.entries = map[Key]*entry{}
	m.expiryQueue = nil
	m.bytes = 0
	m.byOrg = map[string]int64{}
	m.minRetentions = map[string]time.Duration{}
}

// Apply executes one command at the given time of the log and returns the encoded Result.
// The index is not used.
func (m *Machine) Apply(_ uint64, at time.Time, data []byte) []byte {
	var c Command
	r := Result{Verdict: Malformed}
	if err := Decode(data, &c); err == nil && validCommand(&c) {
		r = m.Step(at, &c)
	}
	// A Result has only fields that the codec can write.
	out, _ := Encode(&r)
	return out
}

// Step is Apply for a command that is already decoded and valid.
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
		return e.lookup(at)
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

func validCommand(c *Command) bool {
	return validTexts(c) && validFields(c)
}

func validTexts(c *Command) bool {
	for _, s := range []string{c.Key.Organisation, c.Key.Service, c.Key.Idempotency, c.Attempt, c.Instance, c.Request, c.Upstream, c.By} {
		if len(s) > maxTextLen {
			return false
		}
	}
	return c.Key.Organisation != "" && c.Key.Service != "" && c.Key.Idempotency != ""
}

func validFields(c *Command) bool {
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

// claim grants a key to one attempt. The same attempt is granted again, as the response
// to its proposal may have been lost; any other attempt is not.
func (m *Machine) claim(at Instant, c *Command, e *entry) Result {
	switch {
	case e == nil:
		return m.grant(at, c)
	case !bytes.Equal(e.Digest, c.Digest):
		return Result{Verdict: KeyReused}
	case e.View.Attempt == c.Attempt && e.View.Outcome == Pending && !e.Tombstone:
		return Result{Verdict: Granted, View: e.copyView()}
	}
	return e.lookup(at)
}

func (m *Machine) grant(at Instant, c *Command) Result {
	shortest := m.minRetention(c.Key.Service, c.Retention)
	if uuidOutdated(c.Key.Idempotency, at.Time(), shortest) {
		return Result{Verdict: Expired}
	}
	e := &entry{
		Key: c.Key, Digest: c.Digest, ExpiresAt: at.Add(c.Retention), Retention: c.Retention,
		View: View{Outcome: Pending, Instance: c.Instance, Attempt: c.Attempt, Request: c.Request,
			Upstream: c.Upstream, At: at, Until: at.Add(c.Timeout + receiptMargin)},
	}
	// A full state refuses the new claim: removing an older claim early to make room
	// would let the call of its resend run again.
	if cost := e.cost(); !m.hasRoom(e.Key.Organisation, cost) {
		return Result{Verdict: Full}
	}
	m.insert(e)
	return Result{Verdict: Granted, View: e.copyView()}
}

// lookup returns the result for anyone other than the claim's own attempt.
func (e *entry) lookup(at Instant) Result {
	switch {
	case e.Tombstone:
		return Result{Verdict: Expired, View: e.copyView()}
	case e.View.Outcome == Pending && at < e.View.Until:
		return Result{Verdict: InProgress, View: e.copyView()}
	case e.View.Outcome == Pending, e.View.Outcome == Unknown:
		// Pending after its end time: the claimer failed between claim and receipt.
		// Whether the call ran cannot be known here, so it is never sent again; a late
		// receipt is still recorded.
		v := e.copyView()
		v.Outcome = Unknown
		return Result{Verdict: OutcomeUnknown, View: v}
	}
	return Result{Verdict: Settled, View: e.copyView()}
}

func (e *entry) copyView() *View {
	v := e.View
	return &v
}

// receipt records a response. One that arrives after the outcome was marked unknown still
// counts if it comes from the claim's own attempt.
func (m *Machine) receipt(c *Command, e *entry) Result {
	open := e.View.Outcome == Pending || e.View.Outcome == Unknown && e.View.Receipt == nil
	if e.View.Attempt != c.Attempt || !open {
		return Result{Verdict: Stale, View: e.copyView()}
	}
	m.recordOutcome(e, c.Outcome, c.Receipt)
	return Result{Verdict: Recorded, View: e.copyView()}
}

func (m *Machine) release(c *Command, e *entry) Result {
	if e.View.Attempt != c.Attempt || e.View.Outcome != Pending || e.Tombstone {
		return Result{Verdict: Stale, View: e.copyView()}
	}
	m.remove(e)
	return Result{Verdict: Recorded}
}

func (m *Machine) unknown(c *Command, e *entry) Result {
	if e.View.Attempt != c.Attempt || e.View.Outcome != Pending {
		return Result{Verdict: Stale, View: e.copyView()}
	}
	e.View.Outcome = Unknown
	return Result{Verdict: Recorded, View: e.copyView()}
}

func (m *Machine) resolve(at Instant, c *Command, e *entry) Result {
	if e.lookup(at).Verdict != OutcomeUnknown || e.View.Attempt != c.Attempt {
		return Result{Verdict: Stale, View: e.copyView()}
	}
	if c.Outcome == NotRun {
		m.remove(e)
		return Result{Verdict: Recorded}
	}
	e.View.ResolvedBy = c.By
	m.recordOutcome(e, c.Outcome, c.Receipt)
	return Result{Verdict: Recorded, View: e.copyView()}
}

// recordOutcome stores the response if there is room, otherwise its status alone, because
// the outcome must be recorded in any case.
func (m *Machine) recordOutcome(e *entry, o Outcome, r *Receipt) {
	m.account(e, -1)
	e.View.Outcome = o
	e.View.Receipt = r
	size := r.size()
	if e.Tombstone || size > int64(m.limits.ReceiptBytes) || !m.hasRoom(e.Key.Organisation, e.cost()) {
		e.View.Receipt = &Receipt{Status: r.Status, Truncated: true}
	}
	m.account(e, 1)
}
