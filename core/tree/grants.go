package tree

import "time"

// Child is one process that asks. A process that was restarted is another child:
// it has forgotten what it gave to those below it, while the lease that its
// predecessor got, which theirs derive from, is still on record here.
type Child struct {
	Name string
	// Start tells the processes of one name apart.
	Start uint64
}

// grant is the lease that a child holds at most.
type grant struct {
	until time.Time
	// acted is the lowest revision that the child or one below it may act on.
	acted uint64
}

// MarkApplied states that this instance acts on a revision now. A lease that came with
// it counts from now on: were it to count sooner, an instance that is slow to
// act would seem to be up to date with the older one.
func (f *Follower) MarkApplied(revision uint64) {
	f.acted = max(f.acted, revision)
	if f.acted >= f.Revision() {
		f.extend(f.given)
	}
}

// AppliedRevision returns what this instance acts on; zero for nothing yet.
func (f *Follower) AppliedRevision() uint64 { return f.acted }

// HadLease reports whether a lease ever came with a revision, so that it was the
// newest when it was asked for.
func (f *Follower) HadLease() bool { return !f.given.IsZero() || !f.until.IsZero() }

func (f *Follower) take(until time.Time) {
	if until.After(f.given) {
		f.given = until
	}
	f.MarkApplied(f.acted)
}

// BecomeRoot states that this instance becomes the root. Which leases an earlier
// root gave is not known to it; none of them lasts longer than ttl from now.
func (f *Follower) BecomeRoot(now time.Time, ttl time.Duration) { f.blind = now.Add(ttl) }

// InForce reports, at the root, whether all instances act on a revision or a
// later one, or know that they are cut off. It does not depend on who is
// believed to be there: an instance that nobody has heard of has no lease.
func (f *Follower) InForce(now time.Time, revision uint64) bool {
	return !now.Before(f.blind) && f.MinApplied(now) >= revision
}

// MinApplied returns the lowest revision that this instance, or any that has a lease
// from it, directly or not, may act on under that lease; zero when this instance
// acts on none yet.
func (f *Follower) MinApplied(now time.Time) uint64 { return f.MinAppliedExcept(now, "") }

// MinAppliedExcept is Acted without what was given to one instance, which is to be told:
// it knows by itself what it and those below it act on. Were that included, two
// instances that have leases from each other, as may be while their views of the
// tree differ, would wait for each other until the leases end.
func (f *Follower) MinAppliedExcept(now time.Time, name string) uint64 {
	lowest := f.acted
	for c, g := range f.grants {
		switch {
		case !now.Before(g.until):
			delete(f.grants, c)
		case c.Name != name:
			lowest = min(lowest, g.acted)
		}
	}
	return lowest
}

// grant records the lease that an answer carries; it ends with this instance's
// own at the latest, since it counts from the question.
func (f *Follower) grant(c Child, acted uint64) {
	old, known := f.grants[c]
	switch {
	case acted == 0 && known:
		// It may still act on an earlier answer.
		acted = old.acted
	case acted == 0:
		// It acts on nothing yet, and next on what this answer brings.
		acted = f.Revision()
	}
	f.grants[c] = grant{until: f.until, acted: acted}
}

// Report takes in what a child acts on, between its questions.
func (f *Follower) Report(c Child, acted uint64) {
	if g, known := f.grants[c]; known && acted > g.acted {
		g.acted = acted
		f.grants[c] = g
	}
}
