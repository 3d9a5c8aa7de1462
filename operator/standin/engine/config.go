// Package engine is a small stand-in of a model engine. It speaks the engines'
// published protocol and has the traits that a router's policy meets: batches
// whose speed falls with their size, a waiting queue by priority, a prefix cache
// with limited memory, reports that lag, and faults that can be switched on.
// Its tokens are made up, but each answer can be verified by its caller.
package engine

import (
	"cmp"
	"time"

	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

// Config describes one engine. Durations of work are divided by Speed; the
// protocol's own times (beats, ReadTimeout, lags) are not.
type Config struct {
	host.Config
	Name   string
	Domain string
	// Models lists what is loaded at the start; empty serves any model.
	Models []string
	// Slots is the limit of the batch; zero means DefaultSlots.
	Slots int
	// QueueLimit bounds the waiting requests; zero means no bound.
	QueueLimit int
	// Speed makes all work faster by this factor; zero means 1.
	Speed float64
	// Prefill is the time per prompt token that is not cached.
	Prefill time.Duration
	// Step is the time of one decoding step with an empty batch, and StepEach
	// what each request in the batch adds.
	Step     time.Duration
	StepEach time.Duration
	// CacheTokens bounds the prefix cache; zero means DefaultCacheTokens.
	CacheTokens int
	// KVTokens is the KV memory that load reports are relative to.
	KVTokens int
	// EventDelay is how late cache events are published, and EventLoss the
	// share of them, in [0,1), that is never published.
	EventDelay time.Duration
	EventLoss  float64
	// ReadTimeout cancels a stream that nobody reads; zero means 2 s.
	ReadTimeout time.Duration
	// Keep is how long an ended stream can be resumed; zero means 10 s.
	Keep time.Duration
	// LoadTime is the time to load one model's weights; zero means 20 s.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// Seed makes the losses and crossings repeatable.
	Seed uint64
	// Faults are those at the start.
	Faults Faults
}

// Defaults of an engine: a mid-sized model on one accelerator, from the ratio
// of the usual prefill and decoding rates; they are no measurement.
const (
	DefaultSlots       = 16
	DefaultCacheTokens = 100_000
	DefaultKVTokens    = 200_000
	DefaultPrefill     = 150 * time.Microsecond
	DefaultStep        = 20 * time.Millisecond
	DefaultStepEach    = 500 * time.Microsecond
	DefaultReadTimeout = 2 * time.Second
	DefaultKeep        = 10 * time.Second
	DefaultLoadTime    = 20 * time.Second

	// prefillChunk bounds the prompt tokens of one step, so that a long prompt
	// does not hold up the batch.
	prefillChunk = 512
)

// Faults can be set at the start, by SetFaults and by POST /standin/faults.
type Faults struct {
	// Straggler slows all work by this factor; zero means 1.
	Straggler float64 `json:"straggler"`
	// Silent accepts requests and never answers; no work proceeds.
	Silent bool `json:"silent"`
	// Mute ends the beats while requests are still served.
	Mute bool `json:"mute"`
	// Crossed is the share of answers, in [0,1], that are another request's.
	Crossed float64 `json:"crossed"`
	// BreakAfter cuts each stream's connection after so many events; 0 never.
	BreakAfter int `json:"break_after"`
	// Refuse answers each request with "not run".
	Refuse bool `json:"refuse"`
	// ReportLagMillis is how old load reports are.
	ReportLagMillis int64 `json:"report_lag_ms"`
	// Crash closes everything at once.
	Crash bool `json:"crash"`
	// CrashOn closes everything at once when the engine begins to answer a request whose body has this
	// text; empty never.
	CrashOn string `json:"crash_on"`
}

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.Speed = cmp.Or(c.Speed, 1)
	c.Prefill = cmp.Or(c.Prefill, DefaultPrefill)
	c.Step = cmp.Or(c.Step, DefaultStep)
	c.StepEach = cmp.Or(c.StepEach, DefaultStepEach)
	c.CacheTokens = cmp.Or(c.CacheTokens, DefaultCacheTokens)
	c.KVTokens = cmp.Or(c.KVTokens, DefaultKVTokens)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.Keep = cmp.Or(c.Keep, DefaultKeep)
	c.LoadTime = cmp.Or(c.LoadTime, DefaultLoadTime)
	return c
}
