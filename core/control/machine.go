// Package control is the replicated state machine that the control group's log
// feeds. It multiplexes named sub-machines, such as the operators' intents, the
// claims of at-most-once calls and the fencing numbers.
package control

import "time"

// Machine is one deterministic sub-machine. Equal sequences of Apply leave equal
// states on every member, so an implementation must take nothing but its
// arguments into account: no clock, no randomness and no order of map iteration.
type Machine interface {
	// Apply carries out one command and returns its result. index is the log
	// index and at the leader's time stamp; both never decrease. A command that
	// cannot be carried out, even one that does not decode, is answered in the
	// result and leaves the state as it was.
	Apply(index uint64, at time.Time, data []byte) []byte
	// Snapshot returns the whole state; equal states give equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot. It fails with fault.Corrupt
	// when the bytes do not decode, and then leaves the state as it was.
	Restore(snapshot []byte) error
}

// Command is what a log entry carries.
type Command struct {
	// Machine names the sub-machine that the command is for.
	Machine string `codec:"m"`
	// Request identifies the proposal so that its proposer finds the result. It
	// is unique among proposals; it does not make a command idempotent, which is
	// for each sub-machine to do by keys of its own.
	Request string `codec:"r"`
	// Data is the command in the sub-machine's own encoding.
	Data []byte `codec:"d"`
}

// Entry is one committed command.
type Entry struct {
	Command
	// Index is the command's place in the log.
	Index uint64
	// At is stamped by the leader and never decreases along the log.
	At time.Time
}
