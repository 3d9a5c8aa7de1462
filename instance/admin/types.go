// Package admin serves the administration API: plan, confirm, status, explain
// and metrics. Operators reach it with a credential of their own.
package admin

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/trace"
)

// The paths of the administration API.
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

// PlanRequest asks what a document would change.
type PlanRequest struct {
	Document *intent.Document `json:"document"`
}

// Plan says what a document would change, seen from one revision.
type Plan struct {
	// Base is the revision that the plan was made from; a confirm must name it.
	Base    uint64          `json:"base"`
	Changes []intent.Change `json:"changes"`
}

// ConfirmRequest asks for a document to become the next revision.
type ConfirmRequest struct {
	// Number is the operator's own number of the intent. Resending the same
	// number with the same content gets the first answer again.
	Number uint64 `json:"number"`
	// Base is the revision that the plan was made from.
	Base     uint64           `json:"base"`
	Document *intent.Document `json:"document"`
}

// Confirmation says what was accepted.
type Confirmation struct {
	Revision uint64    `json:"revision"`
	Number   uint64    `json:"number"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Intent is the document in force at the instance that was asked.
type Intent struct {
	Revision uint64           `json:"revision"`
	Document *intent.Document `json:"document"`
}

// Status is what one instance knows about the system.
type Status struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	// Revision is what this instance acts on.
	Revision uint64 `json:"revision"`
	// Leader is the instance that leads the control group, empty if unknown.
	Leader string `json:"leader"`
	// Members lists the control group as "name role", as its leader knows it;
	// empty on an instance that holds no control state.
	Members []string `json:"members,omitempty"`
	// LeaseValid says whether the revision is known to be the newest.
	LeaseValid bool `json:"lease_valid"`
	// LeaseUntil is when the lease ran out, if it did.
	LeaseUntil *time.Time `json:"lease_until,omitempty"`
	// Scheduler is the instance that schedules for this failure domain.
	Scheduler string `json:"scheduler"`
	// SchedulesAs is this instance's own role: "scheduler", "follower", or "alone"
	// while the scheduler does not answer.
	SchedulesAs string `json:"schedules_as"`
	// Orders tells how this failure domain's engines stand to the intent.
	Orders    OrdersStatus     `json:"orders"`
	Draining  bool             `json:"draining"`
	InFlight  int64            `json:"in_flight"`
	Domains   []DomainStatus   `json:"domains"`
	Instances []InstanceStatus `json:"instances"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// DomainStatus is the digest of one failure domain.
type DomainStatus struct {
	Name string `json:"name"`
	Live int    `json:"live"`
	// Revision is the oldest that a live instance there acts on; Lag is how
	// many revisions that is behind.
	Revision uint64 `json:"revision"`
	Lag      uint64 `json:"lag"`
	// SilentSince is set while nothing is heard from the domain.
	SilentSince *time.Time `json:"silent_since,omitempty"`
}

// InstanceStatus is one instance of this failure domain or control group.
type InstanceStatus struct {
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
}

// UpstreamStatus is one upstream of this failure domain.
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

// OrdersStatus is what the engines of this failure domain are ordered to hold, by
// the word of the instance that orders them; its name alone while that is silent.
type OrdersStatus struct {
	// Issuer is the instance that orders the engines.
	Issuer string `json:"issuer"`
	// Fence is the fencing number of its lease, 0 while there is nothing to order.
	Fence uint64 `json:"fence,omitempty"`
	// LeaseUntil is the end of that lease; SettledAt is when engines that ignore
	// the number may be ordered, set while that is still to come.
	LeaseUntil *time.Time     `json:"lease_until,omitempty"`
	SettledAt  *time.Time     `json:"settled_at,omitempty"`
	Models     []ModelStatus  `json:"models,omitempty"`
	Engines    []EngineOrders `json:"engines,omitempty"`
}

// ModelStatus says how far a model is from what the intent asks for.
type ModelStatus struct {
	// Name is "model@version".
	Name string `json:"name"`
	// Wanted engines should hold it at least; Holding ones do, Loading ones will;
	// Serving ones serve it in whatever version.
	Wanted  int `json:"wanted"`
	Holding int `json:"holding"`
	Loading int `json:"loading"`
	Serving int `json:"serving"`
	// Note says why it is not as wanted.
	Note string `json:"note,omitempty"`
}

// EngineOrders is the wanted end of one engine.
type EngineOrders struct {
	Name string `json:"name"`
	// Standing is such as "as wanted", "loading" or "ordered".
	Standing string   `json:"standing"`
	Wanted   []string `json:"wanted"`
	Held     []string `json:"held"`
	// Fence is the highest fencing number that the engine has seen; Checks says
	// that it refuses an order with a lower one.
	Fence  uint64 `json:"fence"`
	Checks bool   `json:"checks"`
}

// Explanation tells what became of one request.
type Explanation = trace.Record
