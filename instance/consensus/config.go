package consensus

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// Defaults for Config, and internal limits.
const (
	// DefaultSnapshotEvery is the number of entries after which a snapshot is
	// taken. It bounds the replay at startup.
	DefaultSnapshotEvery = 4096
	// DefaultTail is the number of entries kept in the log before a snapshot, so
	// that a member that lags briefly does not need a snapshot.
	DefaultTail = 1024
	// DefaultSnapshotBytes is the total size of applied commands after which a
	// snapshot is taken even before DefaultSnapshotEvery. It bounds the log in
	// memory and on disk, since a single intent can be large. The kept tail is
	// limited to half of it.
	DefaultSnapshotBytes = 8 << 20
	// snapshotPartLen is the size of the snapshot data in one message, in bytes; links
	// between instances reject messages above some megabytes.
	snapshotPartLen = 1 << 20
	// DefaultTimeout bounds a proposal, read or membership change.
	DefaultTimeout = 5 * time.Second
	// inboxLen is the capacity of the queues to the goroutine. Messages beyond it
	// are dropped, which the protocol tolerates as message loss.
	inboxLen = 4096
	// maxQueueDrain limits the messages and calls that share one sync.
	maxQueueDrain = 1024
	// ticksPerHeartbeat is the number of clock ticks per heartbeat interval.
	ticksPerHeartbeat = 4
)

// Transport sends messages to other members.
type Transport interface {
	// Send queues a message or drops it; it must not block or modify the message.
	Send(to raft.MemberID, m raft.Message)
}

// Config configures a Service. Zero durations, counts and sizes take defaults.
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
	// Seed randomises the election timeouts; it must differ between members.
	Seed int64
	// OnFatal, if set, is called once when a fatal error stops the member.
	OnFatal func(error)
	// OnRole, if set, is called on each change of role or leader, from the service's
	// goroutine: it must not block.
	OnRole func(raft.Status)
	// OnSlowDisk, if set, is called with the duration of each slow write, from the
	// service's goroutine: it must not block.
	OnSlowDisk func(time.Duration)
}

func (c *Config) validate() error {
	if c.Identity.Cluster == "" {
		return fault.New(fault.Invalid, "the data folder %s has neither founded nor joined a cluster", c.Dir)
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
