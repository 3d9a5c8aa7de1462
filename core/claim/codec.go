package claim

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/control"
)

// Instant is a time in nanoseconds since 1970, UTC. The codec rounds a time.Time to
// microseconds: a member restored from a snapshot would expire a claim at another time
// than one that applied the log.
type Instant int64

// InstantOf converts t to an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time returns i as a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Encode encodes a Command or Result. It fails with fault.Internal.
func Encode(v any) ([]byte, error) { return control.Marshal(v) }

// Decode decodes the output of Encode. It fails with fault.Corrupt.
func Decode(b []byte, v any) error { return control.Unmarshal(b, v) }
