// Package announce defines the heartbeats by which upstreams announce themselves, what
// they serve, their load and the contents of their prefix cache. It is the published
// JSON format of POST /v1/upstreams/announce.
package announce

import (
	"net"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Limits of a heartbeat.
const (
	// MaxTTL is the longest time for which a heartbeat may keep an upstream alive.
	MaxTTL = 10 * time.Second
	// MaxModels is the maximum number of models of an upstream.
	MaxModels = 64
	// MaxCacheEvents is the maximum number of cache events in a heartbeat.
	MaxCacheEvents = 1024
	// MaxSlots is the maximum number of requests that an upstream runs concurrently.
	MaxSlots = 100_000
)

// Heartbeat is an announcement of an upstream. An upstream sends one about every second
// through the platform's load balancer, so heartbeats reach different instances and may
// be late, duplicated or out of order.
type Heartbeat struct {
	Name    string              `json:"name" codec:"name"`
	Domain  string              `json:"domain" codec:"domain"`
	Kind    intent.UpstreamKind `json:"kind" codec:"kind"`
	Address string              `json:"address" codec:"address"`
	// Service is the name of the service that an upstream of KindService runs.
	Service string `json:"service,omitempty" codec:"service"`
	// Models lists the models that the engine has loaded, as "model" or "model:adapter".
	Models []string `json:"models,omitempty" codec:"models"`
	// Slots is how many requests the upstream runs concurrently.
	Slots int `json:"slots" codec:"slots"`
	// Incarnation increases with each start of the upstream, Sequence with each heartbeat
	// of an incarnation. Together they order the heartbeats.
	Incarnation uint64 `json:"incarnation" codec:"incarnation"`
	Sequence    uint64 `json:"sequence" codec:"sequence"`
	// TTLMillis is how long the heartbeat keeps the upstream alive, in milliseconds.
	TTLMillis int64 `json:"ttl_ms" codec:"ttl_ms"`
	// Leave means that the upstream should get no new work.
	Leave bool  `json:"leave,omitempty" codec:"leave"`
	Load  *Load `json:"load,omitempty" codec:"load"`
	// WarmupLeftMillis is for how long the engine stays cold, in milliseconds; 0 says that it is warm.
	// Without it, the engine counts as cold for the time in its rule since it was first heard of.
	WarmupLeftMillis *int64 `json:"warmup_left_ms,omitempty" codec:"warmup_left_ms,omitempty"`
	// Cache lists the changes of the prefix cache since the last heartbeat.
	Cache []CacheEvent `json:"cache,omitempty" codec:"cache"`
}

// Load is an engine's load report. It lags behind the actual load.
type Load struct {
	Running int `json:"running" codec:"running"`
	Waiting int `json:"waiting" codec:"waiting"`
	// TokensPerSecond is the rate of generated tokens over all requests.
	TokensPerSecond float64 `json:"tokens_per_second" codec:"tokens_per_second"`
	// KVUsed is the used fraction of the KV cache, in [0,1].
	KVUsed float64 `json:"kv_used" codec:"kv_used"`
	// AgeMillis is how old the report was when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms" codec:"age_ms"`
}

// CacheEvent records that a prompt prefix was stored in or dropped from the cache. Events
// are numbered per incarnation; a gap means that some were lost.
type CacheEvent struct {
	Number uint64 `json:"number" codec:"number"`
	// Prefix is the 64-bit xxhash of the prefix's text.
	Prefix uint64 `json:"prefix" codec:"prefix"`
	// Dropped is true if the prefix was dropped and false if it was stored.
	Dropped bool `json:"dropped,omitempty" codec:"dropped"`
}

// TTL returns how long the heartbeat keeps the upstream alive.
func (b *Heartbeat) TTL() time.Duration { return time.Duration(b.TTLMillis) * time.Millisecond }

// Newer reports whether b comes after the heartbeat (incarnation, sequence).
func (b *Heartbeat) Newer(incarnation, sequence uint64) bool {
	if b.Incarnation != incarnation {
		return b.Incarnation > incarnation
	}
	return b.Sequence > sequence
}

// Validate checks the values of a heartbeat. Whether its sender is trusted is decided by the
// intent.
func (b *Heartbeat) Validate() error {
	switch {
	case b.Name == "" || len(b.Name) > 128:
		return fault.New(fault.Invalid, "name: must have 1 to 128 characters")
	case b.Domain == "":
		return fault.New(fault.Invalid, "domain: the upstream's failure domain is required")
	case b.Kind != intent.KindEngine && b.Kind != intent.KindService:
		return fault.New(fault.Invalid, "kind: %q is neither engine nor service", b.Kind)
	case b.Kind == intent.KindService && b.Service == "":
		return fault.New(fault.Invalid, "service: required for an upstream of kind service")
	case b.Slots < 1 || b.Slots > MaxSlots:
		return fault.New(fault.Invalid, "slots: %d is not within 1 to %d", b.Slots, MaxSlots)
	case len(b.Models) > MaxModels:
		return fault.New(fault.Invalid, "models: %d entries, at most %d are allowed", len(b.Models), MaxModels)
	case len(b.Cache) > MaxCacheEvents:
		return fault.New(fault.Invalid, "cache: %d events, at most %d are allowed", len(b.Cache), MaxCacheEvents)
	}
	if err := b.validateTimes(); err != nil {
		return err
	}
	host, _, err := net.SplitHostPort(b.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fault.New(fault.Invalid, "address: %q is not an IP address with a port", b.Address)
	}
	return nil
}

func (b *Heartbeat) validateTimes() error {
	switch {
	case b.TTL() <= 0 || b.TTL() > MaxTTL:
		return fault.New(fault.Invalid, "ttl_ms: %d is not within 1 to %d", b.TTLMillis, MaxTTL.Milliseconds())
	case b.WarmupLeftMillis != nil && *b.WarmupLeftMillis < 0:
		return fault.New(fault.Invalid, "warmup_left_ms: %d is negative", *b.WarmupLeftMillis)
	}
	return nil
}
