// Package order decides which models the engines of one failure domain are ordered to
// hold. It compares the operators' intent with what the engines report and returns the
// orders to send now. It does no I/O and reads no clock: the time and the engines'
// reports are arguments.
//
// An order states the complete target state of one engine, not a step towards it, so it
// may be repeated, and a lost or late order is corrected by the next one. Three rules
// limit the orders: loads stay within the budget of the weight store, so that engines
// never load all at once; the last engine that serves a model keeps serving until a
// replacement serves it; and models that an engine already holds are not moved without
// need. The last two rules have a limitation: if every engine is full and in demand,
// models that would have to change places stay where they are, and the status reports
// this, until an engine is added or becomes idle.
package order

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/defaults"
	"github.com/comfreyladder/comfreyladder/core/intent"
)

// Default values of Config.
const (
	// DefaultReplaceAfter covers a lost heartbeat and a quick restart of an engine, and
	// is short compared with the time that a replacement takes to load.
	DefaultReplaceAfter = 15 * time.Second
	// DefaultMaxHeartbeatAge is slightly more than two heartbeats: an engine that has
	// been silent for longer may be gone although it still counts as alive.
	DefaultMaxHeartbeatAge = 2500 * time.Millisecond
	// DefaultIdleAfter is longer than the delay of load reports.
	DefaultIdleAfter = 10 * time.Second
	// DefaultSaturatedAfter is longer than most bursts: loading a model takes longer than
	// waiting for such a burst to end.
	DefaultSaturatedAfter = 20 * time.Second
	// DefaultReassignCooldown keeps engines from being reassigned with each change of
	// demand.
	DefaultReassignCooldown = 5 * time.Minute
	// DefaultBackoff is the delay before the next order to an engine that the last one did
	// not reach.
	DefaultBackoff = 5 * time.Second
	// DefaultLoadTimeout is longer than the largest models take to load at a gigabyte a
	// second.
	DefaultLoadTimeout = 15 * time.Minute
)

// maxBackoffDoublings bounds how often Config.Backoff doubles: with the default, to 320
// seconds.
const maxBackoffDoublings = 6

// Config holds the timing parameters. Values of zero or below take the defaults.
type Config struct {
	// ReplaceAfter is how long an engine that disappeared still counts as a holder of its
	// models, unless no other engine serves them.
	ReplaceAfter time.Duration
	// MaxHeartbeatAge is the age of an engine's last heartbeat up to which the engine
	// counts as serving.
	MaxHeartbeatAge time.Duration
	// IdleAfter is how long the engines of a model must have been without work before the
	// model counts as not in demand.
	IdleAfter time.Duration
	// SaturatedAfter is how long the engines of a model must have been full before one
	// more engine than the intent asks for loads it.
	SaturatedAfter time.Duration
	// ReassignCooldown is how long after a load an engine is not given to another model
	// because of demand.
	ReassignCooldown time.Duration
	// Backoff is the delay after an order that did not reach its engine, and after the
	// first one that the engine accepted and did not follow; it doubles with each further
	// one.
	Backoff time.Duration
	// LoadTimeout is how long an engine may load before it no longer counts as a holder
	// of the model.
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

// Engine is the observed state of one live engine.
type Engine struct {
	Name string
	// Incarnation and HeardAt are those of its last heartbeat.
	Incarnation uint64
	HeardAt     time.Time
	// Serves lists what the engine announces, as "model" or "model:adapter".
	Serves []string
	// Slots, Running and Waiting come from its heartbeat and load report.
	Slots, Running, Waiting int
	// State is the last answer of this incarnation; nil if it has not answered yet.
	State *State
	// NoOrders says that the engine does not support orders.
	NoOrders bool
}

// State is an engine's answer to an order or to GET /v1/orders.
type State struct {
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
	// Models lists what is loaded, Loading what is being loaded, both by their names in
	// orders.
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	Role    string   `json:"role"`
}

// Authority says which engines may be given orders now. The zero value covers none; a
// step then only reports whether orders are due.
type Authority struct {
	// FenceChecking covers engines that refuse an old fencing number, FenceIgnoring those
	// that do not.
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

// Order is the target state of one engine.
type Order struct {
	Engine string
	// Models lists everything that the engine is to hold, sorted.
	Models []string
	Role   string
	// CostMB is what the loads of the order were charged to the budget.
	CostMB int
}

// Condition says how the state of an engine relates to what it is wanted to hold.
type Condition string

// Values of Condition.
const (
	// Converged engines hold what they should.
	Converged Condition = "as wanted"
	// Loading engines have received their order and are loading.
	Loading Condition = "loading"
	// Ordered engines are being sent an order.
	Ordered Condition = "ordered"
	// Due engines get an order as soon as the lease allows it.
	Due Condition = "due"
	// Waiting engines get no orders until those of earlier issuers can no longer take
	// effect.
	Waiting Condition = "waits for earlier issuers"
	// Unread engines have not reported what they hold yet.
	Unread Condition = "unread"
	// NoOrders engines do not support orders and are left as they are.
	NoOrders Condition = "takes no orders"
	// Unreached engines did not get their last order, which is retried.
	Unreached Condition = "unreached"
	// Diverged engines accepted an order and then reported another state; the order is
	// retried.
	Diverged Condition = "does not follow"
	// Stuck engines have been loading for longer than Config.LoadTimeout.
	Stuck Condition = "stuck loading"
)

// EngineStatus is the target and the reported state of one engine.
type EngineStatus struct {
	Name      string
	Wanted    []string
	Held      []string
	Condition Condition
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// ModelStatus compares a model with what the intent asks for.
type ModelStatus struct {
	// Name is the model's name in orders.
	Name string
	// Wanted is the minimum number of engines that should hold the model. Holding engines
	// do, Loading ones are about to, and Serving ones announce it in any version.
	Wanted, Holding, Loading, Serving int
	// Note says why the model is not as wanted; it is empty otherwise.
	Note string
}

// Decision is the result of one step.
type Decision struct {
	// Orders are to be sent now. Each stays in flight until Answered or NotSent is called
	// for its engine or the engine ends.
	Orders []Order
	// Pending says that orders are due but no authority was given.
	Pending bool
	Engines []EngineStatus
	Models  []ModelStatus
}
