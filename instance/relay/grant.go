package relay

import (
	"slices"
	"time"

	"github.com/comfreyladder/comfreyladder/core/balance"
	"github.com/comfreyladder/comfreyladder/core/fault"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

// Slots grants slots of plain services.
type Slots interface {
	// SlotsPaused reports whether no slots are granted at present.
	SlotsPaused() bool
	// RequestSlot asks for a slot and waits a few milliseconds. It returns the incarnation at which one was
	// granted, zero for none. It fails with fault.DeadlineExceeded if no response came in time; a grant that
	// comes later is passed to late. It fails with other codes if nobody can be asked.
	RequestSlot(q servingsvc.SlotRequest, late func(upstream uint64)) (upstream uint64, err error)
}

// Results of a request for a slot, in logs and metrics.
const (
	slotGranted = "granted" // The granted slot was used.
	slotUnused  = "unused"  // A slot was granted that this instance could not use.
	slotRefused = "refused" // The member granted none.
	slotLate    = "late"    // No response came in time.
	slotFailed  = "failed"  // The member could not be asked.
)

// avoidFor is how long an upstream is not granted to this instance after it could not use a slot there.
// Without that, a member would grant the slots of a paused upstream again and again, as they stay free.
const avoidFor = 500 * time.Millisecond

// avoidedUpstream is an incarnation at which no slot is to be granted until a time.
type avoidedUpstream struct {
	incarnation uint64
	until       time.Time
}

// requestSlot asks for a slot for a request to a plain service if this instance has too few of its own. The
// request is placed without one if none is granted in time.
func (s *Service) requestSlot(r *request) {
	if s.cfg.Slots == nil || r.tellsLoad || s.cfg.Slots.SlotsPaused() {
		return
	}
	q, ok := s.fleet.slotRequest(r, time.Now())
	if !ok {
		return
	}
	r.tellsLoad = true
	at, err := s.cfg.Slots.RequestSlot(q, s.returnGrant)
	switch {
	case fault.CodeOf(err) == fault.DeadlineExceeded:
		r.slotResult = slotLate
	case err != nil:
		// Nobody grants slots, so nobody needs to know the loads at once.
		r.slotResult, r.tellsLoad = slotFailed, false
	case at == 0:
		r.slotResult = slotRefused
	default:
		// The next choice replaces it if the slot is used.
		r.granted, r.slotResult = at, slotUnused
		return
	}
	s.countSlot(r.slotResult)
}

func (s *Service) countSlot(result string) {
	s.set.GetOrCreateCounter(`relay_slot_requests_total{result="` + result + `"}`).Inc()
}

// recordSlot counts the result of a grant after the choice for its request, and reports the load unless the
// member knows of it by the grant.
func (s *Service) recordSlot(r *request, hadGrant bool, chosen *upstream) {
	if hadGrant {
		s.countSlot(r.slotResult)
	}
	if (hadGrant || chosen != nil) && !r.startTold {
		s.plainLoadChanged(r)
	}
}

// plainLoadChanged reports the changed load of an upstream of a plain service if its slots are granted.
func (s *Service) plainLoadChanged(r *request) {
	if r.tellsLoad && s.cfg.OnLoadChange != nil {
		s.cfg.OnLoadChange()
	}
}

// returnGrant tells the member that a slot which was granted too late is not used.
func (s *Service) returnGrant(at uint64) {
	s.fleet.returnGrant(at)
	if s.cfg.OnLoadChange != nil {
		s.cfg.OnLoadChange()
	}
}

// slotRequest returns the request for a slot, or false if none is needed: the service has engines, is large or
// lightly loaded, does not declare its slots, or this instance has enough slots of its own, or does not know which
// ones these are.
func (f *fleet) slotRequest(r *request, now time.Time) (q servingsvc.SlotRequest, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(r.service)
	if r.capacity > 0 || r.affinity != 0 || f.forwarders <= 1 || f.rank == 0 || s.len() > min(scanLimit, servingsvc.MaxGrantedUpstreams) {
		return q, false
	}
	f.shareSlots(s)
	if !balance.NeedsGrants(s.ownSlots, s.len()) || now.Sub(f.remoteLoadsAt) > remoteLoadTTL {
		return q, false
	}
	active := s.remoteActive
	for _, u := range s.ready.list {
		if !u.slotsKnown {
			return q, false
		}
		active += u.active
	}
	if !balance.IsShared(active, s.slots) {
		return q, false
	}
	s.avoided = slices.DeleteFunc(s.avoided, func(a avoidedUpstream) bool { return now.After(a.until) })
	q = servingsvc.SlotRequest{Service: servingsvc.ServiceHash(r.service), HoldMS: int(s.holdTime.MS())}
	for _, a := range s.avoided {
		q.Avoid = append(q.Avoid, a.incarnation)
	}
	return q, true
}

// settleGrant records after a choice whether the granted slot is used. The member counts the grant as a load
// that it was told, so nothing needs to be sent if it is. The caller holds mu.
func (f *fleet) settleGrant(r *request, chosen *upstream) {
	r.startTold = false
	if r.granted == 0 {
		return
	}
	u := f.byIncarnation[r.granted]
	r.granted = 0
	switch {
	case u == nil:
		// The upstream has ended, or is not known here yet. The next whole report corrects the count.
		return
	case u == chosen:
		r.startTold, r.slotResult = true, slotGranted
	case u.service != nil && len(u.service.avoided) < servingsvc.MaxAvoided:
		u.service.avoided = append(u.service.avoided, avoidedUpstream{u.incarnation, time.Now().Add(avoidFor)})
	}
	f.countAsTold(u)
}

// countAsTold records that the member counts one more request at an upstream because of a grant. The caller
// holds mu.
func (f *fleet) countAsTold(u *upstream) {
	u.told.FirstIndex = u.incarnation
	u.told.Active++
	f.used[u] = struct{}{}
	if u.told == u.load() {
		delete(f.changed, u)
	} else {
		f.recordChange(u)
	}
}

// returnGrant records a granted slot that is not used.
func (f *fleet) returnGrant(at uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u := f.byIncarnation[at]; u != nil {
		f.countAsTold(u)
	}
}
