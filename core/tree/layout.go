// Package tree spreads the control state from the control group to all
// instances, along a tree of bounded fan-out. It is pure: time is passed in, and
// updates are values that a service carries.
//
// Each instance asks its parent for what is newer than what it has. The answer
// also tells for how long the parent's configuration is known to be the newest
// one, which is the configuration lease.
package tree

import "sort"

// DefaultFanOut is how many children an instance has inside a failure domain:
// 21 instances are then reached from the delegate in two steps.
const DefaultFanOut = 4

// Instance is one instance in the tree.
type Instance struct {
	Name   string
	Domain string
	// Data says that the instance has a data folder and may hold the control
	// state itself.
	Data bool
}

// Candidates returns whom self asks, the best first. The parent comes first,
// then the other ancestors up to the failure domain's delegate and the root, so
// that a silent one is passed over; then the rest of the domain and of the
// control group, so that a cut-off instance finds anyone who knows more. The
// delegate's parent is the root. Instances with the same view agree on the tree;
// where views differ, an instance may ask a descendant, which does no harm, as
// neither revisions nor leases grow on the way.
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

func namesOf(nodes []Instance, keep func(Instance) bool) []string {
	var names []string
	for _, n := range nodes {
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
