package registry

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// CompactBeat is a relayed beat without the fields that seldom change. A failure domain
// with 76 upstreams relays 76 beats a second to each of its instances; complete beats of
// about 300 bytes would exceed the 18 KB/s that an instance has for all control traffic. It
// is encoded as an array, since field names would take a third of its size.
type CompactBeat struct {
	wire.Array
	// Ref identifies the omitted fields; see refOf.
	Ref      uint64
	Sequence uint64
	// RemainingMillis and AgeMillis are those of RelayedBeat, rounded so that the upstream
	// expires sooner rather than later.
	RemainingMillis int64
	AgeMillis       int64
	Load            *CompactLoad
	Cache           []announce.CacheEvent
}

// CompactLoad is announce.Load in integers.
type CompactLoad struct {
	wire.Array
	Running         int
	Waiting         int
	TokensPerSecond int64
	// KVMille is the used fraction of the KV cache in thousandths.
	KVMille   int64
	AgeMillis int64
}

const perMille = 1000

// Compact returns the compact form of a beat. It returns false for a leave, which must be
// understood even by an instance that does not know the upstream yet, and for the beat of an
// engine that states that it is cold, since that time changes with each beat.
func Compact(m RelayedBeat) (CompactBeat, bool) {
	if m.Beat.Leave || statesCold(&m.Beat) {
		return CompactBeat{}, false
	}
	b := CompactBeat{
		Ref:             refOf(m.Beat),
		Sequence:        m.Beat.Sequence,
		RemainingMillis: m.Remaining.Milliseconds(),
		AgeMillis:       (m.Age + time.Millisecond - 1).Milliseconds(),
		Cache:           m.Beat.Cache,
	}
	if l := m.Beat.Load; l != nil {
		b.Load = &CompactLoad{
			Running:         l.Running,
			Waiting:         l.Waiting,
			TokensPerSecond: int64(math.Round(l.TokensPerSecond)),
			KVMille:         int64(math.Round(l.KVUsed * perMille)),
			AgeMillis:       l.AgeMillis,
		}
	}
	return b, true
}

// refOf hashes the fields that a CompactBeat omits: the upstream's name, its incarnation
// and its self-description. Collisions of 64-bit hashes are not expected among a few
// thousand upstreams.
func refOf(b announce.Heartbeat) uint64 {
	d := xxhash.New()
	write := func(s string) {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	write(b.Name)
	write(strconv.FormatUint(b.Incarnation, 10))
	write(b.Domain)
	write(string(b.Kind))
	write(b.Address)
	write(b.Service)
	write(strconv.Itoa(b.Slots))
	write(strconv.FormatInt(b.TTLMillis, 10))
	for _, m := range b.Models {
		write(m)
	}
	switch {
	case statesCold(&b):
		write("cold")
	case b.WarmupLeftMillis != nil:
		write("warm")
	}
	return d.Sum64()
}

// statesCold reports whether an engine says of itself that it is cold.
func statesCold(b *announce.Heartbeat) bool {
	return b.WarmupLeftMillis != nil && *b.WarmupLeftMillis > 0
}

// ApplyCompact processes a relayed beat in its compact form. It returns Unknown if the
// omitted fields are not known here; the sender is then to be asked for the FullBeat.
func (r *Registry) ApplyCompact(now time.Time, b CompactBeat) Outcome {
	e := r.byRef[b.Ref]
	if e == nil {
		return Unknown
	}
	beat := e.upstream.Heartbeat
	beat.Sequence, beat.Leave = b.Sequence, false
	beat.Cache = b.Cache
	if l := b.Load; l != nil {
		beat.Load = &announce.Load{
			Running:         l.Running,
			Waiting:         l.Waiting,
			TokensPerSecond: float64(l.TokensPerSecond),
			KVUsed:          float64(l.KVMille) / perMille,
			AgeMillis:       l.AgeMillis,
		}
	}
	return r.ApplyRelayed(now, RelayedBeat{
		Beat:      beat,
		Remaining: time.Duration(b.RemainingMillis) * time.Millisecond,
		Age:       time.Duration(b.AgeMillis) * time.Millisecond,
	})
}

// FullBeat returns the latest beat of the upstream that a CompactBeat refers to, as it is
// to be relayed now, or false if the upstream is unknown or inactive. The beat carries no
// cache events; the receiver detects missed events by the number of the next one.
func (r *Registry) FullBeat(now time.Time, ref uint64) (RelayedBeat, bool) {
	e := r.byRef[ref]
	if e == nil || e.inactive {
		return RelayedBeat{}, false
	}
	m := RelayedBeat{Beat: e.upstream.Heartbeat, Remaining: e.expires.Sub(now), Age: now.Sub(e.upstream.HeardAt)}
	if e.upstream.Load != nil {
		load := *e.upstream.Load
		load.AgeMillis = max(e.upstream.HeardAt.Sub(e.upstream.LoadAt), 0).Milliseconds()
		m.Beat.Load = &load
	}
	return m, m.Remaining > 0
}
