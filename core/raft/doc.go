// Package raft implements the Raft consensus protocol of the control group as a pure state
// machine: it takes messages and timestamps as input and returns messages to send and
// records to persist. It performs no I/O, starts no goroutines and takes its randomness
// from a source that is passed in, so every run can be reproduced from its seed.
//
// It implements pre-vote, check-quorum, leader leases and ReadIndex reads, learners,
// membership changes of one member at a time, leadership transfer, snapshots and flow
// control.
package raft

import (
	"math/rand"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// MemberID identifies one initialised disk. It is drawn at random when the disk is
// initialised, so a wiped disk is a new member. If it kept its ID, it could vote twice in a
// term whose vote it lost, and elect a leader that lacks committed entries. Zero means no
// member.
type MemberID uint64

// ClusterID identifies one replicated history. It is drawn at random when the group is
// founded; messages with another cluster ID are dropped.
type ClusterID string

// Defaults of a Config. They suit one-way latencies of up to 100 ms, as between regions. An
// election starts after five missed heartbeats, so a short pause of a busy instance does
// not depose the leader. At ten heartbeats a second, heartbeats to ten followers used all
// of the 18 KB/s that an instance has for control traffic.
const (
	DefaultHeartbeat       = 200 * time.Millisecond
	DefaultElectionTimeout = time.Second
	DefaultMaxBatch        = 256
	DefaultMaxWindow       = 2048
	DefaultMaxUncommitted  = 8192
	// DefaultMaxBatchBytes keeps an append well below the maximum message size of links
	// between instances.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultMaxUncommittedBytes bounds the memory that proposals take while a leader has
	// no quorum.
	DefaultMaxUncommittedBytes = 8 << 20
	// FoundingTerm is the term of the snapshot that founds a group. It has no leader.
	FoundingTerm = 1
	// foundingElectionDivisor divides the election timeout until the first election, so
	// that a new group serves soon. There is no leader yet that an early election could
	// depose.
	foundingElectionDivisor = 5
	// leaseFraction is the fraction of the restart timeout for which a lease is valid. The
	// rest tolerates clocks whose rates differ by up to a tenth.
	leaseFraction = 0.9
)

// Config configures a Node. Zero values of durations and limits mean the defaults.
type Config struct {
	ID      MemberID
	Cluster ClusterID
	// Heartbeat is the interval between heartbeats of the leader.
	Heartbeat time.Duration
	// ElectionTimeout is the minimum time without contact from a leader before a member
	// campaigns. The actual timeout is drawn between one and two times this value.
	ElectionTimeout time.Duration
	// RestartTimeout is how long a restarted member ignores vote requests and does not
	// campaign, because it no longer knows when it last heard from a leader. Leases of
	// leaders are shorter: while a lease may be valid, no member that granted it can elect
	// another leader. Zero means the election timeout. A shorter value lets a group elect a
	// leader sooner after all members were killed; below two heartbeats, leases expire and
	// reads need a quorum.
	RestartTimeout time.Duration
	// MaxBatch limits the entries of one append.
	MaxBatch int
	// MaxWindow limits the unacknowledged entries in flight to one member.
	MaxWindow uint64
	// MaxUncommitted limits the leader's uncommitted entries; proposals beyond it are
	// rejected.
	MaxUncommitted uint64
	// MaxBatchBytes limits the data of one append, except that a single larger entry is
	// sent on its own. MaxUncommittedBytes limits the data of uncommitted entries in the
	// same way.
	MaxBatchBytes       int
	MaxUncommittedBytes int
	// Rand randomises the election timeouts.
	Rand *rand.Rand
}

func (c *Config) validate() error {
	if c.ID == 0 || c.Cluster == "" || c.Rand == nil {
		return fault.New(fault.Invalid, "a raft member needs an ID, a cluster ID and a source of randomness")
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
		return fault.New(fault.Invalid, "election timeout %v is less than two heartbeat intervals of %v", c.ElectionTimeout, c.Heartbeat)
	}
	if c.RestartTimeout > c.ElectionTimeout || c.RestartTimeout < 0 {
		return fault.New(fault.Invalid, "restart timeout %v must be between zero and the election timeout of %v", c.RestartTimeout, c.ElectionTimeout)
	}
	return nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
