// Package sched decides which waiting model request goes next and to which
// upstream. A Scheduler is a state machine for one failure domain: calls put
// events in and give effects back; time and randomness are passed in. It is not
// safe for concurrent use; one goroutine of a service owns it.
//
// Order of service: classes below their floor first, then tiers, the most urgent
// first. Inside a class, organisations share by token counts and weights; inside
// an organisation the earliest target goes first. Work that can't meet its level
// is refused at once, never queued only to be dropped late.
package sched

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/defaults"
)

// The codec names below are short, as tickets and grants travel between instances
// for each request.

// Ticket stands for one waiting request; the request's body stays where it is.
type Ticket struct {
	// ID is unique for each attempt.
	ID string `codec:"i,omitempty"`
	// Instance is where the request waits.
	Instance     string `codec:"f,omitempty"`
	Organisation string `codec:"o,omitempty"`
	Class        string `codec:"c,omitempty"`
	Model        string `codec:"m,omitempty"`
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int `codec:"p,omitempty"`
	// PrefixHashes are hashes of the prompt's prefixes, the longest first.
	PrefixHashes []uint64 `codec:"h,omitempty"`
	// MaxTokens bounds the answer; 0 means the class's bound.
	MaxTokens int       `codec:"n,omitempty"`
	Arrived   time.Time `codec:"a,omitempty"`
	// Deadline is when the answer becomes worthless; zero takes the class's.
	Deadline time.Time `codec:"d,omitempty"`
	// Excluded names upstreams at which the request was tried before.
	Excluded []string `codec:"x,omitempty"`
}

// Upstream is one model engine of the domain.
type Upstream struct {
	Name    string
	Address string
	// Models lists what it holds, as "model" or "model:adapter".
	Models []string
	Slots  int
	// Draining upstreams get no new work.
	Draining bool
	// Load is the latest report, or nil; LoadAt is when its figures were true.
	Load   *announce.Load
	LoadAt time.Time
	// Prefixes is what its cache is known to hold. The scheduler only reads it;
	// the caller must not change it after the call.
	Prefixes map[uint64]struct{}
}

// Outcome says how a grant ended.
type Outcome struct {
	// Tokens is how many tokens were generated.
	Tokens int `codec:"n,omitempty"`
	// Complete says that the whole answer arrived; only then is its length
	// learned from.
	Complete bool `codec:"c,omitempty"`
	// Failed says that the upstream is to blame: refused, broke off or silent.
	Failed bool `codec:"f,omitempty"`
	// Unused says that nothing was sent to the upstream.
	Unused bool `codec:"u,omitempty"`
}

// Reason says why a ticket was shed.
type Reason string

// The reasons of a Shed.
const (
	// ReasonBacklog means that the backlog leaves no chance to meet the level.
	ReasonBacklog Reason = "backlog"
	// ReasonExpired means that the deadline passed in the queue.
	ReasonExpired Reason = "deadline"
	// ReasonQueueFull means that a bound on queued work was reached.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDisplaced means that the place went to a more urgent ticket.
	ReasonDisplaced Reason = "displaced"
	// ReasonNoUpstream means that no upstream holds the model, or that all that
	// do were tried.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonUnknownClass means that the intent in force has no such class.
	ReasonUnknownClass Reason = "unknown_class"
	// ReasonExpiredOnArrival means that the request's deadline had passed on arrival.
	ReasonExpiredOnArrival Reason = "too_late"
)

// Effect is what the caller must do: a Grant or a Shed.
type Effect interface{ TicketID() string }

// Explanation tells why a grant went where it went.
type Explanation struct {
	// Waited is the time in the queue.
	Waited time.Duration `codec:"w,omitempty"`
	// ExpectedWait is the wait that was estimated at arrival.
	ExpectedWait time.Duration `codec:"e,omitempty"`
	// BelowFloor says that the class went first because it was below its floor.
	BelowFloor bool `codec:"l,omitempty"`
	// Candidates is how many upstreams were open to it; Score is the chosen
	// one's, in [0,1].
	Candidates int     `codec:"c,omitempty"`
	Score      float64 `codec:"s,omitempty"`
	// CachedPrefix is the share of the prompt believed to be cached there.
	CachedPrefix float64 `codec:"p,omitempty"`
	// InFlight and Slots are the chosen upstream's, with this grant.
	InFlight int `codec:"n,omitempty"`
	Slots    int `codec:"t,omitempty"`
}

// Grant lets a ticket's request be sent to an upstream.
type Grant struct {
	ID       string `codec:"i,omitempty"`
	Instance string `codec:"f,omitempty"`
	Upstream string `codec:"u,omitempty"`
	Address  string `codec:"a,omitempty"`
	// Priority is the class's tier, for the engine's own queue.
	Priority int         `codec:"p,omitempty"`
	Explain  Explanation `codec:"x,omitempty"`
}

// TicketID implements Effect.
func (g Grant) TicketID() string { return g.ID }

// Shed refuses a ticket; its request was not run.
type Shed struct {
	ID       string `codec:"i,omitempty"`
	Instance string `codec:"f,omitempty"`
	Reason   Reason `codec:"r,omitempty"`
	// RetryAfter is above zero: when the backlog should have drained enough.
	RetryAfter time.Duration `codec:"a,omitempty"`
}

// TicketID implements Effect.
func (s Shed) TicketID() string { return s.ID }

// Config bounds and tunes a scheduler. Zero fields take the defaults below.
type Config struct {
	// MaxQueued bounds the queued tickets of the domain.
	MaxQueued int
	// MaxQueuedPerClass bounds those of one unprotected class, MaxQueuedShare those
	// of one organisation in one class.
	MaxQueuedPerClass        int
	MaxQueuedPerOrganisation int
	// MaxQueuedWorkPerClass bounds the queued work of one unprotected class.
	MaxQueuedWorkPerClass float64
	// Headroom is the share of each upstream's slots that unprotected classes
	// may not fill.
	Headroom float64
	// PromptWeight is the work of one prompt token relative to a generated one.
	PromptWeight float64
	// PriorTokenRate is assumed for one stream of an unknown engine, in tokens a
	// second; PriorTokens for the length of an unknown class's answer.
	PriorTokenRate    float64
	PriorAnswerTokens float64
	// Uncoordinated says that other schedulers send to the same upstreams unseen, so
	// that choices must be spread (see pick.TwoChoices).
	Uncoordinated bool
}

// Defaults of Config. They are starting points that were reasoned, not measured,
// unless docs say otherwise.
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
