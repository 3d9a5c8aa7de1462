package clock_test

import (
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// A lease that is counted by Now must end although the time of day was set back
// and although the machine was suspended. Neither can be provoked here; what can
// be checked is that Now carries no monotonic reading, by which Sub would compare
// a clock that stands still during a suspension, and that it advances.
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
