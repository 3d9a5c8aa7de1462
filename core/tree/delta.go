package tree

import (
	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Update carries a revision, either complete or as a difference from an older one.
type Update struct {
	Revision uint64 `codec:"r"`
	// Sum is the xxhash of the complete content.
	Sum uint64 `codec:"s"`
	// Unchanged reports that the requester already has the content.
	Unchanged bool `codec:"u,omitempty"`
	// Base is the revision that Middle is applied to, or zero if Middle is the complete
	// content. Prefix and Suffix are the numbers of bytes kept from the base.
	Base   uint64 `codec:"b,omitempty"`
	Prefix int    `codec:"p,omitempty"`
	Suffix int    `codec:"x,omitempty"`
	Middle []byte `codec:"m,omitempty"`
	// LeaseMillis is how long the revision is known to be the latest, counted from the time
	// of the request; zero if that is not known.
	LeaseMillis int64 `codec:"l,omitempty"`
}

// diff returns the change that turns base into content. One edit of a configuration changes
// one part of it, so the common prefix and suffix are nearly all of it.
func diff(base, content []byte) (prefix, suffix int, middle []byte) {
	limit := min(len(base), len(content))
	for prefix < limit && base[prefix] == content[prefix] {
		prefix++
	}
	for suffix < limit-prefix && base[len(base)-1-suffix] == content[len(content)-1-suffix] {
		suffix++
	}
	return prefix, suffix, content[prefix : len(content)-suffix]
}

// reconstruct returns the complete content of an update, given the content of its base
// revision.
func (u Update) reconstruct(base []byte) ([]byte, error) {
	out := u.Middle
	if u.Base != 0 {
		if u.Prefix < 0 || u.Suffix < 0 || u.Prefix+u.Suffix > len(base) {
			return nil, fault.New(fault.Corrupt, "revision %d does not match its base revision %d", u.Revision, u.Base)
		}
		out = make([]byte, 0, u.Prefix+len(u.Middle)+u.Suffix)
		out = append(out, base[:u.Prefix]...)
		out = append(out, u.Middle...)
		out = append(out, base[len(base)-u.Suffix:]...)
	}
	if xxhash.Sum64(out) != u.Sum {
		return nil, fault.New(fault.Corrupt, "revision %d: checksum mismatch", u.Revision)
	}
	return out, nil
}
