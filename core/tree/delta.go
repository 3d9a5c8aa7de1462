package tree

import (
	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Update carries a revision, as a whole or as the difference from an older one.
type Update struct {
	Revision uint64 `codec:"r"`
	// Sum is the xxhash of the whole content.
	Sum uint64 `codec:"s"`
	// Unchanged says that the asking side has the content already.
	Unchanged bool `codec:"u,omitempty"`
	// Base is the revision that Middle is to be put into, or zero when Middle
	// is the whole content. Prefix and Suffix are the bytes kept of the base.
	Base   uint64 `codec:"b,omitempty"`
	Prefix int    `codec:"p,omitempty"`
	Suffix int    `codec:"x,omitempty"`
	Middle []byte `codec:"m,omitempty"`
	// LeaseMillis is for how long the revision is known to be the newest, from
	// the moment of the question on; zero when it is not.
	LeaseMillis int64 `codec:"l,omitempty"`
}

// difference returns what must change in base to get content. One edit of a
// configuration changes one place of it, so that common ends are nearly all.
func difference(base, content []byte) (prefix, suffix int, middle []byte) {
	limit := min(len(base), len(content))
	for prefix < limit && base[prefix] == content[prefix] {
		prefix++
	}
	for suffix < limit-prefix && base[len(base)-1-suffix] == content[len(content)-1-suffix] {
		suffix++
	}
	return prefix, suffix, content[prefix : len(content)-suffix]
}

// content rebuilds the content from an update and the base that it names.
func (u Update) content(base []byte) ([]byte, error) {
	out := u.Middle
	if u.Base != 0 {
		if u.Prefix < 0 || u.Suffix < 0 || u.Prefix+u.Suffix > len(base) {
			return nil, fault.New(fault.Corrupt, "revision %d: it does not fit its base %d", u.Revision, u.Base)
		}
		out = make([]byte, 0, u.Prefix+len(u.Middle)+u.Suffix)
		out = append(out, base[:u.Prefix]...)
		out = append(out, u.Middle...)
		out = append(out, base[len(base)-u.Suffix:]...)
	}
	if xxhash.Sum64(out) != u.Sum {
		return nil, fault.New(fault.Corrupt, "revision %d: the checksum is wrong", u.Revision)
	}
	return out, nil
}
