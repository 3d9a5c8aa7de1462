// Package raft is the consensus protocol of the control group as a pure step
// function: messages and times go in, messages and records to persist come out.
// It does no I/O, starts no goroutine and draws randomness from a source that is
// passed in, so that every run can be repeated from its seed.
//
// It has pre-vote, check-quorum, a leader lease and ReadIndex for reads, learners,
// changes of one member at a time, leadership transfer, snapshots and flow control.
package raft

import (
	"math/rand"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// MemberID names one initialised disk. It is drawn at random when the disk is
// initialised, so that a wiped disk is a new member: were it to keep its ID, it
// could vote twice in a term whose vote it forgot, and elect a leader that lacks
// committed entries. Zero means nobody.
type MemberID uint64

// ClusterID names one history. It is drawn at random at the founding, and
// messages of another cluster are dropped.
type ClusterID string

// Defaults of a Config. They suit one-way times of up to a hundred milliseconds,
// as between regions: an election starts after five lost heartbeats, so that a
// pause of a busy instance deposes nobody. At ten a second, heartbeats to ten
// followers were all of the 18 KB/s that an instance has for control.
const (
	DefaultHeartbeat       = 200 * time.Millisecond
	DefaultElectionTimeout = time.Second
	DefaultMaxBatch        = 256
	DefaultMaxWindow       = 2048
	DefaultMaxUncommitted  = 8192
	// DefaultMaxBatchBytes keeps an append well below the size of a message
	// that links between instances accept.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultMaxUncommittedBytes bounds what a leader without a quorum gathers
	// in memory.
	DefaultMaxUncommittedBytes = 8 << 20
	// FoundingTerm is the term of a founding's snapshot. It has no leader.
	FoundingTerm = 1
	// foundingHaste divides the election timeout until the first election, which
	// disturbs nobody, so that a new group serves soon.
	foundingHaste = 5
	// leaseShare is the share of the restart timeout that a lease lasts. The
	// rest covers clocks that run at different rates, up to a tenth apart.
	leaseShare = 0.9
)

// Config holds what a Node needs to know at its start.
type Config struct {
	ID      MemberID
	Cluster ClusterID
	// Heartbeat is the time between two heartbeats of the leader.
	Heartbeat time.Duration
	// ElectionTimeout is the least silence after which a member campaigns; the
	// actual one is drawn between it and twice it.
	ElectionTimeout time.Duration
	// RestartTimeout is for how long a member ignores votes, and does not campaign, that
	// was restarted and so has forgotten when it last heard a leader. Leases of leaders are
	// shorter: while a leader may count on one, nobody who granted it may elect another.
	// Zero means the election timeout. A shorter one lets a group elect sooner after all
	// members were killed; below two heartbeats, leases lapse and reads ask a quorum.
	RestartTimeout time.Duration
	// MaxBatch bounds the entries of one append.
	MaxBatch int
	// MaxWindow bounds the entries that are sent to a member but unacknowledged.
	MaxWindow uint64
	// MaxUncommitted bounds the leader's uncommitted entries; proposals above
	// it are refused.
	MaxUncommitted uint64
	// MaxBatchBytes bounds the data of one append, but for a single entry that
	// is larger; MaxUncommittedBytes is as MaxUncommitted.
	MaxBatchBytes       int
	MaxUncommittedBytes int
	// Rand spreads the election timeouts.
	Rand *rand.Rand
}

func (c *Config) validate() error {
	if c.ID == 0 || c.Cluster == "" || c.Rand == nil {
		return fault.New(fault.Invalid, "a member needs an ID, a cluster and a source of randomness")
	}
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.RestartTimeout, c.ElectionTimeout)
	setDefault(&c.MaxBatch, DefaultMaxBatch)
	setDefault(&c.MaxWindow, DefaultMaxWindow)
	setDefault(&c.MaxUncommitted, DefaultMaxUncommitted)
	setDefault(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	if c.ElectionTimeout < 2*c.Heartbeat {
		return fault.New(fault.Invalid, "election timeout %v is below two heartbeats of %v", c.ElectionTimeout, c.Heartbeat)
	}
	if c.RestartTimeout > c.ElectionTimeout || c.RestartTimeout < 0 {
		return fault.New(fault.Invalid, "restart timeout %v is above the election timeout of %v, or below zero", c.RestartTimeout, c.ElectionTimeout)
	}
	return nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
