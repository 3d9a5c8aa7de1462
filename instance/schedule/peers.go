package schedule

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Decoder decodes a received message into v, a pointer.
type Decoder interface{ Decode(v any) error }

// Handler handles a one-way message from another instance.
type Handler func(ctx context.Context, from string, d Decoder)

// Peers gives access to the live instances of the failure domain.
type Peers interface {
	// Self returns the name of this instance.
	Self() string
	// Members returns the names of the instances that are alive and not draining, in any
	// order. It includes this instance unless it is draining.
	Members() []string
	// Send queues a one-way message without blocking. Messages to one instance arrive in
	// order; any of them may be lost.
	Send(to, channel string, msg any) error
	// Handle registers the handler of a channel. It is called before Start.
	Handle(channel string, h Handler)
}

// elect returns the member that schedules for the domain: the one with the highest
// rendezvous hash, so that a change of membership moves the role only if the winner
// changes. It returns the empty string if there are no members.
func elect(members []string) string {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		h := xxhash.Sum64String("scheduler\x00" + m)
		if best == "" || h > bestHash || h == bestHash && m < best {
			best, bestHash = m, h
		}
	}
	return best
}

// Elect returns the member that schedules for the domain, for callers outside of this
// package that need to address it.
func Elect(members []string) string { return elect(members) }

// rank returns the position of self among the members sorted by name, and their number.
func rank(members []string, self string) (shareIndex, shareCount int) {
	sorted := slices.Clone(members)
	if !slices.Contains(sorted, self) {
		sorted = append(sorted, self)
	}
	slices.Sort(sorted)
	return slices.Index(sorted, self), len(sorted)
}
