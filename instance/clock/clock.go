// Package clock provides the clock for leases and deadlines.
//
// The monotonic clock stops while an instance is suspended, so a lease measured with
// time.Now would outlive the suspension and the instance would keep serving with a
// configuration that the other instances have replaced. CLOCK_BOOTTIME includes the time in
// suspension and, unlike the wall clock, is never stepped.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// origin is the wall clock time at process start, and bootAtOrigin the boot clock at that
// moment.
var (
	origin       = time.Now().Round(0)
	bootAtOrigin = readBootClock()
)

func readBootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// This fails only on kernels without CLOCK_BOOTTIME: fall back to the monotonic clock.
		return time.Since(monotonicOrigin)
	}
	return time.Duration(ts.Nano())
}

var monotonicOrigin = time.Now()

// Now returns the wall clock time at process start plus the time that has passed on the boot
// clock since. It has no monotonic reading: compare it only with other results of Now.
func Now() time.Time { return origin.Add(readBootClock() - bootAtOrigin) }

// Since returns the time elapsed since t, which must be based on a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, which must be based on a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Sleep waits for d or until ctx is done. It reports whether the full duration has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
