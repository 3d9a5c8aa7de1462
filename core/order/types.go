// Package order decides what the engines of one failure domain are ordered to
// hold. It compares the operators' intent with what the engines say that they
// hold and returns the orders to give now. It is pure: time is passed in, and
// what engines said is a value.
//
// An order states the whole wanted end of one engine, not a step, so that it may
// be repeated and a lost or late one is corrected by the next. Three rules bound
// the orders: the weight store's budget (loads are spread and never stampede),
// the last engine that serves a model goes on until its successor serves, and
// what an engine holds already is left where it is. From the last two follows a
// limit: where every engine is full and in demand, models that would have to
// change places stay, and the status says so, until an engine is added or idle.
package order

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Defaults of Config. They are reasoned, not measured.
const (
	// DefaultReplaceAfter outlives a lost beat and a quick restart of an engine, and is
	// short against the time that a replacement takes to load.
	DefaultReplaceAfter = 15 * time.Second
	// DefaultMaxHeartbeatAge is two beats and some: an engine that has been silent for
	// longer may be gone although it still counts as alive.
	DefaultMaxHeartbeatAge = 2500 * time.Millisecond
	// DefaultIdleAfter is longer than load reports lag.
	DefaultIdleAfter = 10 * time.Second
	// DefaultSaturatedAfter is longer than most bursts: a load takes longer than to wait
	// such a burst out.
	DefaultSaturatedAfter = 20 * time.Second
	// DefaultReassignCooldown keeps loads that demand asked for from chasing it.
	DefaultReassignCooldown = 5 * time.Minute
	// DefaultBackoff is the pause before an engine that could not be ordered is
	// tried again.
	DefaultBackoff = 5 * time.Second
	// DefaultLoadTimeout is longer than the greatest models take at a gigabyte a second.
	DefaultLoadTimeout = 15 * time.Minute
)

// maxBackoffDoublings bounds how often Config.Backoff doubles: to five minutes and some.
const maxBackoffDoublings = 6

// Config holds times; zero values take the defaults.
type Config struct {
	// ReplaceAfter is how long an engine that disappeared still counts as a holder of
	// its models, unless it was the only one.
	ReplaceAfter time.Duration
	// MaxHeartbeatAge is the greatest age of an engine's last beat with which it counts on
	// to serve.
	MaxHeartbeatAge time.Duration
	// IdleAfter is for how long a model's engines must have been without work for the
	// model to count as not in demand.
	IdleAfter time.Duration
	// SaturatedAfter is for how long a model's engines must have been full before one more
	// engine is loaded than the intent asks for.
	SaturatedAfter time.Duration
	// ReassignCooldown is for how long after a load an engine is not given to another model
	// because of demand.
	ReassignCooldown time.Duration
	// Backoff is the pause after an order that did not reach its engine, and after
	// the first one that the engine took and did not follow; then it doubles.
	Backoff time.Duration
	// LoadTimeout is for how long an engine may load before it no longer counts as one
	// that will hold the model.
	LoadTimeout time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.ReplaceAfter, DefaultReplaceAfter)
	defaults.Set(&c.MaxHeartbeatAge, DefaultMaxHeartbeatAge)
	defaults.Set(&c.IdleAfter, DefaultIdleAfter)
	defaults.Set(&c.SaturatedAfter, DefaultSaturatedAfter)
	defaults.Set(&c.ReassignCooldown, DefaultReassignCooldown)
	defaults.Set(&c.Backoff, DefaultBackoff)
	defaults.Set(&c.LoadTimeout, DefaultLoadTimeout)
	return c
}

// Engine is one live engine as its beats and its own word show it.
type Engine struct {
	Name string
	// Incarnation and HeardAt are those of its last beat.
	Incarnation uint64
	HeardAt     time.Time
	// Serves lists what it announces, as "model" or "model:adapter".
	Serves []string
	// Slots, Running and Waiting are from its beat and load report.
	Slots, Running, Waiting int
	// State is what this incarnation said when it was asked last; nil while it
	// has not answered.
	State *State
	// NoOrders says that it takes no orders at all.
	NoOrders bool
}

// State is what an engine answers to an order or to GET /v1/orders.
type State struct {
	// Fence is the highest fencing number that it has seen.
	Fence uint64 `json:"fence"`
	// Models are loaded, Loading are on their way; both by their names in orders.
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	Role    string   `json:"role"`
}

// Authority says which engines may be given orders now. The zero value gives
// none; then a step only tells whether orders are due.
type Authority struct {
	// FenceChecking is for engines that refuse an old fencing number, FenceIgnoring for
	// those that do not.
	FenceChecking, FenceIgnoring bool
}

func (a Authority) allows(rule *intent.Upstream) bool {
	if a == (Authority{}) {
		return true
	}
	if rule.ChecksFence {
		return a.FenceChecking
	}
	return a.FenceIgnoring
}

// Order is the wanted end of one engine.
type Order struct {
	Engine string
	// Models lists all that it is to hold, sorted.
	Models []string
	Role   string
	// CostMB is what the order's loads were charged to the budget.
	CostMB int
}

// Condition says how an engine stands to what is wanted of it.
type Condition string

// The standings.
const (
	// Converged engines hold what they should.
	Converged Condition = "as wanted"
	// Loading engines have their order and load.
	Loading Condition = "loading"
	// Ordered engines are being sent an order.
	Ordered Condition = "ordered"
	// Due engines are to be sent an order, once the lease allows it.
	Due Condition = "due"
	// Waiting engines are given no orders before those of earlier issuers are over.
	Waiting Condition = "waits for earlier issuers"
	// Unread engines have not said yet what they hold.
	Unread Condition = "unread"
	// NoOrders engines take no orders; they are left as they are.
	NoOrders Condition = "takes no orders"
	// Unreached engines did not get their last order; it is tried again.
	Unreached Condition = "unreached"
	// Diverged orders were taken by the engine, which then said other than what
	// was ordered; they are tried again.
	Diverged Condition = "does not follow"
	// Stuck engines have been loading for longer than Config.Stuck.
	Stuck Condition = "stuck loading"
)

// EngineStatus is the wanted end of one engine.
type EngineStatus struct {
	Name      string
	Wanted    []string
	Held      []string
	Condition Condition
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// ChecksFence says that it refuses an order with an old number.
	ChecksFence bool
}

// ModelStatus says how far a model is from what the intent asks for.
type ModelStatus struct {
	// Name is the name in orders.
	Name string
	// Wanted engines should hold it at least; Holding ones do; Loading ones will;
	// Serving ones announce it, in whatever version.
	Wanted, Holding, Loading, Serving int
	// Note says why it is not as wanted, if it is not.
	Note string
}

// Decision is the result of one step.
type Decision struct {
	// Orders are to be sent now; they count as on their way until Answered,
	// NotSent or the end of the engine.
	Orders []Order
	// Pending says that orders are due and the zero Authority was given.
	Pending bool
	Engines []EngineStatus
	Models  []ModelStatus
}
