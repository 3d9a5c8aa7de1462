package raft

// EntryKind is the type of an Entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is appended by a new leader so that it can commit.
	EntryNoop EntryKind = iota
	// EntryCommand carries a proposed command.
	EntryCommand
	// EntryMembers carries a membership change.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `codec:"i"`
	Term  uint64 `codec:"t"`
	// Timestamp is the leader's wall clock in nanoseconds since the Unix epoch, adjusted so that
	// it never decreases along the log.
	Timestamp int64     `codec:"a"`
	Kind      EntryKind `codec:"k"`
	Data      []byte    `codec:"d"`
	// Members is the complete new membership (EntryMembers only).
	Members Members `codec:"m"`
}

// HardState is the persistent state of a member. It must be synced before any message that
// depends on it is sent.
type HardState struct {
	Term uint64   `codec:"t"`
	Vote MemberID `codec:"v"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index     uint64  `codec:"i"`
	Term      uint64  `codec:"t"`
	Timestamp int64   `codec:"a"`
	Members   Members `codec:"m"`
	// Data is the serialised state of the control state machine. A Node neither reads nor
	// keeps it: the caller fills it in before it sends a MsgSnapshot of a Ready.
	Data []byte `codec:"d"`
}

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages. MsgPropose, MsgProposeReply and MsgSnapshotPart are handled by the
// service that runs a Node, not by the Node itself.
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
	// MsgSnapshotPart carries the part of a MsgSnapshot's Data that starts at offset Index.
	// Hint is the total size in bytes.
	MsgSnapshotPart
)

// Message is sent from one member to another. Which fields are used depends on Kind.
type Message struct {
	Kind    MessageKind `codec:"k"`
	Cluster ClusterID   `codec:"c"`
	From    MemberID    `codec:"f"`
	To      MemberID    `codec:"o"`
	Term    uint64      `codec:"t"`
	// Index and LogTerm identify an entry: the one before Entries in an append, the last
	// one of the log in a vote request, the highest matching one in a reply.
	Index   uint64  `codec:"i,omitempty"`
	LogTerm uint64  `codec:"l,omitempty"`
	Commit  uint64  `codec:"m,omitempty"`
	Entries []Entry `codec:"e,omitempty"`
	// Reject denies a vote or rejects an append; Hint is the index to continue from
	// instead.
	Reject bool   `codec:"r,omitempty"`
	Hint   uint64 `codec:"h,omitempty"`
	// Round is the number of the leader's heartbeat round; replies echo it.
	Round uint64 `codec:"n,omitempty"`
	// Transfer marks a vote request of an election that the leader itself asked for.
	Transfer bool      `codec:"x,omitempty"`
	Snapshot *Snapshot `codec:"s,omitempty"`
	// Context matches a reply to its request (reads and proposals).
	Context uint64 `codec:"q,omitempty"`
	Data    []byte `codec:"d,omitempty"`
}

// Read is a confirmed read request: it may be served once the entry at Index is applied.
type Read struct {
	Context uint64
	Index   uint64
}

// Ready is the work that a Node hands to its caller, to be done in this order:
//
//  1. Persist and sync HardState (if HardStateChanged), Snapshot (if not nil)
//     and Entries. An entry replaces an existing one of the same index and all after it.
//  2. Only then send Messages. A vote or an acknowledgement promises that its
//     content survives a crash. If it were sent before the sync, a crash could make
//     the member vote twice or lose a committed entry.
//  3. Restore Snapshot, apply Committed in order, serve Reads that are confirmed.
//  4. Call Advance.
type Ready struct {
	HardState        HardState
	HardStateChanged bool
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	Committed        []Entry
	Reads            []Read
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.HardStateChanged && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0
}
