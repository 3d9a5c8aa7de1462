// Package announce defines what upstreams say about themselves: that they are
// there, what they serve, how loaded they are and what their prefix cache holds.
// It is the published JSON format of POST /v1/upstreams/announce.
package announce

import (
	"net"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Limits of one beat.
const (
	// MaxTTL bounds how long one beat may keep an upstream alive.
	MaxTTL = 10 * time.Second
	// MaxModels bounds the models of one upstream.
	MaxModels = 64
	// MaxCacheEvents bounds the cache events of one beat.
	MaxCacheEvents = 1024
	// MaxSlots bounds the requests that one upstream runs side by side.
	MaxSlots = 100_000
)

// Heartbeat is one announcement. An upstream sends one about every second through
// the platform's balancer, so that beats reach different instances and may be
// late, repeated or out of order.
type Heartbeat struct {
	Name    string              `json:"name" codec:"name"`
	Domain  string              `json:"domain" codec:"domain"`
	Kind    intent.UpstreamKind `json:"kind" codec:"kind"`
	Address string              `json:"address" codec:"address"`
	// Service names the plain service that the upstream runs (KindService).
	Service string `json:"service,omitempty" codec:"service"`
	// Models lists what the engine holds now, as "model" or "model:adapter".
	Models []string `json:"models,omitempty" codec:"models"`
	// Slots is how many requests it runs side by side.
	Slots int `json:"slots" codec:"slots"`
	// Incarnation grows with each start of the upstream; Sequence with each
	// beat of one incarnation. Together they order the beats.
	Incarnation uint64 `json:"incarnation" codec:"incarnation"`
	Sequence    uint64 `json:"sequence" codec:"sequence"`
	// TTLMillis is how long the beat keeps the upstream alive, in milliseconds.
	TTLMillis int64 `json:"ttl_ms" codec:"ttl_ms"`
	// Leave says that the upstream wants no new work.
	Leave bool  `json:"leave,omitempty" codec:"leave"`
	Load  *Load `json:"load,omitempty" codec:"load"`
	// Cache lists changes of the prefix cache since the last beat.
	Cache []CacheEvent `json:"cache,omitempty" codec:"cache"`
}

// Load is an engine's load report. It lags behind the truth.
type Load struct {
	Running int `json:"running" codec:"running"`
	Waiting int `json:"waiting" codec:"waiting"`
	// TokensPerSecond is the rate of generated tokens over all requests.
	TokensPerSecond float64 `json:"tokens_per_second" codec:"tokens_per_second"`
	// KVUsed is the used share of the KV cache, in [0,1].
	KVUsed float64 `json:"kv_used" codec:"kv_used"`
	// AgeMillis is how old the report was when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms" codec:"age_ms"`
}

// CacheEvent says that a prompt prefix was stored or dropped. Events are
// numbered per incarnation; a gap means that some were lost.
type CacheEvent struct {
	Number uint64 `json:"number" codec:"number"`
	// Prefix is the 64-bit xxhash of the prefix's text.
	Prefix uint64 `json:"prefix" codec:"prefix"`
	// Dropped is false when the prefix was stored.
	Dropped bool `json:"dropped,omitempty" codec:"dropped"`
}

// TTL returns how long the beat keeps the upstream alive.
func (b *Heartbeat) TTL() time.Duration { return time.Duration(b.TTLMillis) * time.Millisecond }

// Newer reports whether b comes after the beat (incarnation, sequence).
func (b *Heartbeat) Newer(incarnation, sequence uint64) bool {
	if b.Incarnation != incarnation {
		return b.Incarnation > incarnation
	}
	return b.Sequence > sequence
}

// Validate checks the form of a beat; whether its sender is trusted is for the
// intent to say.
func (b *Heartbeat) Validate() error {
	switch {
	case b.Name == "" || len(b.Name) > 128:
		return fault.New(fault.Invalid, "name: 1 to 128 characters are needed")
	case b.Domain == "":
		return fault.New(fault.Invalid, "domain: the upstream's failure domain is needed")
	case b.Kind != intent.KindEngine && b.Kind != intent.KindService:
		return fault.New(fault.Invalid, "kind: %q is neither engine nor service", b.Kind)
	case b.Kind == intent.KindService && b.Service == "":
		return fault.New(fault.Invalid, "service: a plain service says which one it is")
	case b.Slots < 1 || b.Slots > MaxSlots:
		return fault.New(fault.Invalid, "slots: %d is not within 1 to %d", b.Slots, MaxSlots)
	case len(b.Models) > MaxModels:
		return fault.New(fault.Invalid, "models: %d entries, at most %d are allowed", len(b.Models), MaxModels)
	case len(b.Cache) > MaxCacheEvents:
		return fault.New(fault.Invalid, "cache: %d events, at most %d are allowed", len(b.Cache), MaxCacheEvents)
	case b.TTL() <= 0 || b.TTL() > MaxTTL:
		return fault.New(fault.Invalid, "ttl_ms: %d is not within 1 to %d", b.TTLMillis, MaxTTL.Milliseconds())
	}
	host, _, err := net.SplitHostPort(b.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fault.New(fault.Invalid, "address: %q is not an IP number with a port", b.Address)
	}
	return nil
}
