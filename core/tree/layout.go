// Package tree distributes the control state from the control group to all instances along
// a tree of bounded fan-out. It is a pure state machine: time is passed in, and updates are
// values that a service transports.
//
// Each instance asks its parent for anything newer than what it has. The answer also tells
// how long the parent's configuration is known to be the latest one, which is the
// configuration lease.
package tree

import "sort"

// DefaultFanOut is the number of children of an instance inside a failure domain. With it,
// the delegate reaches 21 instances, itself included, in two hops.
const DefaultFanOut = 4

// Instance is one instance in the tree.
type Instance struct {
	Name   string
	Domain string
	// Data reports whether the instance has a data folder and may hold the control state
	// itself.
	Data bool
}

// Candidates returns the instances that self sends its requests to, in order of preference.
// The parent comes first, then the other ancestors up to the delegate of the failure domain
// and the root, so that an unresponsive ancestor is skipped. Then come the instances with a
// data folder and the rest of the domain, so that a partitioned instance finds any that has
// a newer revision. The parent of the delegate is the root. Instances with the same view
// compute the same tree. Where views differ, an instance may ask a descendant; this is
// harmless, since neither revisions nor leases grow on the way.
func Candidates(self Instance, root string, live []Instance, fanOut int) []string {
	domain := namesOf(live, func(n Instance) bool { return n.Domain == self.Domain || n.Name == self.Name })
	position := sort.SearchStrings(domain, self.Name)
	var order []string
	if position < len(domain) {
		for p := position; p > 0; {
			p = (p - 1) / fanOut
			order = append(order, domain[p])
		}
	}
	if root != "" {
		order = append(order, root)
	}
	order = append(order, namesOf(live, func(n Instance) bool { return n.Data })...)
	order = append(order, domain...)
	return unique(order, self.Name)
}

func namesOf(instances []Instance, keep func(Instance) bool) []string {
	var names []string
	for _, n := range instances {
		if keep(n) {
			names = append(names, n.Name)
		}
	}
	sort.Strings(names)
	return names
}

func unique(names []string, without string) []string {
	seen := map[string]bool{without: true}
	var kept []string
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			kept = append(kept, n)
		}
	}
	return kept
}
