package tree

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// historyBytes limits the size of the older contents that are kept as bases of differences.
const historyBytes = 4 << 20

// Lease tells whether the configuration is known to be the latest one.
type Lease struct {
	// Valid reports whether the lease holds now, which it does until Until. Until is zero
	// before the first lease.
	Valid bool
	Until time.Time
}

// Request is what an instance sends to its parent.
type Request struct {
	// Revision and Sum describe the content that the instance has; zero if it has none.
	Revision uint64 `codec:"r"`
	Sum      uint64 `codec:"s"`
	// Applied is the revision that the instance reports; see Follower.MinAppliedExcept.
	Applied uint64 `codec:"a"`
}

type version struct {
	revision uint64
	sum      uint64
	content  []byte
}

// Follower is the state of one instance in the tree: the content that it has, how long that
// is known to be the latest, and what it answers to its children. It is not safe for
// concurrent use.
type Follower struct {
	history     []version // oldest first; the last one is in effect
	historySize int       // bytes in history
	minRevision uint64
	leaseUntil  time.Time
	// applied is the revision that this instance has applied. pendingLease is the end of
	// the lease that takes effect once the instance has applied the revision in effect.
	applied      uint64
	pendingLease time.Time
	grants       map[Child]grant
	// unknownLeasesUntil is the latest time at which a lease granted by an earlier root can
	// end.
	unknownLeasesUntil time.Time
}

// NewFollower returns a Follower without a configuration. It gets one from a parent or from
// Publish.
func NewFollower() *Follower { return &Follower{grants: map[Child]grant{}} }

func (f *Follower) latest() version {
	if len(f.history) == 0 {
		return version{}
	}
	return f.history[len(f.history)-1]
}

// Revision returns the revision in effect, or zero if there is none yet.
func (f *Follower) Revision() uint64 { return f.latest().revision }

// Content returns the content in effect, which the caller must not modify.
func (f *Follower) Content() []byte { return f.latest().content }

// Request returns the request to send to the named parent.
func (f *Follower) Request(now time.Time, parent string) Request {
	v := f.latest()
	return Request{Revision: v.revision, Sum: v.sum, Applied: f.MinAppliedExcept(now, parent)}
}

// RequireRevision records that a revision was already applied, by this instance before a
// restart or by another one. An instance without a data folder loses its revision when it
// restarts, and the first parent that answers may lag: the instance would then go back to
// an older configuration. The heartbeats of the other instances tell which revision was in
// effect, and nothing older is accepted.
func (f *Follower) RequireRevision(revision uint64) { f.minRevision = max(f.minRevision, revision) }

// Ready reports whether there is a configuration that is not known to be outdated. An
// instance that is not ready must not serve, since its configuration may be wrong.
func (f *Follower) Ready() bool {
	r := f.Revision()
	return r != 0 && r >= f.minRevision
}

// Publish puts a revision into effect that the control group has committed. It is for
// instances that hold the control state. Publishing the same revision again is allowed; an
// older revision, or other content for the same revision, is fault.Conflict.
func (f *Follower) Publish(revision uint64, content []byte) error {
	v := f.latest()
	sum := xxhash.Sum64(content)
	switch {
	case revision == 0 || revision < v.revision:
		return fault.New(fault.Conflict, "revision %d is older than revision %d, which is in effect", revision, v.revision)
	case revision == v.revision && sum != v.sum:
		return fault.New(fault.Conflict, "revision %d was published with different content", revision)
	case revision == v.revision:
		return nil
	}
	f.install(version{revision, sum, content})
	return nil
}

// Renew records that the control leader knew at the given time that the revision in effect
// was the latest, and that no newer one takes effect before ttl has passed since. Only the
// leader calls it. As on other instances, the lease takes effect once the revision is applied.
func (f *Follower) Renew(at time.Time, ttl time.Duration) { f.acceptLease(at.Add(ttl)) }

func (f *Follower) extendLease(until time.Time) {
	if until.After(f.leaseUntil) {
		f.leaseUntil = until
	}
}

// Lease returns the lease as of now. It is invalid while the follower is not Ready.
func (f *Follower) Lease(now time.Time) Lease {
	return Lease{Valid: f.Ready() && now.Before(f.leaseUntil), Until: f.leaseUntil}
}

func (f *Follower) install(v version) {
	f.history = append(f.history, v)
	f.historySize += len(v.content)
	for len(f.history) > 1 && f.historySize > historyBytes {
		f.historySize -= len(f.history[0].content)
		f.history[0] = version{}
		f.history = f.history[1:]
	}
}

// Answer returns the answer to the request of a child, with a lease if this instance has
// one.
func (f *Follower) Answer(now time.Time, from Child, q Request) Update {
	u := f.AnswerWithoutLease(q)
	if l := f.Lease(now); l.Valid {
		u.LeaseMillis = l.Until.Sub(now).Milliseconds()
		f.grant(from, q.Applied)
	}
	return u
}

// AnswerWithoutLease is Answer without a lease.
func (f *Follower) AnswerWithoutLease(q Request) Update {
	v := f.latest()
	u := Update{Revision: v.revision, Sum: v.sum}
	switch {
	case q.Revision >= v.revision:
		u.Unchanged = true
		return u
	case q.Revision != 0:
		for _, old := range f.history {
			if old.revision == q.Revision && old.sum == q.Sum {
				u.Base = old.revision
				u.Prefix, u.Suffix, u.Middle = diff(old.content, v.content)
				return u
			}
		}
	}
	u.Middle = v.content
	return u
}

// Outcome is the result of ApplyUpdate.
type Outcome uint8

// The outcomes of ApplyUpdate.
const (
	// Applied means that a newer revision is now in effect.
	Applied Outcome = iota + 1
	// Same means that the parent has the same revision.
	Same
	// Behind means that the parent has an older revision than this instance, or than it
	// requires. Another parent should be asked.
	Behind
)

// ApplyUpdate processes a parent's answer to a request sent at the given time. An older
// revision never replaces a newer one. A lease counts from the request, not from the
// answer, and only for the revision it was granted for, so neither a slow network nor a
// cycle of instances that ask each other can prolong it. It fails with fault.Corrupt if the
// update does not match; the complete content is then to be requested with an empty
// Request.
func (f *Follower) ApplyUpdate(asked time.Time, u Update) (Outcome, error) {
	v := f.latest()
	if u.Revision == 0 || u.Revision < v.revision || u.Revision < f.minRevision {
		return Behind, nil
	}
	outcome := Same
	switch {
	case u.Revision > v.revision:
		content, err := u.reconstruct(f.base(u.Base))
		if err != nil {
			return 0, err
		}
		f.install(version{u.Revision, u.Sum, content})
		outcome = Applied
	case u.Sum != v.sum:
		return 0, fault.New(fault.Corrupt, "revision %d has different content on this instance", u.Revision)
	}
	if u.LeaseMillis > 0 {
		f.acceptLease(asked.Add(time.Duration(u.LeaseMillis) * time.Millisecond))
	}
	return outcome, nil
}

func (f *Follower) base(revision uint64) []byte {
	for _, v := range f.history {
		if v.revision == revision {
			return v.content
		}
	}
	return nil
}
