// Package admin serves the administration API: plan, confirm, status, explain and
// metrics, among others. Each operator authenticates with their own credential.
package admin

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/trace"
)

// URL paths of the administration API.
const (
	PathPlan     = "/v1/operator/plan"
	PathConfirm  = "/v1/operator/confirm"
	PathIntent   = "/v1/operator/intent"
	PathDrain    = "/v1/operator/drain"
	PathStatus   = "/v1/operator/status"
	PathRequests = "/v1/operator/requests/"
	PathClaims   = "/v1/operator/claims/unknown"
	PathResolve  = "/v1/operator/claims/unknown/resolve"
	PathMembers  = "/v1/operator/members"
	PathRemove   = "/v1/operator/members/remove"
	PathMetrics  = "/metrics"
)

// PlanRequest asks which changes a document would make.
type PlanRequest struct {
	Document *intent.Document `json:"document"`
}

// Plan lists the changes that a document would make to a revision.
type Plan struct {
	// Base is the revision that the plan is based on; a confirm must name it.
	Base    uint64          `json:"base"`
	Changes []intent.Change `json:"changes"`
}

// ConfirmRequest asks to make a document the next revision.
type ConfirmRequest struct {
	// Number is the operator's own number for the intent. A request that repeats a
	// number with the same content receives the first response again.
	Number uint64 `json:"number"`
	// Base is the revision that the plan was based on.
	Base     uint64           `json:"base"`
	Document *intent.Document `json:"document"`
}

// Confirmation describes the accepted revision.
type Confirmation struct {
	Revision uint64    `json:"revision"`
	Number   uint64    `json:"number"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Intent is the document in force at the instance that serves the request.
type Intent struct {
	Revision uint64           `json:"revision"`
	Document *intent.Document `json:"document"`
}

// Status is one instance's view of the system.
type Status struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	// Revision is the configuration revision that this instance applies.
	Revision uint64 `json:"revision"`
	// Leader is the leader of the control group, empty if unknown.
	Leader string `json:"leader"`
	// Members lists the control group as "name role" according to its leader; it is
	// empty on an instance that holds no control state.
	Members []string `json:"members,omitempty"`
	// LeaseValid reports whether the revision is known to be the newest.
	LeaseValid bool `json:"lease_valid"`
	// LeaseUntil is when the lease expired, if it did.
	LeaseUntil *time.Time `json:"lease_until,omitempty"`
	// Scheduler is the instance that runs the scheduler of this failure domain.
	Scheduler string `json:"scheduler"`
	// SchedulesAs is this instance's own role: "scheduler", "follower", or "alone"
	// while the scheduler does not answer.
	SchedulesAs string `json:"schedules_as"`
	// Orders shows which models this failure domain's engines hold and should hold.
	Orders    OrdersStatus     `json:"orders"`
	Draining  bool             `json:"draining"`
	InFlight  int64            `json:"in_flight"`
	Domains   []DomainStatus   `json:"domains"`
	Instances []InstanceStatus `json:"instances"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// DomainStatus summarizes one failure domain.
type DomainStatus struct {
	Name string `json:"name"`
	Live int    `json:"live"`
	// Revision is the oldest one that a live instance there applies; Lag is how many
	// revisions it is behind the newest one known.
	Revision uint64 `json:"revision"`
	Lag      uint64 `json:"lag"`
	// SilentSince is set while nothing is received from the domain.
	SilentSince *time.Time `json:"silent_since,omitempty"`
}

// InstanceStatus describes one instance of this failure domain or control group.
type InstanceStatus struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
}

// UpstreamStatus describes one upstream of this failure domain.
type UpstreamStatus struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	State    string   `json:"state"`
	Address  string   `json:"address"`
	Models   []string `json:"models"`
	Slots    int      `json:"slots"`
	InFlight int      `json:"in_flight"`
	AgeMS    int64    `json:"age_ms"`
}

// OrdersStatus lists the models that this failure domain's engines are ordered to
// hold, as reported by the instance that issues the orders. While that instance
// does not answer, its name may be all that is known.
type OrdersStatus struct {
	// Issuer is the instance that issues orders to the engines.
	Issuer string `json:"issuer"`
	// Fence is the fencing number of the issuer's lease, 0 while there is nothing to
	// order.
	Fence uint64 `json:"fence,omitempty"`
	// LeaseUntil is the end of that lease. SettledAt is when engines that ignore the
	// fencing number may receive orders; it is set only while it is in the future.
	LeaseUntil *time.Time     `json:"lease_until,omitempty"`
	SettledAt  *time.Time     `json:"settled_at,omitempty"`
	Models     []ModelStatus  `json:"models,omitempty"`
	Engines    []EngineOrders `json:"engines,omitempty"`
}

// ModelStatus compares a model's placement with the intent.
type ModelStatus struct {
	// Name is "model@version".
	Name string `json:"name"`
	// Wanted is the minimum number of engines that should hold the model. Holding
	// engines do, Loading ones are about to, and Serving ones announce it in any
	// version.
	Wanted  int `json:"wanted"`
	Holding int `json:"holding"`
	Loading int `json:"loading"`
	Serving int `json:"serving"`
	// Note explains why the placement differs from the intent.
	Note string `json:"note,omitempty"`
}

// EngineOrders shows the models that one engine should hold and does hold.
type EngineOrders struct {
	Name string `json:"name"`
	// Condition is the state of the engine, such as "as wanted", "loading" or
	// "ordered".
	Condition string   `json:"standing"`
	Wanted    []string `json:"wanted"`
	Held      []string `json:"held"`
	// Fence is the highest fencing number that the engine has seen. Checks reports
	// whether the engine refuses orders with a lower number.
	Fence       uint64 `json:"fence"`
	ChecksFence bool   `json:"checks"`
}

// Explanation is the trace of one request.
type Explanation = trace.Record
