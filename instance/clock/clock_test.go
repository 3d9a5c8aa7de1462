package clock_test

import (
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// A lease measured with Now must expire even if the wall clock is set back or the instance is
// suspended. A test can cause neither, so this one checks that Now advances and has no monotonic
// reading: with one, Sub would use a clock that stops during suspension.
func TestNowIsTheBootClock(t *testing.T) {
	a := clock.Now()
	if a != a.Round(0) {
		t.Fatalf("%v carries a monotonic reading", a)
	}
	time.Sleep(3 * time.Millisecond)
	if d := clock.Since(a); d < 3*time.Millisecond || d > 3*time.Second {
		t.Fatalf("3 ms lasted %v", d)
	}
}
