package consensus

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// Defaults of a Config.
const (
	// DefaultSnapshotEvery is the count of entries after which a snapshot is
	// taken. It bounds the replay at a start.
	DefaultSnapshotEvery = 4096
	// DefaultTail is the count of entries that stay in the log behind a
	// snapshot, so that a member that was away for a little needs no snapshot.
	DefaultTail = 1024
	// DefaultSnapshotBytes is the size of applied commands after which a
	// snapshot is taken even before DefaultSnapshotEvery. It bounds the log in
	// memory and on disk, since one intent can be large; the tail is bounded
	// by half of it.
	DefaultSnapshotBytes = 8 << 20
	// partLen is how much of a snapshot one message carries; links between
	// instances refuse messages above some megabytes.
	partLen = 1 << 20
	// DefaultTimeout ends a proposal or read whose context has no deadline.
	DefaultTimeout = 5 * time.Second
	// inboxLen bounds messages that wait for the goroutine; more are dropped,
	// as a network may do.
	inboxLen = 4096
	// maxGather bounds the messages and calls that share one sync.
	maxGather = 1024
	// ticksPerHeartbeat is how often time passes for the node.
	ticksPerHeartbeat = 4
)

// Transport sends messages to other members.
type Transport interface {
	// Send queues a message or drops it; it must not block. The message must
	// not be changed.
	Send(to raft.MemberID, m raft.Message)
}

// Config holds what a Service needs.
type Config struct {
	FS       disk.FS
	Dir      string
	Identity Identity
	// Mux holds the sub-machines in their initial state.
	Mux       *control.Mux
	Transport Transport
	// Heartbeat, ElectionTimeout and RestartTimeout are as in raft.Config.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	RestartTimeout  time.Duration
	SnapshotEvery   uint64
	SnapshotBytes   int
	Tail            uint64
	Timeout         time.Duration
	// Seed spreads the election timeouts; members need different ones.
	Seed int64
	// OnFatal, if set, is told once when the member had to stop.
	OnFatal func(error)
	// OnRole, if set, is told each change of role or leader, from the service's goroutine:
	// it must not block.
	OnRole func(raft.Status)
	// OnSlowDisk, if set, is told each write that kept the member for long, likewise.
	OnSlowDisk func(time.Duration)
}

// slowDisk is how long a write may keep a member before it is told.
const slowDisk = 300 * time.Millisecond

func (c *Config) complete() error {
	if c.Identity.Cluster == "" {
		return fault.New(fault.Invalid, "the disk in %s has neither founded nor joined a cluster", c.Dir)
	}
	setDefault(&c.Heartbeat, raft.DefaultHeartbeat)
	setDefault(&c.ElectionTimeout, raft.DefaultElectionTimeout)
	setDefault(&c.SnapshotEvery, DefaultSnapshotEvery)
	setDefault(&c.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&c.Tail, DefaultTail)
	setDefault(&c.Timeout, DefaultTimeout)
	return nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
