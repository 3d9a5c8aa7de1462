// Package revision is the sub-machine that turns operators' intents into numbered
// revisions of the configuration. A revision is never taken back; the next one
// follows only from a plan that was made on the current one.
package revision

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Name is the name of the sub-machine.
const Name = "intent"

// Digest is the hex SHA-256 digest of a normalized document.
type Digest string

// DigestOf returns the digest of a document, which it normalizes.
func DigestOf(d *intent.Document) (Digest, error) {
	d.Normalize()
	b, err := control.Marshal(d)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return Digest(hex.EncodeToString(sum[:])), nil
}

// Confirm is the command: an operator confirms a plan.
type Confirm struct {
	Operator string `codec:"operator" json:"operator"`
	// Number is chosen by the operator and names the intent. It makes a resend
	// recognisable; it belongs to whose confirm was accepted first.
	Number uint64 `codec:"number" json:"number"`
	// Base is the revision that the plan was made on.
	Base     uint64          `codec:"base" json:"base"`
	Document intent.Document `codec:"document" json:"document"`
	// Patch, if set, stands for the document, seen from the base.
	Patch *Patch `codec:"patch,omitempty" json:"patch,omitempty"`
}

// Outcome says what became of a Confirm.
type Outcome string

// The outcomes of a Confirm.
const (
	// Accepted means that the document is a revision; for a resend too.
	Accepted Outcome = "accepted"
	// NumberTaken means that another operator's intent has the number.
	NumberTaken Outcome = "number_taken"
	// ContentDiffers means that the operator's own intent has the number, but
	// with another document.
	ContentDiffers Outcome = "content_differs"
	// NumberForgotten means that the number is at most one of the operator's
	// that is not remembered any more.
	NumberForgotten Outcome = "number_forgotten"
	// BaseMoved means that the plan was made on another revision.
	BaseMoved Outcome = "base_moved"
	// Refused means that the document is not valid.
	Refused Outcome = "refused"
	// NotAllowed means that the operator may not confirm.
	NotAllowed Outcome = "not_allowed"
)

// Record tells who brought a revision, with what and when.
type Record struct {
	Revision uint64 `codec:"r" json:"revision"`
	Operator string `codec:"o" json:"operator"`
	Number   uint64 `codec:"n" json:"number"`
	Digest   Digest `codec:"d" json:"digest"`
	// At is the leader's time in nanoseconds since the Unix epoch.
	At int64 `codec:"a" json:"at"`
}

// HistoryEntry is one revision between a plan's base and the current one.
type HistoryEntry struct {
	Record Record `codec:"r"`
	// Encoded holds the changes as bytes, since values of any type would not
	// keep it when they are encoded twice; see Changes.
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
	// Record is the revision that the document became (Accepted), or that of
	// the intent which has the number (NumberTaken, ContentDiffers).
	Record Record `codec:"record"`
	// Current is the revision in force when the answer was made.
	Current uint64 `codec:"current"`
	// Moved lists the revisions since the base, oldest first (BaseMoved); with
	// NumberTaken it holds what the winner changed, if that is still known.
	Moved []HistoryEntry `codec:"moved"`
	// MovedFrom is the first revision that Moved can tell about; above the
	// base's successor when older ones are forgotten.
	MovedFrom uint64           `codec:"moved_from"`
	Problems  []intent.Problem `codec:"problems"`
	Detail    string           `codec:"detail"`
}

// Err returns nil for an accepted confirm, and else fault.Conflict, fault.Invalid
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
