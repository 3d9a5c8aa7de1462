package tree

import "time"

// Child identifies one process that sends requests. A restarted process is a different
// child: it no longer knows which leases it granted to its own children, while the lease of
// its predecessor, from which theirs derive, is still recorded here.
type Child struct {
	Name string
	// Start distinguishes the processes of one name.
	Start uint64
}

// grant is the longest lease that a child may hold.
type grant struct {
	until time.Time
	// applied is the lowest revision that the child or an instance below it may have
	// applied.
	applied uint64
}

// MarkApplied records that this instance has applied a revision. A lease received with the
// revision takes effect only now: if it took effect earlier, an instance that is slow to
// apply the revision would appear to be up to date with the older one.
func (f *Follower) MarkApplied(revision uint64) {
	f.applied = max(f.applied, revision)
	if f.applied >= f.Revision() {
		f.extendLease(f.pendingLease)
	}
}

// AppliedRevision returns the revision that this instance has applied, or zero if it has
// applied none.
func (f *Follower) AppliedRevision() uint64 { return f.applied }

// HadLease reports whether a lease was ever received, which proves that the revision was
// the latest when it was requested.
func (f *Follower) HadLease() bool { return !f.pendingLease.IsZero() || !f.leaseUntil.IsZero() }

func (f *Follower) acceptLease(until time.Time) {
	if until.After(f.pendingLease) {
		f.pendingLease = until
	}
	f.MarkApplied(f.applied)
}

// BecomeRoot records that this instance becomes the root. It does not know which leases an
// earlier root granted, but none of them lasts longer than ttl from now.
func (f *Follower) BecomeRoot(now time.Time, ttl time.Duration) { f.unknownLeasesUntil = now.Add(ttl) }

// InForce reports, on the root, whether every instance has applied the revision or a later
// one, or knows that it is cut off. It does not depend on the membership view: an instance
// that no other knows of holds no lease.
func (f *Follower) InForce(now time.Time, revision uint64) bool {
	return !now.Before(f.unknownLeasesUntil) && f.MinApplied(now) >= revision
}

// MinApplied returns the lowest revision that this instance, or any instance that holds a
// lease derived from it, may have applied under that lease. It is zero if this instance has
// applied none.
func (f *Follower) MinApplied(now time.Time) uint64 { return f.MinAppliedExcept(now, "") }

// MinAppliedExcept is MinApplied without the leases granted to the named instance, to which
// the result is sent: that instance itself knows what it and the instances below it have
// applied. If its leases were included, two instances that hold leases from each other, as
// can happen while their views of the tree differ, would wait for each other until the
// leases end.
func (f *Follower) MinAppliedExcept(now time.Time, name string) uint64 {
	lowest := f.applied
	for c, g := range f.grants {
		switch {
		case !now.Before(g.until):
			delete(f.grants, c)
		case c.Name != name:
			lowest = min(lowest, g.applied)
		}
	}
	return lowest
}

// grant records the lease that an answer carries. It ends no later than this instance's own
// lease, since it counts from the request.
func (f *Follower) grant(c Child, applied uint64) {
	old, known := f.grants[c]
	switch {
	case applied == 0 && known:
		// The child may still use the revision of an earlier answer.
		applied = old.applied
	case applied == 0:
		// The child has applied nothing yet; the first revision it applies is that of this
		// answer.
		applied = f.Revision()
	}
	f.grants[c] = grant{until: f.leaseUntil, applied: applied}
}

// Report records the revision that a child has applied, between its requests.
func (f *Follower) Report(c Child, applied uint64) {
	if g, known := f.grants[c]; known && applied > g.applied {
		g.applied = applied
		f.grants[c] = g
	}
}
