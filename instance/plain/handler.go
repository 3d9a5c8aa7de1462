// Package plain carries calls to plain services. A state-changing call of an
// at-most-once service is claimed in the ledger before its first byte leaves;
// see core/claim for the states. Each call ends in one of four ways: an answer
// (done or rejected), NotRun with proof, OutcomeUnknown, or InProgress for a
// resend that came while the first call runs.
//
// The answer is true as soon as the service gave it, so the caller gets it even
// when its receipt can't be written: withholding it would only make the caller
// resend. The receipt goes on being written in the background, for a bounded
// time, and Drain waits for it. If the instance dies before, a resend is told
// OutcomeUnknown: less than is known, but never a second run.
package plain

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Doer makes one attempt at an upstream; *upstream.Client is one.
type Doer interface {
	Do(ctx context.Context, t upstream.Target, call upstream.Call) (*upstream.Answer, error)
}

// Defaults of Config.
const (
	// DefaultLedgerTimeout bounds one command to the ledger. It is a few
	// elections of the control group long; a side that is cut off says so after it.
	DefaultLedgerTimeout = 2 * time.Second
	// DefaultRetryAfter is the hint with a call that was not run.
	DefaultRetryAfter = 2 * time.Second
	// DefaultWriteLimit is how long a receipt is tried to be written.
	DefaultWriteLimit = 5 * time.Minute
	// DefaultMaxWrites bounds the receipts that wait to be written.
	DefaultMaxWrites = 1024
)

// Config wires a Handler. Ledger, Client, Instance and NewID are needed.
type Config struct {
	Ledger   Ledger
	Client   Doer
	Instance string
	// NewID returns a unique ID of at most 128 letters, digits, "-", "_" and ".".
	NewID func() string
	// Locate returns where the named upstream is now, for queries. Nil or false
	// means that the upstream chosen for the call at hand is asked.
	Locate func(name string) (upstream.Target, bool)
	// AllowRetry takes one retry from the budget, or reports that it is spent.
	// Nil means that nothing is retried.
	AllowRetry func() bool

	LedgerTimeout time.Duration
	RetryAfter    time.Duration
	WriteLimit    time.Duration
	MaxWrites     int
}

// Handler carries calls. It is safe for concurrent use.
type Handler struct {
	cfg  Config
	work work
}

// New returns a Handler.
func New(cfg Config) *Handler {
	setDefault(&cfg.LedgerTimeout, DefaultLedgerTimeout)
	setDefault(&cfg.RetryAfter, DefaultRetryAfter)
	setDefault(&cfg.WriteLimit, DefaultWriteLimit)
	setDefault(&cfg.MaxWrites, DefaultMaxWrites)
	if cfg.Locate == nil {
		cfg.Locate = func(string) (upstream.Target, bool) { return upstream.Target{}, false }
	}
	if cfg.AllowRetry == nil {
		cfg.AllowRetry = func() bool { return false }
	}
	return &Handler{cfg: cfg, work: newWork()}
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// Drain waits until no call runs and no receipt waits to be written, or ctx
// ends. New calls are the caller's to refuse.
func (h *Handler) Drain(ctx context.Context) error { return h.work.wait(ctx) }

// Stop ends background writing. Call Drain before.
func (h *Handler) Stop() { h.work.stop() }

// CallRequest is one call to a plain service.
type CallRequest struct {
	Organisation string
	Service      *intent.Service
	// Key is the caller's Idempotency-Key, or empty.
	Key    string
	Method string
	// Path is what the service sees, with its query.
	Path    string
	Headers []upstream.Header
	Body    []byte
	// Target is the upstream chosen for the call.
	Target upstream.Target
}

// CallAnswer is the service's answer.
type CallAnswer struct {
	// Outcome is Done, Rejected, or Unknown for an answer that doesn't say
	// whether the call took effect, such as 500.
	Outcome claim.Outcome
	// Replayed says that the answer is that of an earlier call with the key.
	Replayed bool
	// Truncated says that of the earlier answer only the status was kept.
	Truncated bool
	// RequestID is the ID under which the service knows the call. It is set
	// beside a failure as well once this call had one.
	RequestID string
	Answer    upstream.Answer
}

const headerKey = "Idempotency-Key"

// maxKeyLen bounds a caller's key, in bytes; the ledger keeps it.
const maxKeyLen = 256

// Call makes the call. It fails with a typed failure: Invalid (no key where one
// is needed), Conflict (the key was used with other content), InProgress,
// Overloaded (the ledger is full; not run), NotRun or OutcomeUnknown.
func (h *Handler) Call(ctx context.Context, r CallRequest) (CallAnswer, error) {
	switch {
	case safe(r.Method):
		return h.read(ctx, &r)
	case len(r.Key) > maxKeyLen:
		return CallAnswer{}, fault.New(fault.Invalid, "the %s is longer than %d bytes", headerKey, maxKeyLen)
	case r.Key == "" && r.Service.RequireKey:
		return CallAnswer{}, fault.New(fault.Invalid, "service %q needs an %s on every call that changes state", r.Service.Name, headerKey)
	case r.Key == "" || !r.Service.AtMostOnce:
		return h.once(ctx, &r)
	}
	return h.claimed(ctx, &r)
}

func safe(method string) bool { return method == "GET" || method == "HEAD" }

// read retries a call without effect once, on a fresh connection, if the budget
// allows it.
func (h *Handler) read(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	ctx, done := context.WithTimeout(ctx, r.Service.Timeout)
	defer done()
	id := h.cfg.NewID()
	answer, err := h.cfg.Client.Do(ctx, r.Target, r.call(id, false))
	if err != nil && upstream.EvidenceOf(err) != upstream.Refused && ctx.Err() == nil && h.cfg.AllowRetry() {
		id = h.cfg.NewID()
		answer, err = h.cfg.Client.Do(ctx, r.Target, r.call(id, true))
	}
	if err != nil {
		return CallAnswer{RequestID: id}, h.failure(err)
	}
	return CallAnswer{Outcome: claim.Done, RequestID: id, Answer: *answer}, nil
}

// once sends a call that nothing identifies as equal to another: one attempt, on a
// fresh connection; see freshly.
func (h *Handler) once(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	ctx, done := context.WithTimeout(ctx, r.Service.Timeout)
	defer done()
	id := h.cfg.NewID()
	answer, err := h.cfg.Client.Do(ctx, r.Target, r.call(id, freshly))
	if err != nil {
		return CallAnswer{RequestID: id}, h.failure(err)
	}
	return CallAnswer{Outcome: classify(answer.Status), RequestID: id, Answer: *answer}, nil
}

// freshly is how calls go out that may not be repeated. Something between the two
// ends may have lost track of a pooled connection: the call vanishes in it, and
// its outcome stays unknown for good though nothing ran. A connection that was
// opened just now has shown that the way works; one round trip is its price.
const freshly = true

func (r *CallRequest) call(id string, fresh bool) upstream.Call {
	headers := make([]upstream.Header, 0, len(r.Headers)+1)
	for _, f := range r.Headers {
		if !strings.EqualFold(f.Name, headerKey) {
			headers = append(headers, f)
		}
	}
	if r.Key != "" {
		headers = append(headers, upstream.Header{Name: headerKey, Value: r.Key})
	}
	return upstream.Call{RequestID: id, Method: r.Method, Path: r.Path, Headers: headers, Body: r.Body, Fresh: fresh, AllowNoID: true}
}

// failure tells a failed attempt as NotRun or OutcomeUnknown, and nothing else:
// a time limit that ran out says nothing about whether the call ran.
func (h *Handler) failure(err error) *fault.Error {
	if upstream.EvidenceOf(err) != upstream.Unknown {
		return fault.Wrap(err, fault.NotRun, "the call was not run").WithRetryAfter(h.cfg.RetryAfter)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "the call may have run")
}

// classify reads a whole answer. Only a 4xx is a definite rejection; a service
// that answers 5xx may have failed after the effect, and 408, 425 and 429 come
// from parts in front of it as well, which don't know what it did.
func classify(status int) claim.Outcome {
	switch {
	case status >= 200 && status < 400:
		return claim.Done
	case status == 408, status == 425, status == 429:
		return claim.Unknown
	case status >= 400 && status < 500:
		return claim.Rejected
	}
	return claim.Unknown
}
