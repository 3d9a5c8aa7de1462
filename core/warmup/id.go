package warmup

import "github.com/cespare/xxhash/v2"

// PermitID identifies an upstream in requests for permits where no member that grants them knows all
// upstreams: the upper half is a hash of the upstream's name, the lower half one of the name of the rule
// that bounds it. Incarnations of an upstream share an ID, so their requests are bounded together.
// Upstreams with equal hashes share a budget, which only makes it smaller.
func PermitID(rule, upstream string) uint64 {
	return xxhash.Sum64String(upstream)&^uint64(ruleMask) | uint64(RuleHash(rule))
}

const ruleMask = 1<<32 - 1

// RuleHash returns the hash of the name of a rule.
func RuleHash(rule string) uint32 { return uint32(xxhash.Sum64String(rule)) }

// RuleOf returns the hash of the rule in a PermitID.
func RuleOf(id uint64) uint32 { return uint32(id & ruleMask) }

// RuleBounds holds the bounds of rules by their hashes.
type RuleBounds map[uint32]Bound

// Add adds the bound of a rule. Of two rules with the same hash, the stricter bound applies to both.
func (r RuleBounds) Add(rule string, b Bound) {
	h := RuleHash(rule)
	if other, ok := r[h]; ok && other.Requests() <= b.Requests() {
		return
	}
	r[h] = b
}

// Bound returns the bound of an upstream by its PermitID; it has the type of Budget.Bound.
func (r RuleBounds) Bound(id uint64) (Bound, bool) {
	b, ok := r[RuleOf(id)]
	return b, ok
}
