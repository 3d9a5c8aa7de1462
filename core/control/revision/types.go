// Package revision is the replicated state machine that turns operators' intents into
// numbered revisions of the configuration. A revision is never withdrawn. A new revision
// is accepted only if its plan was made on the current one.
package revision

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Name is the name of the state machine.
const Name = "intent"

// Digest is the hex SHA-256 digest of a normalized document.
type Digest string

// DigestOf normalizes the document in place and returns its digest.
func DigestOf(d *intent.Document) (Digest, error) {
	d.Normalize()
	b, err := control.Marshal(d)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return Digest(hex.EncodeToString(sum[:])), nil
}

// Confirm is the state machine's command: an operator confirms a plan.
type Confirm struct {
	Operator string `codec:"operator" json:"operator"`
	// Number is chosen by the operator and identifies the intent, so that resends are
	// recognised. It belongs to the operator whose confirm was accepted first.
	Number uint64 `codec:"number" json:"number"`
	// Base is the revision that the plan was made on.
	Base     uint64          `codec:"base" json:"base"`
	Document intent.Document `codec:"document" json:"document"`
	// Patch, if set, replaces Document: it is applied to the base.
	Patch *Patch `codec:"patch,omitempty" json:"patch,omitempty"`
}

// Outcome is the outcome of a Confirm.
type Outcome string

// Outcomes of a Confirm.
const (
	// Accepted means that the document became a revision, now or before a resend.
	Accepted Outcome = "accepted"
	// NumberTaken means that another operator's intent has this number.
	NumberTaken Outcome = "number_taken"
	// ContentDiffers means that the operator used this number before for a different
	// document.
	ContentDiffers Outcome = "content_differs"
	// NumberForgotten means that the operator used this number or a higher one in an
	// intent whose record has been dropped.
	NumberForgotten Outcome = "number_forgotten"
	// BaseMoved means that the plan was made on another revision.
	BaseMoved Outcome = "base_moved"
	// Refused means that the document is not valid.
	Refused Outcome = "refused"
	// NotAllowed means that the operator is unknown or may only read.
	NotAllowed Outcome = "not_allowed"
)

// Record describes the intent that became a revision.
type Record struct {
	Revision uint64 `codec:"r" json:"revision"`
	Operator string `codec:"o" json:"operator"`
	Number   uint64 `codec:"n" json:"number"`
	Digest   Digest `codec:"d" json:"digest"`
	// At is the leader's time in nanoseconds since the Unix epoch.
	At int64 `codec:"a" json:"at"`
}

// HistoryEntry is a revision and its changes, for example one between a plan's base and
// the current revision.
type HistoryEntry struct {
	Record Record `codec:"r"`
	// Encoded holds the encoded changes. They are kept as bytes because fields of type
	// any would lose their types when they are decoded and encoded again. Use Changes.
	Encoded []byte `codec:"c"`
}

// Changes returns what the revision changed.
func (m *HistoryEntry) Changes() ([]intent.Change, error) {
	var out []intent.Change
	err := control.Unmarshal(m.Encoded, &out)
	return out, err
}

// Answer is the result of a Confirm.
type Answer struct {
	Outcome Outcome `codec:"outcome"`
	// Record is that of the accepted document (Accepted), or that of the intent which
	// already has the number (NumberTaken, ContentDiffers).
	Record Record `codec:"record"`
	// Current is the revision in force when the answer was made.
	Current uint64 `codec:"current"`
	// Moved lists the revisions since the base, oldest first (BaseMoved). With
	// NumberTaken it holds the revision that has the number, if still in the history.
	Moved []HistoryEntry `codec:"moved"`
	// MovedFrom is the first revision that Moved can contain. It is greater than the
	// base's successor if older revisions have been dropped from the history.
	MovedFrom uint64           `codec:"moved_from"`
	Problems  []intent.Problem `codec:"problems"`
	Detail    string           `codec:"detail"`
}

// Err returns nil for an accepted confirm, and otherwise fault.Conflict, fault.Invalid
// or fault.Forbidden with the detail.
func (a Answer) Err() error {
	switch a.Outcome {
	case Accepted:
		return nil
	case Refused:
		if len(a.Problems) > 0 {
			return (&intent.ProblemsError{Problems: a.Problems}).Fault()
		}
		return fault.New(fault.Invalid, "%s", a.Detail)
	case NotAllowed:
		return fault.New(fault.Forbidden, "%s", a.Detail)
	}
	return fault.New(fault.Conflict, "%s", a.Detail)
}
