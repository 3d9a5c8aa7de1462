// Package control implements the replicated state machine that is driven by the
// control group's log. It multiplexes named state machines, for example those for
// operator intents, claims of at-most-once calls and fencing numbers.
package control

import "time"

// Machine is a deterministic state machine. The same sequence of Apply calls must
// produce the same state on every member, so an implementation may depend only on
// its arguments: not on a clock, randomness or map iteration order.
type Machine interface {
	// Apply executes one command and returns its result. index is the log index
	// and at the leader's timestamp; neither ever decreases. A command that cannot
	// be executed, including one that cannot be decoded, is reported in the result
	// and leaves the state unchanged.
	Apply(index uint64, at time.Time, data []byte) []byte
	// Snapshot returns the complete state. Equal states encode to equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot. If the snapshot cannot be decoded,
	// it returns fault.Corrupt and leaves the state unchanged.
	Restore(snapshot []byte) error
}

// Command is the payload of a log entry.
type Command struct {
	// Machine names the state machine that executes the command.
	Machine string `codec:"m"`
	// Request identifies the proposal, so that the proposer can match the result to
	// it. It is unique per proposal and does not make a command idempotent: state
	// machines that need idempotency use keys of their own.
	Request string `codec:"r"`
	// Data is the command, encoded as the state machine defines.
	Data []byte `codec:"d"`
}

// Entry is a committed command.
type Entry struct {
	Command
	// Index is the log index.
	Index uint64
	// At is the leader's timestamp. It never decreases along the log.
	At time.Time
}
