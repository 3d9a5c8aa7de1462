package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	servingsvc "github.com/comfreyladder/comfreyladder/instance/serving"
)

const (
	// slotWait is how long a request waits for the response of the member, at most: a round trip takes 0.5 to
	// 5 ms.
	slotWait = 5 * time.Millisecond
	// lateSlotWait is how long a response is awaited that will not be used. By then a whole report has told
	// the member what the instance has in flight.
	lateSlotWait = 300 * time.Millisecond
	// maxSlotCalls bounds the calls in progress: a member that does not respond must not hold more.
	maxSlotCalls = 64
	// toleratedLateSlots is how many responses in a row may be late before the member is not asked for a while.
	toleratedLateSlots = 3
	// minSlotPause and maxSlotPause bound how long a member is not asked after a failure. The pause doubles
	// with each failure, as a member of an older build does not know the channel at all.
	minSlotPause, maxSlotPause = time.Second, 30 * time.Second
	// minLatePause and maxLatePause bound it after late responses. With the bounds of a failure, half of the
	// requests got no slot on a machine that was busy with other work, whose responses are late for some
	// 10 ms at a time.
	minLatePause, maxLatePause = 100 * time.Millisecond, time.Second
)

// slotCalls holds what is known of the member as a granter of slots. It is safe for concurrent use.
type slotCalls struct {
	mu sync.Mutex
	// member is the one that the other fields are about.
	member      string
	pausedUntil time.Time
	// pause is the latest pause, zero after a response in time; late counts the late ones since.
	pause time.Duration
	late  int
	// running is the number of calls in progress.
	running int
}

// begin reports whether the member may be asked, and counts a call in progress.
func (c *slotCalls) begin(member string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.member != member {
		c.member, c.pausedUntil, c.pause, c.late = member, time.Time{}, 0, 0
	}
	if now.Before(c.pausedUntil) || c.running >= maxSlotCalls {
		return false
	}
	c.running++
	return true
}

func (c *slotCalls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// record records the result of a call to a member, and returns for how long the member is not asked. A late
// response counts as a failure only after some others.
func (c *slotCalls) record(member string, err error, now time.Time) (pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.member != member || now.Before(c.pausedUntil) {
		return 0
	}
	shortest, longest := minSlotPause, maxSlotPause
	switch {
	case err == nil:
		c.pause, c.late = 0, 0
		return 0
	case fault.CodeOf(err) == fault.DeadlineExceeded:
		if c.late++; c.late <= toleratedLateSlots {
			return 0
		}
		shortest, longest = minLatePause, maxLatePause
	}
	c.late = 0
	c.pause = min(longest, max(shortest, 2*c.pause))
	c.pausedUntil = now.Add(c.pause)
	return c.pause
}

// SlotsPaused reports whether the member is not asked for slots at present.
func (f *Follower) SlotsPaused() bool {
	f.slots.mu.Lock()
	defer f.slots.mu.Unlock()
	members := f.Members()
	return len(members) == 0 || f.slots.member == members[0] && clock.Now().Before(f.slots.pausedUntil)
}

var (
	errSlotLate   = fault.New(fault.DeadlineExceeded, "the member did not grant a slot in time")
	errSlotPaused = fault.New(fault.Unavailable, "the member is not asked for slots for a while")
)

// RequestSlot asks the member for a slot and waits for up to slotWait. It returns the incarnation at which the
// slot was granted, zero if the member granted none. It fails with fault.DeadlineExceeded if no response came in
// time; a grant that comes later is passed to late. It fails with other codes if the member can't be asked.
func (f *Follower) RequestSlot(q servingsvc.SlotRequest, late func(upstream uint64)) (upstream uint64, err error) {
	members := f.Members()
	if len(members) == 0 || !f.slots.begin(members[0], clock.Now()) {
		return 0, errSlotPaused
	}
	upstream, err = f.callForSlot(members[0], q, late)
	if pause := f.slots.record(members[0], err, clock.Now()); pause > 0 {
		f.cfg.Log.Info().Str("event", "slots_paused").Str("peer", members[0]).Dur("for", pause).Err(err).Msg("a control member does not grant slots")
	}
	return upstream, err
}

// callForSlot sends the request to a member.
func (f *Follower) callForSlot(member string, q servingsvc.SlotRequest, late func(upstream uint64)) (upstream uint64, err error) {
	type result struct {
		grant servingsvc.SlotGrant
		err   error
	}
	// ended is set by the side that ends the wait: the response or the timer.
	var ended atomic.Bool
	response := make(chan result, 1)
	go func() {
		defer f.slots.end()
		ctx, cancel := context.WithTimeout(context.Background(), lateSlotWait)
		defer cancel()
		var r result
		r.err = f.cfg.Links.Call(ctx, member, servingsvc.ChannelSlots, q, &r.grant)
		if ended.CompareAndSwap(false, true) {
			response <- r
		} else if r.err == nil && r.grant.FirstIndex != 0 {
			late(r.grant.FirstIndex)
		}
	}()
	begun := clock.Now()
	t := time.NewTimer(slotWait)
	defer t.Stop()
	select {
	case <-t.C:
		if ended.CompareAndSwap(false, true) {
			return 0, errSlotLate
		}
	case r := <-response:
		response <- r
	}
	r := <-response
	if at := r.grant.FirstIndex; r.err == nil && at != 0 && clock.Since(begun) > lateSlotWait {
		// The process was suspended: the member does not count the grant any more.
		late(at)
		return 0, errSlotLate
	}
	return r.grant.FirstIndex, r.err
}
