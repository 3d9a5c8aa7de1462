// Package intent defines the operators' configuration: the classes of requests with their
// service levels, the organisations that are served, and the upstreams that are trusted.
// It contains data types, validation and comparison only; storing and distributing an
// intent is left to other packages.
package intent

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/warmup"
)

// Document is one complete configuration. Lists are kept sorted by name (see Normalize),
// so that equal documents have equal encodings.
type Document struct {
	Classes       []Class        `json:"classes" codec:"classes"`
	Organisations []Organisation `json:"organisations" codec:"organisations"`
	Upstreams     []Upstream     `json:"upstreams" codec:"upstreams"`
	Models        []Model        `json:"models" codec:"models"`
	Services      []Service      `json:"services" codec:"services"`
	Operators     []Operator     `json:"operators" codec:"operators"`
	Weights       Weights        `json:"weights" codec:"weights"`
}

// Class is a class of requests with its service level and priority.
type Class struct {
	Name string `json:"name" codec:"name"`
	// Tier is the priority: 0 is the most urgent, MaxTier the least.
	Tier int `json:"tier" codec:"tier"`
	// Protected work is never shed or preempted to make room for a lower tier.
	Protected bool `json:"protected" codec:"protected"`
	// FirstToken is the target time from arrival to the first token; 0 means no target.
	FirstToken time.Duration `json:"first_token" codec:"first_token"`
	// BetweenTokens is the target mean interval between tokens; 0 means no target.
	BetweenTokens time.Duration `json:"between_tokens" codec:"between_tokens"`
	// Total is the target time from arrival to the end of the response; 0 means no
	// target.
	Total time.Duration `json:"total" codec:"total"`
	// Attainment is the share of requests, in (0,1], that must meet the targets.
	Attainment float64 `json:"attainment" codec:"attainment"`
	// Floor is the share of capacity, in [0,1), that the class gets whenever it has work,
	// regardless of the demand of higher tiers. The floors sum to at most 1.
	Floor float64 `json:"floor" codec:"floor"`
	// Deadline is the time from arrival after which a response has no value.
	Deadline time.Duration `json:"deadline" codec:"deadline"`
	// MaxTokens limits the response to one request.
	MaxTokens int `json:"max_tokens" codec:"max_tokens"`
	// Hedge allows a second attempt to be started while a slow first one is running.
	Hedge bool `json:"hedge" codec:"hedge"`
}

// Organisation is a client of the system, with its API keys, its classes of requests and
// its share of the capacity.
type Organisation struct {
	Name string `json:"name" codec:"name"`
	// KeyHashes are hex SHA-256 digests of the organisation's API keys. Each may be
	// followed by the last day on which it is valid: "digest@2027-01-31".
	KeyHashes []string `json:"key_hashes" codec:"key_hashes"`
	// Classes lists the classes that the organisation may use.
	Classes []string `json:"classes" codec:"classes"`
	// DefaultClass is used if a request names no class.
	DefaultClass string `json:"default_class" codec:"default_class"`
	// Weight is the organisation's share within a class relative to other organisations.
	Weight float64 `json:"weight" codec:"weight"`
	// Services lists the plain services that the organisation may call.
	Services []string `json:"services" codec:"services"`
	// ServeWhenCutOff says whether a failure domain whose configuration lease has expired
	// keeps serving model requests of this organisation.
	ServeWhenCutOff bool `json:"serve_when_cut_off" codec:"serve_when_cut_off"`
}

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Values of UpstreamKind.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)

// Upstream is a trust rule for upstreams that announce themselves.
type Upstream struct {
	// Name is the name of one upstream, or a prefix followed by "*".
	Name string       `json:"name" codec:"name"`
	Kind UpstreamKind `json:"kind" codec:"kind"`
	// KeyHash is the hex SHA-256 digest of the credential for announcements.
	KeyHash string `json:"key_hash" codec:"key_hash"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence" codec:"checks_fence"`
	// Models lists the models that the engine may serve; empty means any model.
	Models []string `json:"models" codec:"models"`
	// MaxModels is the number of models that the engine may be ordered to hold at the
	// same time; 0 means as many as it holds now, but at least one.
	MaxModels int `json:"max_models" codec:"max_models"`
	// Role is the role that the engine is ordered to take; if it is empty, the engine
	// keeps its role.
	Role string `json:"role" codec:"role"`
	// WarmUp is how long an engine counts as cold after it has started, unless it states that itself.
	// While it is cold, it receives from all instances together at most WarmUpPerSecond x WarmUpOverrun
	// + WarmUpSlack requests in any one second. WarmUpPerSecond 0 means no limit, WarmUpOverrun 0 means
	// 1. Documents without these fields are encoded as before the fields existed.
	WarmUp          time.Duration `json:"warmup" codec:"warmup,omitempty"`
	WarmUpPerSecond float64       `json:"warmup_per_s" codec:"warmup_per_s,omitempty"`
	WarmUpOverrun   float64       `json:"warmup_overrun" codec:"warmup_overrun,omitempty"`
	WarmUpSlack     float64       `json:"warmup_slack" codec:"warmup_slack,omitempty"`
}

// WarmUpBound returns the bound of the requests to a cold engine of the rule, and false if there is none.
func (u *Upstream) WarmUpBound() (warmup.Bound, bool) {
	if u.Kind != KindEngine || u.WarmUpPerSecond <= 0 {
		return warmup.Bound{}, false
	}
	overrun := u.WarmUpOverrun
	if overrun == 0 {
		overrun = 1
	}
	return warmup.Bound{PerSecond: u.WarmUpPerSecond, Overrun: overrun, Slack: u.WarmUpSlack}, true
}

// Model is a model that engines should hold.
type Model struct {
	Name    string `json:"name" codec:"name"`
	Version string `json:"version" codec:"version"`
	// Adapters lists the adapters that are loaded with the model.
	Adapters []string `json:"adapters" codec:"adapters"`
	// Replicas is the minimum number of engines per failure domain that should hold the
	// model. With 0, engines that hold it keep it.
	Replicas int `json:"replicas" codec:"replicas"`
	// SizeMB is the size of the weights in megabytes, which a load is charged to the
	// budget of the weight store; 0 means DefaultSizeMB.
	SizeMB int `json:"size_mb" codec:"size_mb"`
}

// Weights is the budget of the weight store: how much the engines of one failure domain
// may be ordered to load. Each failure domain enforces its budget alone, so that it holds
// during network partitions; the store's total rate must therefore be divided among the
// domains.
type Weights struct {
	// RateMB is in megabytes per second; 0 means DefaultRateMB.
	RateMB int `json:"rate_mb" codec:"rate_mb"`
	// MaxConcurrentLoads is the maximum number of concurrent loads; 0 means
	// DefaultMaxConcurrentLoads.
	MaxConcurrentLoads int `json:"loads" codec:"loads"`
}

// Defaults of Model.SizeMB and Weights: a model of 8 billion parameters of 16 bits, and a
// weight store on a 10 Gbit/s network that leaves bandwidth for other traffic.
const (
	DefaultSizeMB             = 16_000
	DefaultRateMB             = 1_000
	DefaultMaxConcurrentLoads = 4
)

// Service is a plain service to which calls under its prefix are routed.
type Service struct {
	Name string `json:"name" codec:"name"`
	// AtMostOnce makes each call with a state-changing method run at most once per
	// Idempotency-Key.
	AtMostOnce bool `json:"at_most_once" codec:"at_most_once"`
	// RequireKey refuses state-changing calls without an Idempotency-Key.
	RequireKey bool `json:"require_key" codec:"require_key"`
	// QueryPath, if set, is the path at which the service reports the outcome of a key;
	// "{key}" in it is replaced by the request ID that was sent with the call.
	QueryPath string `json:"query_path" codec:"query_path"`
	// Timeout limits one call.
	Timeout time.Duration `json:"timeout" codec:"timeout"`
	// Retention is how long claims and receipts are kept.
	Retention time.Duration `json:"retention" codec:"retention"`
}

// Operator is a person or program that may change the intent.
type Operator struct {
	Name    string `json:"name" codec:"name"`
	KeyHash string `json:"key_hash" codec:"key_hash"`
	// ReadOnly operators may view and plan, but not confirm.
	ReadOnly bool `json:"read_only" codec:"read_only"`
}
