package schedule

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Decoder reads a received message into v, a pointer.
type Decoder interface{ Decode(v any) error }

// Handler takes a one-way message from another instance.
type Handler func(ctx context.Context, from string, d Decoder)

// Peers are the live instances of the failure domain and the links to them.
type Peers interface {
	// Self is this instance's name.
	Self() string
	// Members returns the names of the instances that are alive and not
	// draining, this one included unless it drains; any order.
	Members() []string
	// Send queues a one-way message without blocking. Messages to one instance
	// arrive in order; any may be lost.
	Send(to, channel string, msg any) error
	// Handle registers a channel; it is called before Start.
	Handle(channel string, h Handler)
}

// elect returns the member that schedules for the domain: the one with the
// highest rendezvous hash, so that a member that comes or goes moves the role
// only if it is the winner itself. Without members it is the empty name.
func elect(members []string) string {
	best, most := "", uint64(0)
	for _, m := range members {
		h := xxhash.Sum64String("scheduler\x00" + m)
		if best == "" || h > most || h == most && m < best {
			best, most = m, h
		}
	}
	return best
}

// Elect returns the member that schedules for the domain, for those that have
// something to tell it.
func Elect(members []string) string { return elect(members) }

// rank returns self's position among the members by name and their count.
func rank(members []string, self string) (part, parts int) {
	sorted := slices.Clone(members)
	if !slices.Contains(sorted, self) {
		sorted = append(sorted, self)
	}
	slices.Sort(sorted)
	return slices.Index(sorted, self), len(sorted)
}
