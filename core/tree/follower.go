package tree

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// historyBytes bounds the older contents kept to make differences from.
const historyBytes = 4 << 20

// Lease says whether the configuration is known to be the newest one.
type Lease struct {
	// Valid until Until; before the first lease, Until is zero.
	Valid bool
	Until time.Time
}

// Request is what an instance asks its parent.
type Request struct {
	// Revision and Sum are what it has; zero when it has nothing.
	Revision uint64 `codec:"r"`
	Sum      uint64 `codec:"s"`
	// Applied is what it reports; see Follower.ActedBut.
	Applied uint64 `codec:"a"`
}

type version struct {
	revision uint64
	sum      uint64
	content  []byte
}

// Follower is one instance's part of the tree: what it has, for how long that is
// known to be the newest, and what it answers to its children. It is not safe
// for concurrent use.
type Follower struct {
	history []version // oldest first; the last one is in force
	kept    int       // bytes in history
	floor   uint64
	until   time.Time
	// acted is what this instance itself acts on, and given the lease that
	// counts once it acts on the revision in force.
	acted  uint64
	given  time.Time
	grants map[Child]grant
	// blind is until when leases may last that an earlier root gave.
	blind time.Time
}

// NewFollower returns one that knows nothing and so has no configuration to act
// on until a parent or Publish gives it one.
func NewFollower() *Follower { return &Follower{grants: map[Child]grant{}} }

func (f *Follower) latest() version {
	if len(f.history) == 0 {
		return version{}
	}
	return f.history[len(f.history)-1]
}

// Revision returns the revision in force; zero when there is none yet.
func (f *Follower) Revision() uint64 { return f.latest().revision }

// Content returns the content in force, which must not be changed.
func (f *Follower) Content() []byte { return f.latest().content }

// Request returns what to ask the named parent.
func (f *Follower) Request(now time.Time, parent string) Request {
	v := f.latest()
	return Request{Revision: v.revision, Sum: v.sum, Applied: f.MinAppliedExcept(now, parent)}
}

// RequireRevision states that a revision was acted on already, by this instance before
// a restart or by another one. An instance without a data folder has forgotten
// its revision when it starts anew, and the first parent that answers may be
// behind: it would go back to an older configuration. The others' heartbeats
// tell what was in force, and nothing older is accepted.
func (f *Follower) RequireRevision(revision uint64) { f.floor = max(f.floor, revision) }

// Ready reports whether there is a configuration to act on that is not known to
// be out of date. An instance that is not ready must not serve under a guess.
func (f *Follower) Ready() bool {
	r := f.Revision()
	return r != 0 && r >= f.floor
}

// Publish puts a revision in force that the control group has committed; it is
// for instances that hold the control state. The same revision again is
// accepted; an older one, or other content for the same one, is fault.Conflict.
func (f *Follower) Publish(revision uint64, content []byte) error {
	v := f.latest()
	sum := xxhash.Sum64(content)
	switch {
	case revision == 0 || revision < v.revision:
		return fault.New(fault.Conflict, "revision %d: revision %d is in force", revision, v.revision)
	case revision == v.revision && sum != v.sum:
		return fault.New(fault.Conflict, "revision %d has other content", revision)
	case revision == v.revision:
		return nil
	}
	f.put(version{revision, sum, content})
	return nil
}

// Renew states that the control leader knew, at the given time, that the
// revision in force was the newest, and that no newer one will count before ttl
// has passed since. Only the leader calls it.
func (f *Follower) Renew(at time.Time, ttl time.Duration) { f.extend(at.Add(ttl)) }

func (f *Follower) extend(until time.Time) {
	if until.After(f.until) {
		f.until = until
	}
}

// Lease returns the state of the configuration lease.
func (f *Follower) Lease(now time.Time) Lease {
	return Lease{Valid: f.Ready() && now.Before(f.until), Until: f.until}
}

func (f *Follower) put(v version) {
	f.history = append(f.history, v)
	f.kept += len(v.content)
	for len(f.history) > 1 && f.kept > historyBytes {
		f.kept -= len(f.history[0].content)
		f.history[0] = version{}
		f.history = f.history[1:]
	}
}

// Answer returns what a child is told that asks q, with a lease if there is one.
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
				u.Prefix, u.Suffix, u.Middle = difference(old.content, v.content)
				return u
			}
		}
	}
	u.Middle = v.content
	return u
}

// Outcome says what an answer brought.
type Outcome uint8

// Outcomes of Offer.
const (
	// Applied: a newer revision is in force now.
	Applied Outcome = iota + 1
	// Same: the parent has the same revision.
	Same
	// Behind: the parent knows less than this instance; another one should be
	// asked.
	Behind
)

// ApplyUpdate takes in a parent's answer to a question that was asked at the given
// time. An older revision never replaces a newer one. A lease counts from the
// question, not from the answer, and only for the revision that it was given
// for: neither a slow network nor a circle of instances that ask each other can
// prolong it. It fails with fault.Corrupt when the update does not fit; then the
// whole content is to be asked for, with an empty Question.
func (f *Follower) ApplyUpdate(asked time.Time, u Update) (Outcome, error) {
	v := f.latest()
	if u.Revision == 0 || u.Revision < v.revision || u.Revision < f.floor {
		return Behind, nil
	}
	outcome := Same
	switch {
	case u.Revision > v.revision:
		content, err := u.content(f.base(u.Base))
		if err != nil {
			return 0, err
		}
		f.put(version{u.Revision, u.Sum, content})
		outcome = Applied
	case u.Sum != v.sum:
		return 0, fault.New(fault.Corrupt, "revision %d has other content here", u.Revision)
	}
	if u.LeaseMillis > 0 {
		f.take(asked.Add(time.Duration(u.LeaseMillis) * time.Millisecond))
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
