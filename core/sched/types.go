// Package sched decides which queued model request is sent next, and to which upstream.
// A Scheduler is a deterministic state machine for one failure domain: each call passes
// in an event and returns the effects to carry out; time and randomness are arguments.
// It is not safe for concurrent use; a single goroutine of a service owns it.
//
// Classes that are owed work by their floor are served first, then tiers from the most
// to the least urgent. Within a class, organisations share by weighted token usage;
// within an organisation, the earliest target comes first. Requests that cannot meet
// their service level are shed on arrival instead of being queued and dropped late.
package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/defaults"
)

// The codec names below are short because tickets and grants are sent between instances
// for each request.

// Ticket describes one waiting request. The request body stays on the instance that
// received it.
type Ticket struct {
	// ID is unique for each attempt.
	ID string `codec:"i,omitempty"`
	// Instance is the instance at which the request waits.
	Instance     string `codec:"f,omitempty"`
	Organisation string `codec:"o,omitempty"`
	Class        string `codec:"c,omitempty"`
	Model        string `codec:"m,omitempty"`
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int `codec:"p,omitempty"`
	// PrefixHashes are hashes of the prompt's prefixes, longest first.
	PrefixHashes []uint64 `codec:"h,omitempty"`
	// MaxTokens limits the length of the answer; 0 applies the class's limit.
	MaxTokens int       `codec:"n,omitempty"`
	Arrived   time.Time `codec:"a,omitempty"`
	// Deadline is when the answer is no longer useful; zero applies the class's
	// deadline.
	Deadline time.Time `codec:"d,omitempty"`
	// Excluded names upstreams at which the request was already tried.
	Excluded []string `codec:"x,omitempty"`
}

// Upstream is one model engine of the failure domain.
type Upstream struct {
	Name    string
	Address string
	// Models lists the loaded models, as "model" or "model:adapter".
	Models []string
	Slots  int
	// Draining upstreams get no new requests.
	Draining bool
	// Load is the latest load report, or nil; LoadAt is the time that it describes.
	Load   *announce.Load
	LoadAt time.Time
	// Prefixes holds the prefix hashes known to be in the upstream's cache. The
	// scheduler only reads it; the caller must not modify it after the call.
	Prefixes map[uint64]struct{}
}

// Outcome describes how a grant ended.
type Outcome struct {
	// Tokens is the number of generated tokens.
	Tokens int `codec:"n,omitempty"`
	// Complete is set if the whole answer arrived. Only complete answers are used to
	// learn answer lengths.
	Complete bool `codec:"c,omitempty"`
	// Failed is set if the upstream is to blame: it refused the request, broke off the
	// stream or stopped responding.
	Failed bool `codec:"f,omitempty"`
	// Unused is set if nothing was sent to the upstream.
	Unused bool `codec:"u,omitempty"`
}

// Reason says why a ticket was shed.
type Reason string

// Reasons for a Shed.
const (
	// ReasonBacklog means that the backlog is too long for the request to meet its
	// service level.
	ReasonBacklog Reason = "backlog"
	// ReasonExpired means that the deadline passed while the ticket was queued.
	ReasonExpired Reason = "deadline"
	// ReasonQueueFull means that a limit on queued work was reached.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDisplaced means that the ticket was evicted in favour of a more urgent one.
	ReasonDisplaced Reason = "displaced"
	// ReasonNoUpstream means that no upstream holds the model, or that all that do were
	// already tried.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonUnknownClass means that the intent in force does not define the class.
	ReasonUnknownClass Reason = "unknown_class"
	// ReasonExpiredOnArrival means that the deadline had already passed on arrival.
	ReasonExpiredOnArrival Reason = "too_late"
)

// Effect is an action for the caller to carry out: a Grant or a Shed.
type Effect interface{ TicketID() string }

// Explanation records why a grant went to its upstream.
type Explanation struct {
	// Waited is the time spent in the queue.
	Waited time.Duration `codec:"w,omitempty"`
	// ExpectedWait is the wait estimated on arrival.
	ExpectedWait time.Duration `codec:"e,omitempty"`
	// BelowFloor is set if the class was served first because it was owed work by its
	// floor.
	BelowFloor bool `codec:"l,omitempty"`
	// Candidates is the number of upstreams open to the request; Score is that of the
	// chosen one, in [0,1].
	Candidates int     `codec:"c,omitempty"`
	Score      float64 `codec:"s,omitempty"`
	// CachedPrefix is the share of the prompt believed to be in the chosen upstream's
	// prefix cache.
	CachedPrefix float64 `codec:"p,omitempty"`
	// InFlight and Slots describe the chosen upstream; InFlight includes this grant.
	InFlight int `codec:"n,omitempty"`
	Slots    int `codec:"t,omitempty"`
}

// Grant allows a ticket's request to be sent to an upstream.
type Grant struct {
	ID       string `codec:"i,omitempty"`
	Instance string `codec:"f,omitempty"`
	Upstream string `codec:"u,omitempty"`
	Address  string `codec:"a,omitempty"`
	// Priority is the class's tier, passed to the engine for its own queue.
	Priority int         `codec:"p,omitempty"`
	Explain  Explanation `codec:"x,omitempty"`
}

// TicketID implements Effect.
func (g Grant) TicketID() string { return g.ID }

// Shed rejects a ticket; its request was not run.
type Shed struct {
	ID       string `codec:"i,omitempty"`
	Instance string `codec:"f,omitempty"`
	Reason   Reason `codec:"r,omitempty"`
	// RetryAfter is the time after which the backlog should have drained far enough for
	// a retry. It is always positive.
	RetryAfter time.Duration `codec:"a,omitempty"`
}

// TicketID implements Effect.
func (s Shed) TicketID() string { return s.ID }

// Config holds the limits and tuning parameters of a scheduler. Zero fields take the
// defaults below.
type Config struct {
	// MaxQueued limits the queued tickets of the failure domain.
	MaxQueued int
	// MaxQueuedPerClass limits the queued tickets of one unprotected class,
	// MaxQueuedPerOrganisation those of one organisation in one class.
	MaxQueuedPerClass        int
	MaxQueuedPerOrganisation int
	// MaxQueuedWorkPerClass limits the queued work of one unprotected class, in
	// weighted tokens.
	MaxQueuedWorkPerClass float64
	// Headroom is the share of each upstream's slots that is reserved for protected
	// classes.
	Headroom float64
	// PromptWeight is the work of one prompt token relative to one generated token.
	PromptWeight float64
	// PriorTokenRate is the assumed rate of one stream of an engine without
	// measurements, in tokens a second; PriorAnswerTokens is the assumed answer length
	// of a class without observations.
	PriorTokenRate    float64
	PriorAnswerTokens float64
	// Uncoordinated is set if other schedulers send to the same upstreams without this
	// one seeing their grants. Choices are then spread (see pick.TwoChoices).
	Uncoordinated bool
}

// Default values of Config.
const (
	DefaultMaxQueued                = 8192
	DefaultMaxQueuedPerClass        = 2048
	DefaultMaxQueuedPerOrganisation = 512
	DefaultMaxQueuedWorkPerClass    = 4e6
	DefaultHeadroom                 = 0.1
	DefaultPromptWeight             = 0.05
	DefaultPriorTokenRate           = 30
	DefaultPriorAnswerTokens        = 200
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.MaxQueued, DefaultMaxQueued)
	defaults.Set(&c.MaxQueuedPerClass, DefaultMaxQueuedPerClass)
	defaults.Set(&c.MaxQueuedPerOrganisation, DefaultMaxQueuedPerOrganisation)
	defaults.Set(&c.MaxQueuedWorkPerClass, DefaultMaxQueuedWorkPerClass)
	defaults.Set(&c.Headroom, DefaultHeadroom)
	defaults.Set(&c.PromptWeight, DefaultPromptWeight)
	defaults.Set(&c.PriorTokenRate, DefaultPriorTokenRate)
	defaults.Set(&c.PriorAnswerTokens, DefaultPriorAnswerTokens)
	return c
}
