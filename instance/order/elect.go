package order

import "github.com/cespare/xxhash/v2"

// elect returns the member that orders the domain's engines: the one with the
// highest rendezvous hash, so that a member that comes or goes moves the role
// only if it is the winner itself. It spares work; what keeps two issuers apart
// is the lease.
func elect(members []string) string {
	best, most := "", uint64(0)
	for _, m := range members {
		h := xxhash.Sum64String("orders\x00" + m)
		if best == "" || h > most || h == most && m < best {
			best, most = m, h
		}
	}
	return best
}
