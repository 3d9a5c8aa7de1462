// Package claim is the state machine of at-most-once calls. Before a call with
// an idempotency key leaves, its key is claimed; after the answer, the receipt
// is recorded. A resend finds one or the other and is never sent again.
//
// The order "commit the identity, make the call, commit the receipt" leaves one
// gap that no protocol closes: the call may have run though no receipt came. It
// has a name here, OutcomeUnknown, and never turns into another attempt. The
// order and the four outcomes follow "The queue did exactly what I asked"; the
// history test of instance/plain counts the effects.
//
// Retention. A claim keeps its receipt for its retention. For as long again
// it is a tombstone: the key, without the receipt, which still refuses a resend
// as Expired. After that the key is forgotten. A key that is a version 7 UUID
// carries its time of creation and is refused for good once it is older than
// that, so that it never runs twice; for any other key the second edge is the
// stated limit, because a forgotten key can't be told from a new one.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key names one intended effect.
type Key struct {
	Organisation string `codec:"o"`
	Service      string `codec:"s"`
	// Idempotency is the caller's Idempotency-Key.
	Idempotency string `codec:"k"`
}

// Digest returns the SHA-256 of a call's content, in 32 bytes. It is compared
// when a key comes again; a weaker hash could be made to collide by a caller.
func Digest(method, path string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// Outcome is what is known about a claimed call.
type Outcome string

// The outcomes. A call that is proved not to have run has no claim.
const (
	// Pending means that no observation was recorded yet.
	Pending Outcome = "pending"
	// Done means that the service answered with success.
	Done Outcome = "done"
	// Rejected means that the service answered that it refuses the call.
	Rejected Outcome = "rejected"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
	// NotRun is for OpResolve alone: the operator has proof that the call did
	// not run and, its claimer being gone, never will.
	NotRun Outcome = "not_run"
)

// Field is one header field.
type Field struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Receipt is the service's answer as far as it is kept.
type Receipt struct {
	Status  int     `codec:"s"`
	Headers []Field `codec:"h"`
	Body    []byte  `codec:"b"`
	// Truncated says that headers and body were too large to be kept.
	Truncated bool `codec:"t"`
}

// View is what a result tells about a claim.
type View struct {
	Outcome  Outcome `codec:"o"`
	Instance string  `codec:"i"`
	Attempt  string  `codec:"a"`
	// Request is the ID under which the service knows the call.
	Request  string `codec:"r"`
	Upstream string `codec:"u"`
	// At is when the claim was made; Until is when its call ends at the latest.
	At    Instant `codec:"at"`
	Until Instant `codec:"un"`
	// Receipt is the kept answer, or nil.
	Receipt *Receipt `codec:"rc"`
	// ResolvedBy names who settled an unknown outcome; empty for the call itself.
	ResolvedBy string `codec:"by"`
}

// Op is the kind of a Command.
type Op string

// The commands.
const (
	// OpClaim claims a key for an attempt.
	OpClaim Op = "claim"
	// OpReceipt records the answer of an attempt.
	OpReceipt Op = "receipt"
	// OpRelease gives a claim back: the attempt is proved not to have run.
	OpRelease Op = "release"
	// OpUnknown records that an attempt ended without an answer.
	OpUnknown Op = "unknown"
	// OpResolve settles an unknown outcome, by a query or an operator.
	OpResolve Op = "resolve"
	// OpRead reads a claim at this place of the log.
	OpRead Op = "look"
)

// Command is one entry of the log.
type Command struct {
	Op      Op     `codec:"op"`
	Key     Key    `codec:"k"`
	Attempt string `codec:"a"`
	// For OpClaim: the content's Digest, who claims, and for how long.
	Digest   []byte `codec:"d"`
	Instance string `codec:"i"`
	Request  string `codec:"r"`
	Upstream string `codec:"u"`
	// Timeout bounds the call. After it, and a margin, a claim without a
	// receipt is an unknown outcome: its claimer died or is cut off.
	Timeout   time.Duration `codec:"to"`
	Retention time.Duration `codec:"re"`
	// For OpReceipt and OpResolve.
	Outcome Outcome  `codec:"oc"`
	Receipt *Receipt `codec:"rc"`
	By      string   `codec:"by"`
}

// Verdict is the kind of a Result.
type Verdict string

// The verdicts.
const (
	// Granted means that the attempt may be sent, once.
	Granted Verdict = "granted"
	// InProgress means that another attempt holds the claim and may be running.
	InProgress Verdict = "in_progress"
	// Settled means that the outcome is known; View says which.
	Settled Verdict = "settled"
	// OutcomeUnknown means that an attempt may have run; it is not repeated.
	OutcomeUnknown Verdict = "outcome_unknown"
	// KeyReused means that the key was claimed with other content.
	KeyReused Verdict = "key_reused"
	// Expired means that the key was used, or is too old to tell.
	Expired Verdict = "expired"
	// Full means that there is no room for another claim; nothing was run.
	Full Verdict = "full"
	// Recorded means that a command other than OpClaim took effect.
	Recorded Verdict = "recorded"
	// Stale means that the claim belongs to another attempt or is settled.
	Stale Verdict = "stale"
	// Absent means that there is no such claim.
	Absent Verdict = "absent"
	// Malformed means that the command is not valid.
	Malformed Verdict = "malformed"
)

// Result is the answer to a Command.
type Result struct {
	Verdict Verdict `codec:"v"`
	View    *View   `codec:"w"`
}
