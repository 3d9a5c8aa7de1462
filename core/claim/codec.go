package claim

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
)

// Instant is a time in nanoseconds since 1970, UTC. The codec rounds a time.Time
// to microseconds: a member restored from a snapshot would end a claim at another
// time than one that applied the log.
type Instant int64

// InstantOf returns the Instant of t.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns i as a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Encode returns the bytes of a Command or Result. It fails with fault.Internal.
func Encode(v any) ([]byte, error) { return control.Marshal(v) }

// Decode reads what Encode wrote. It fails with fault.Corrupt.
func Decode(b []byte, v any) error { return control.Unmarshal(b, v) }
