package registry

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// Brief is a relayed beat without what seldom changes. A failure domain with 76
// upstreams relays 76 beats a second to each of its instances; whole ones of
// about 300 bytes would use up more than the 18 KB/s that an instance has for
// all control traffic. It travels as an array, as the names of its fields would
// be a third of it.
type Brief struct {
	wire.Array
	// Ref stands for what is left out; see refOf.
	Ref      uint64
	Sequence uint64
	// RemainingMillis and AgeMillis are those of Relayed, rounded against the
	// upstream.
	RemainingMillis int64
	AgeMillis       int64
	Load            *BriefLoad
	Cache           []announce.CacheEvent
}

// BriefLoad is announce.Load in whole numbers.
type BriefLoad struct {
	wire.Array
	Running         int
	Waiting         int
	TokensPerSecond int64
	// KVMille is the used share of the KV cache in thousandths.
	KVMille   int64
	AgeMillis int64
}

const mille = 1000

// Shorten returns the brief form of a beat; false for a leave, which must be
// understood also by an instance that does not know the upstream yet.
func Shorten(m Relayed) (Brief, bool) {
	if m.Beat.Leave {
		return Brief{}, false
	}
	b := Brief{
		Ref:             refOf(m.Beat),
		Sequence:        m.Beat.Sequence,
		RemainingMillis: m.Remaining.Milliseconds(),
		AgeMillis:       (m.Age + time.Millisecond - 1).Milliseconds(),
		Cache:           m.Beat.Cache,
	}
	if l := m.Beat.Load; l != nil {
		b.Load = &BriefLoad{
			Running:         l.Running,
			Waiting:         l.Waiting,
			TokensPerSecond: int64(math.Round(l.TokensPerSecond)),
			KVMille:         int64(math.Round(l.KVUsed * mille)),
			AgeMillis:       l.AgeMillis,
		}
	}
	return b, true
}

// refOf hashes what a Brief leaves out: the upstream's name, its start and what
// it said of itself. Hashes of 64 bits of some thousand upstreams don't collide.
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
	return d.Sum64()
}

// ApplyBrief takes in a relayed beat in its brief form. It is Unknown when the
// rest is not known here; then the sender is to be asked for the Whole beat.
func (r *Registry) ApplyBrief(now time.Time, b Brief) Outcome {
	e := r.byRef[b.Ref]
	if e == nil {
		return Unknown
	}
	beat := e.up.Heartbeat
	beat.Sequence, beat.Leave = b.Sequence, false
	beat.Cache = b.Cache
	if l := b.Load; l != nil {
		beat.Load = &announce.Load{
			Running:         l.Running,
			Waiting:         l.Waiting,
			TokensPerSecond: float64(l.TokensPerSecond),
			KVUsed:          float64(l.KVMille) / mille,
			AgeMillis:       l.AgeMillis,
		}
	}
	return r.ApplyRelayed(now, Relayed{
		Beat:      beat,
		Remaining: time.Duration(b.RemainingMillis) * time.Millisecond,
		Age:       time.Duration(b.AgeMillis) * time.Millisecond,
	})
}

// Whole returns the latest beat of the upstream that a Brief refers to, as it is
// to be relayed now; false when it is unknown or gone. It carries no cache events, so that the receiver
// learns by the next one's number whether it missed some.
func (r *Registry) Whole(now time.Time, ref uint64) (Relayed, bool) {
	e := r.byRef[ref]
	if e == nil || e.gone {
		return Relayed{}, false
	}
	m := Relayed{Beat: e.up.Heartbeat, Remaining: e.expires.Sub(now), Age: now.Sub(e.up.HeardAt)}
	if e.up.Load != nil {
		load := *e.up.Load
		load.AgeMillis = max(e.up.HeardAt.Sub(e.up.LoadAt), 0).Milliseconds()
		m.Beat.Load = &load
	}
	return m, m.Remaining > 0
}
