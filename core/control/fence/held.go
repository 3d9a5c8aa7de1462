package fence

import "time"

// Timing are what a holder counts with. All times here are of a clock that goes on while
// the machine is suspended and is never stepped; by the monotonic clock, or by the time of
// day, a holder that was suspended would believe in a lease that others have taken over.
type Timing struct {
	// TTL is how long a lease lasts, Margin what is kept back of it for clocks that
	// differ in rate.
	TTL, Margin time.Duration
	// MaxEffectDelay is the longest time that a call may take to have its effect after its bytes
	// have arrived.
	MaxEffectDelay time.Duration
}

// HeldLease is a holder's own view of its lease. The zero HeldLease is none.
type HeldLease struct {
	// Number is the fencing number, zero without a lease.
	Number uint64
	// Until is the end of the lease as the holder may count on it, RenewAt when it is to
	// be renewed.
	Until, RenewAt time.Time
	// SettledAt is when no call of an earlier holder can have an effect any more.
	SettledAt time.Time
	// last is the number that this holder had last.
	last uint64
}

// Valid reports whether the lease covers a call that is sent now.
func (h *HeldLease) Valid(now time.Time) bool { return h.Number > 0 && now.Before(h.Until) }

// IsSettled reports whether calls may go to those who do not check the number.
func (h *HeldLease) IsSettled(now time.Time) bool { return h.Number > 0 && !now.Before(h.SettledAt) }

// Expire drops the lease if it is over.
func (h *HeldLease) Expire(now time.Time) {
	if h.Number > 0 && !now.Before(h.Until) {
		h.Drop()
	}
}

// Drop ends the lease on the holder's side.
func (h *HeldLease) Drop() { h.Number, h.SettledAt = 0, time.Time{} }

// Update takes in a grant or a renewal. The lease counts from asked, the moment before the
// request was sent, since the group can't have given it earlier. begun says that the number
// is a new one, and alone that nobody else held the lease since this holder last did.
func (h *HeldLease) Update(asked, now time.Time, g *Grant, t Timing) (begun, alone bool) {
	if g.Lease.Number != h.Number {
		begun, alone = true, h.last != 0 && g.Lease.Number == h.last+1
		h.Number, h.last = g.Lease.Number, g.Lease.Number
		h.SettledAt = now
		if g.Wait > 0 {
			h.SettledAt = now.Add(g.Wait + t.MaxEffectDelay)
		}
	}
	h.Until = asked.Add(t.TTL - t.Margin)
	h.RenewAt = asked.Add(t.TTL / 3)
	return begun, alone
}
