// Package clock tells the time that leases and deadlines are counted by.
//
// A machine that is suspended stops its monotonic clock, so a lease counted with
// time.Now would outlive the suspension and the instance would go on serving by a
// configuration that others have replaced. CLOCK_BOOTTIME goes on meanwhile and,
// unlike the time of day, is never stepped.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// origin is the time of day at the start of the process, and bootAtOrigin the
// boot clock at that moment.
var (
	origin       = time.Now().Round(0)
	bootAtOrigin = boot()
)

func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without this clock fails; the monotonic one is next best.
		return time.Since(monotonicOrigin)
	}
	return time.Duration(ts.Nano())
}

var monotonicOrigin = time.Now()

// Now returns the time of day at the start of the process plus what the boot
// clock has counted since. It carries no monotonic reading: compare it only with
// other results of Now.
func Now() time.Time { return origin.Add(boot() - bootAtOrigin) }

// Since returns the time since a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a point that was computed from a result of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Sleep waits, and reports whether it waited for the whole time: false means that the context
// ended before.
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
