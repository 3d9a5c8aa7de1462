package order

import "github.com/cespare/xxhash/v2"

// elect returns the member that orders the engines of the domain: the one with the highest rendezvous
// hash, so that a member that joins or leaves moves the role only if it is the winner itself. The
// election saves work; the lease is what keeps two issuers apart.
func elect(members []string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		h := xxhash.Sum64String("orders\x00" + m)
		if best == "" || h > highest || h == highest && m < best {
			best, highest = m, h
		}
	}
	return best
}
