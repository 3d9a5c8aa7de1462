package fence

import "time"

// Timing holds the durations of a lease. All times in this file are of a clock that keeps
// running while the instance is suspended and is never stepped. With the monotonic clock or
// the wall clock, a holder that was suspended would rely on a lease that another has taken over.
type Timing struct {
	// TTL is the duration of a lease. The holder uses it for Margin less, since clocks run
	// at different rates.
	TTL, Margin time.Duration
	// MaxEffectDelay is the longest time between the arrival of a call's bytes and its effect.
	MaxEffectDelay time.Duration
}

// HeldLease is a holder's view of its lease. The zero value means that no lease is held.
type HeldLease struct {
	// Number is the fencing number, or zero if no lease is held.
	Number uint64
	// Until is when the holder must stop relying on the lease, RenewAt when to renew it.
	Until, RenewAt time.Time
	// SettledAt is when calls of earlier holders can no longer have an effect.
	SettledAt time.Time
	// lastNumber is the number of the latest lease, also after it has ended.
	lastNumber uint64
}

// Valid reports whether the lease covers a call that is sent at now.
func (h *HeldLease) Valid(now time.Time) bool { return h.Number > 0 && now.Before(h.Until) }

// IsSettled reports whether receivers that do not check the number may be called.
func (h *HeldLease) IsSettled(now time.Time) bool { return h.Number > 0 && !now.Before(h.SettledAt) }

// Expire drops the lease if it has expired.
func (h *HeldLease) Expire(now time.Time) {
	if h.Number > 0 && !now.Before(h.Until) {
		h.Drop()
	}
}

// Drop ends the lease on the holder's side only.
func (h *HeldLease) Drop() { h.Number, h.SettledAt = 0, time.Time{} }

// Update applies a grant or a renewal. The lease counts from requestedAt, a time before the
// request was sent, since the group cannot have granted it earlier. newNumber reports that
// the number has changed, and uninterrupted that in this case nobody else held the lease
// since this holder last did.
func (h *HeldLease) Update(requestedAt, now time.Time, g *Grant, t Timing) (newNumber, uninterrupted bool) {
	if g.Lease.Number != h.Number {
		newNumber, uninterrupted = true, h.lastNumber != 0 && g.Lease.Number == h.lastNumber+1
		h.Number, h.lastNumber = g.Lease.Number, g.Lease.Number
		h.SettledAt = now
		if g.Wait > 0 {
			h.SettledAt = now.Add(g.Wait + t.MaxEffectDelay)
		}
	}
	h.Until = requestedAt.Add(t.TTL - t.Margin)
	h.RenewAt = requestedAt.Add(t.TTL / 3)
	return newNumber, uninterrupted
}
