package raft

// EntryKind says what an Entry is for.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is what a new leader appends so that it can commit.
	EntryNoop EntryKind = iota
	// EntryCommand carries a proposal.
	EntryCommand
	// EntryMembers carries a change of members.
	EntryMembers
)

// Entry is one record of the log.
type Entry struct {
	Index uint64 `codec:"i"`
	Term  uint64 `codec:"t"`
	// At is the leader's wall clock in nanoseconds since the Unix epoch, made
	// to never decrease along the log.
	At   int64     `codec:"a"`
	Kind EntryKind `codec:"k"`
	Data []byte    `codec:"d"`
	// Members is the whole new membership (EntryMembers).
	Members Members `codec:"m"`
}

// HardState must be synced before any message that depends on it is sent.
type HardState struct {
	Term uint64   `codec:"t"`
	Vote MemberID `codec:"v"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64  `codec:"i"`
	Term    uint64  `codec:"t"`
	At      int64   `codec:"a"`
	Members Members `codec:"m"`
	// Data is the state of the control machine. A Node neither reads nor keeps
	// it: whoever sends a MsgSnapshot of a Ready fills it in first.
	Data []byte `codec:"d"`
}

// MessageKind says what a Message is.
type MessageKind uint8

// The kinds of messages. MsgPropose, MsgProposeReply and MsgSnapshotPart are
// carried for the service around a Node, which handles them itself.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgTimeoutNow
	MsgReadIndex
	MsgReadIndexReply
	MsgPropose
	MsgProposeReply
	// MsgSnapshotPart carries Data of a MsgSnapshot from offset Index on, of
	// Hint bytes in all.
	MsgSnapshotPart
)

// Message goes from one member to another. Which fields count depends on Kind.
type Message struct {
	Kind    MessageKind `codec:"k"`
	Cluster ClusterID   `codec:"c"`
	From    MemberID    `codec:"f"`
	To      MemberID    `codec:"o"`
	Term    uint64      `codec:"t"`
	// Index and LogTerm name an entry: the one before Entries in an append, the
	// last one in a vote, the highest matching one in a reply.
	Index   uint64  `codec:"i,omitempty"`
	LogTerm uint64  `codec:"l,omitempty"`
	Commit  uint64  `codec:"m,omitempty"`
	Entries []Entry `codec:"e,omitempty"`
	// Reject refuses a vote or an append; Hint is where to go on instead.
	Reject bool   `codec:"r,omitempty"`
	Hint   uint64 `codec:"h,omitempty"`
	// Round numbers the leader's rounds of heartbeats; replies echo it.
	Round uint64 `codec:"n,omitempty"`
	// Transfer marks a vote that the leader itself asked for.
	Transfer bool      `codec:"x,omitempty"`
	Snapshot *Snapshot `codec:"s,omitempty"`
	// Context ties a reply to its request (reads and proposals).
	Context uint64 `codec:"q,omitempty"`
	Data    []byte `codec:"d,omitempty"`
}

// Read tells that a read may be served once the entry Index is applied.
type Read struct {
	Context uint64
	Index   uint64
}

// Ready is what a Node wants done, in this order:
//
//  1. Persist HardState (if HardChanged), Snapshot (if not nil) and Entries, and
//     sync them. An entry whose index exists already replaces it and all after it.
//  2. Only then send Messages. A vote or an acknowledgement promises that what it
//     speaks of survives a crash; sent before the sync, it could be forgotten,
//     and the member would vote twice or a committed entry would be lost.
//  3. Restore Snapshot, apply Committed in order, serve Reads that are due.
//  4. Call Advance.
type Ready struct {
	HardState   HardState
	HardChanged bool
	Snapshot    *Snapshot
	Entries     []Entry
	Messages    []Message
	Committed   []Entry
	Reads       []Read
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.HardChanged && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}
