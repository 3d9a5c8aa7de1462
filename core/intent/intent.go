// Package intent holds the operators' configuration: which classes of requests
// exist with which service levels, which organisations are served, and which
// upstreams are trusted. It is pure data with validation and comparison; how an
// intent becomes durable and spreads is the business of other packages.
package intent

import "time"

// Document is one whole configuration. Lists are kept sorted by name (see
// Normalize) so that equal documents have equal encodings.
type Document struct {
	Classes       []Class        `json:"classes" codec:"classes"`
	Organisations []Organisation `json:"organisations" codec:"organisations"`
	Upstreams     []Upstream     `json:"upstreams" codec:"upstreams"`
	Models        []Model        `json:"models" codec:"models"`
	Services      []Service      `json:"services" codec:"services"`
	Operators     []Operator     `json:"operators" codec:"operators"`
	Weights       Weights        `json:"weights" codec:"weights"`
}

// Class is one class of requests with its service level and priority.
type Class struct {
	Name string `json:"name" codec:"name"`
	// Tier is the priority; 0 is the most urgent, MaxTier the least.
	Tier int `json:"tier" codec:"tier"`
	// Protected work is never shed or preempted to make room for a lower tier.
	Protected bool `json:"protected" codec:"protected"`
	// FirstToken is the target from arrival to the first token; 0 means none.
	FirstToken time.Duration `json:"first_token" codec:"first_token"`
	// BetweenTokens is the target for the mean gap between tokens; 0 means none.
	BetweenTokens time.Duration `json:"between_tokens" codec:"between_tokens"`
	// Total is the target from arrival to the end of the answer; 0 means none.
	Total time.Duration `json:"total" codec:"total"`
	// Attainment is the share of requests, in (0,1], that must meet the targets.
	Attainment float64 `json:"attainment" codec:"attainment"`
	// Floor is the share of capacity, in [0,1), that the class gets whenever it
	// has work, whatever the tiers above it want. The floors sum to at most 1.
	Floor float64 `json:"floor" codec:"floor"`
	// Deadline is the time from arrival after which an answer is worthless.
	Deadline time.Duration `json:"deadline" codec:"deadline"`
	// MaxTokens bounds the answer of one request.
	MaxTokens int `json:"max_tokens" codec:"max_tokens"`
	// Hedge permits a second attempt beside a slow first one.
	Hedge bool `json:"hedge" codec:"hedge"`
}

// Organisation is one customer that sends requests.
type Organisation struct {
	Name string `json:"name" codec:"name"`
	// KeyHashes are hex SHA-256 digests of the organisation's API keys, each
	// optionally with its last day of use: "digest@2027-01-31".
	KeyHashes []string `json:"key_hashes" codec:"key_hashes"`
	// Classes lists the classes that the organisation may use.
	Classes []string `json:"classes" codec:"classes"`
	// DefaultClass is used when a request names no class.
	DefaultClass string `json:"default_class" codec:"default_class"`
	// Weight is its share within a class relative to other organisations.
	Weight float64 `json:"weight" codec:"weight"`
	// Services lists the plain services that the organisation may call.
	Services []string `json:"services" codec:"services"`
	// ServeWhenCutOff says whether a failure domain whose configuration lease
	// has run out goes on serving model requests of this organisation.
	ServeWhenCutOff bool `json:"serve_when_cut_off" codec:"serve_when_cut_off"`
}

// UpstreamKind tells model engines and plain services apart.
type UpstreamKind string

// The kinds of upstreams.
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
	// Models lists what such an engine may serve; empty means any model.
	Models []string `json:"models" codec:"models"`
	// MaxModels is up to how many models such an engine is ordered to hold side
	// by side; 0 means as many as it holds, at least one.
	MaxModels int `json:"max_models" codec:"max_models"`
	// Role is the role that such an engine is ordered to take; empty leaves the
	// role that it has.
	Role string `json:"role" codec:"role"`
}

// Model is a model that engines should hold.
type Model struct {
	Name    string `json:"name" codec:"name"`
	Version string `json:"version" codec:"version"`
	// Adapters lists adapters that are loaded beside the model.
	Adapters []string `json:"adapters" codec:"adapters"`
	// Replicas is the wanted count of engines per failure domain that hold it;
	// it is a minimum, so that 0 leaves those that hold it as they are.
	Replicas int `json:"replicas" codec:"replicas"`
	// SizeMB is the size of its weights in megabytes, by which a load is charged
	// to the weight store's budget; 0 means DefaultSizeMB.
	SizeMB int `json:"size_mb" codec:"size_mb"`
}

// Weights is the budget of the weight store: what the engines of one failure
// domain may be ordered to load. Each domain keeps to it on its own, so that it
// holds while domains cannot reach each other: share the store's whole rate out.
type Weights struct {
	// RateMB is in megabytes a second; 0 means DefaultRateMB.
	RateMB int `json:"rate_mb" codec:"rate_mb"`
	// Loads is how many loads may be under way; 0 means DefaultLoads.
	Loads int `json:"loads" codec:"loads"`
}

// Defaults of Model.SizeMB and Weights. They are reasoned, not measured: eight
// thousand million parameters of 16 bits, and a store that feeds a network of
// 10 Gbit/s with room to spare for everything else.
const (
	DefaultSizeMB = 16_000
	DefaultRateMB = 1_000
	DefaultLoads  = 4
)

// Service is a plain service to which calls under its prefix are routed.
type Service struct {
	Name string `json:"name" codec:"name"`
	// AtMostOnce makes every call with a method that changes state run at most
	// once per Idempotency-Key.
	AtMostOnce bool `json:"at_most_once" codec:"at_most_once"`
	// RequireKey refuses state-changing calls that carry no Idempotency-Key.
	RequireKey bool `json:"require_key" codec:"require_key"`
	// QueryPath, if set, is where the service tells what became of a key; the
	// text "{key}" in it is replaced by the request ID sent with the call.
	QueryPath string `json:"query_path" codec:"query_path"`
	// Timeout bounds one call.
	Timeout time.Duration `json:"timeout" codec:"timeout"`
	// Retention is how long claims and receipts are kept.
	Retention time.Duration `json:"retention" codec:"retention"`
}

// Operator is a person or program that may state intents.
type Operator struct {
	Name    string `json:"name" codec:"name"`
	KeyHash string `json:"key_hash" codec:"key_hash"`
	// ReadOnly operators may look and plan but not confirm.
	ReadOnly bool `json:"read_only" codec:"read_only"`
}
