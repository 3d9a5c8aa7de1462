// Package claim is the state machine of at-most-once calls. Before a call with an
// idempotency key is sent, its key is claimed; after the response, the receipt is
// recorded. A resend finds the claim or the receipt, and the call is not sent again.
//
// The sequence of committing the key, making the call and committing the receipt leaves
// one gap that no protocol can close: the call may have run although no receipt was
// recorded. This outcome is OutcomeUnknown, and it never leads to another attempt. The
// sequence and the four outcomes follow "The queue did exactly what I asked"; the history
// test of instance/plain counts the effects.
//
// A claim keeps its receipt for its retention. For the same time again it is a tombstone:
// the key without the receipt, which still refuses a resend as Expired. After that the
// key is forgotten. A key that is a version 7 UUID contains its creation time and is
// refused for ever once it is older than that, so its call never runs twice. For any
// other key the guarantee ends there, because a forgotten key cannot be told from a new
// one.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies one intended effect.
type Key struct {
	Organisation string `codec:"o"`
	Service      string `codec:"s"`
	// Idempotency is the client's Idempotency-Key.
	Idempotency string `codec:"k"`
}

// Digest returns the SHA-256 of a call's content, in 32 bytes. It is compared when a key
// is used again; a client could produce collisions of a weaker hash.
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

// Outcome is what is known about the result of a claimed call.
type Outcome string

// Values of Outcome. A call that provably has not run has no claim.
const (
	// Pending means that no result was recorded yet.
	Pending Outcome = "pending"
	// Done means that the service reported success.
	Done Outcome = "done"
	// Rejected means that the service refused the call.
	Rejected Outcome = "rejected"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
	// NotRun is used by OpResolve only: the operator has proof that the call did not run
	// and, since its claimer is gone, never will.
	NotRun Outcome = "not_run"
)

// HeaderField is one header field of a stored response.
type HeaderField struct {
	Name  string `codec:"n"`
	Value string `codec:"v"`
}

// Receipt is the stored part of the service's response.
type Receipt struct {
	Status  int           `codec:"s"`
	Headers []HeaderField `codec:"h"`
	Body    []byte        `codec:"b"`
	// Truncated says that headers and body were too large to store.
	Truncated bool `codec:"t"`
}

// View is the state of a claim as returned in a Result.
type View struct {
	Outcome  Outcome `codec:"o"`
	Instance string  `codec:"i"`
	Attempt  string  `codec:"a"`
	// Request is the ID of the call at the service.
	Request  string `codec:"r"`
	Upstream string `codec:"u"`
	// At is when the claim was made; Until is when its call ends at the latest.
	At    Instant `codec:"at"`
	Until Instant `codec:"un"`
	// Receipt is the stored response, or nil.
	Receipt *Receipt `codec:"rc"`
	// ResolvedBy names who resolved an unknown outcome; it is empty if the call itself
	// did.
	ResolvedBy string `codec:"by"`
}

// Op is the kind of a Command.
type Op string

// Values of Op.
const (
	// OpClaim claims a key for an attempt.
	OpClaim Op = "claim"
	// OpReceipt records the response to an attempt.
	OpReceipt Op = "receipt"
	// OpRelease removes the claim of an attempt that provably did not run.
	OpRelease Op = "release"
	// OpUnknown records that an attempt ended without a response.
	OpUnknown Op = "unknown"
	// OpResolve resolves an unknown outcome after a query or by an operator.
	OpResolve Op = "resolve"
	// OpRead reads a claim at this position of the log.
	OpRead Op = "look"
)

// Command is one log entry.
type Command struct {
	Op      Op     `codec:"op"`
	Key     Key    `codec:"k"`
	Attempt string `codec:"a"`
	// The fields from Digest to Retention are for OpClaim: the Digest of the content, the
	// claimer, and the times.
	Digest   []byte `codec:"d"`
	Instance string `codec:"i"`
	Request  string `codec:"r"`
	Upstream string `codec:"u"`
	// Timeout limits the call. After it and a margin, a claim without a receipt has an
	// unknown outcome: its claimer has failed or is cut off.
	Timeout   time.Duration `codec:"to"`
	Retention time.Duration `codec:"re"`
	// Outcome, Receipt and By are for OpReceipt and OpResolve.
	Outcome Outcome  `codec:"oc"`
	Receipt *Receipt `codec:"rc"`
	By      string   `codec:"by"`
}

// Verdict is the kind of a Result.
type Verdict string

// Values of Verdict.
const (
	// Granted means that the attempt may be sent, once.
	Granted Verdict = "granted"
	// InProgress means that another attempt holds the claim and may be running.
	InProgress Verdict = "in_progress"
	// Settled means that the outcome is known; View contains it.
	Settled Verdict = "settled"
	// OutcomeUnknown means that an attempt may have run; it is not repeated.
	OutcomeUnknown Verdict = "outcome_unknown"
	// KeyReused means that the key was claimed with different content.
	KeyReused Verdict = "key_reused"
	// Expired means that the key was used before, or is too old to tell.
	Expired Verdict = "expired"
	// Full means that there is no room for another claim; nothing was run.
	Full Verdict = "full"
	// Recorded means that a command other than OpClaim took effect.
	Recorded Verdict = "recorded"
	// Stale means that the claim belongs to another attempt or already has an outcome.
	Stale Verdict = "stale"
	// Absent means that there is no such claim.
	Absent Verdict = "absent"
	// Malformed means that the command is invalid.
	Malformed Verdict = "malformed"
)

// Result is the answer to a Command.
type Result struct {
	Verdict Verdict `codec:"v"`
	View    *View   `codec:"w"`
}
