// Package plain forwards calls to plain services. A state-changing call of an
// at-most-once service is claimed in the ledger before its first byte is sent;
// see core/claim for the states. Each call ends in one of four ways: an answer
// (done or rejected), NotRun with proof, OutcomeUnknown, or InProgress for a
// resend that arrives while the first call is running.
//
// The caller gets the service's answer even when its receipt can't be written:
// withholding the answer would only make the caller resend. Writing the receipt is
// retried in the background for a bounded time, and Drain waits for it. If the
// instance crashes before the receipt is written, a resend gets OutcomeUnknown, but
// the call never runs twice.
package plain

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Doer makes one attempt at an upstream. It is implemented by *upstream.Client.
type Doer interface {
	Do(ctx context.Context, t upstream.Target, call upstream.Call) (*upstream.Answer, error)
}

// Defaults of Config.
const (
	// DefaultLedgerTimeout bounds one command to the ledger. It allows for a few
	// elections of the control group; in a minority partition, calls fail after it.
	DefaultLedgerTimeout = 2 * time.Second
	// DefaultRetryAfter is the Retry-After hint for a call that was not run or whose
	// outcome is still pending.
	DefaultRetryAfter = 2 * time.Second
	// DefaultWriteLimit is how long writing a receipt is retried.
	DefaultWriteLimit = 5 * time.Minute
	// DefaultMaxWrites bounds the receipts and releases that are pending in the background.
	DefaultMaxWrites = 1024
)

// Config configures a Handler. Ledger, Client, Instance and NewID are required.
type Config struct {
	Ledger   Ledger
	Client   Doer
	Instance string
	// NewID returns a unique ID of at most 128 letters, digits, "-", "_" and ".".
	NewID func() string
	// Locate returns the current target of the named upstream, for queries. If it is
	// nil or returns false, the upstream chosen for the current call is queried.
	Locate func(name string) (upstream.Target, bool)
	// AllowRetry takes one retry from the budget and returns false if the budget is
	// exhausted. Nil disables retries.
	AllowRetry func() bool

	// Now is the clock of the claims' time limits; nil means clock.Now. It must advance while the
	// instance is suspended.
	Now func() time.Time

	LedgerTimeout time.Duration
	RetryAfter    time.Duration
	WriteLimit    time.Duration
	MaxWrites     int
}

// Handler forwards calls to plain services. It is safe for concurrent use.
type Handler struct {
	cfg  Config
	work pendingWork
}

// New returns a Handler. Durations and limits of cfg that are zero or negative are replaced by the
// defaults.
func New(cfg Config) *Handler {
	setDefault(&cfg.LedgerTimeout, DefaultLedgerTimeout)
	setDefault(&cfg.RetryAfter, DefaultRetryAfter)
	setDefault(&cfg.WriteLimit, DefaultWriteLimit)
	setDefault(&cfg.MaxWrites, DefaultMaxWrites)
	if cfg.Now == nil {
		cfg.Now = clock.Now
	}
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

// Drain waits until no at-most-once call is running and no receipt is pending, or until
// ctx ends. The caller has to reject new calls.
func (h *Handler) Drain(ctx context.Context) error { return h.work.wait(ctx) }

// Stop ends the background writes of receipts. Call Drain first.
func (h *Handler) Stop() { h.work.stop() }

// CallRequest is one call to a plain service.
type CallRequest struct {
	Organisation string
	Service      *intent.Service
	// Key is the caller's Idempotency-Key, or empty.
	Key    string
	Method string
	// Path is the request target as sent to the service, including the query string.
	Path    string
	Headers []upstream.Header
	Body    []byte
	// Target is the upstream chosen for the call.
	Target upstream.Target
	// Permit, if set, is asked before each sending of the call. If it fails, the call is not sent any
	// more.
	Permit func() error
}

// CallAnswer is the service's answer.
type CallAnswer struct {
	// Outcome is Done, Rejected, or Unknown for a status that does not show whether
	// the call took effect, such as 500.
	Outcome claim.Outcome
	// Replayed is set if the answer is that of an earlier call with the same key.
	Replayed bool
	// Truncated is set if only the status of the earlier answer was stored.
	Truncated bool
	// RequestID is the ID that was sent to the service. It is also set on failure if an
	// ID was assigned to this call.
	RequestID string
	Answer    upstream.Answer
}

const headerKey = "Idempotency-Key"

// maxKeyLen bounds the idempotency key in bytes, because the ledger stores it.
const maxKeyLen = 256

// Call executes the call. It fails with a typed error: Invalid (the key is missing or too
// long), Conflict (the key was used with different content), InProgress,
// Overloaded (the ledger is full; not run), NotRun, OutcomeUnknown, or the error of Permit (not run).
func (h *Handler) Call(ctx context.Context, r CallRequest) (CallAnswer, error) {
	switch {
	case isSafe(r.Method):
		return h.callWithRetry(ctx, &r)
	case len(r.Key) > maxKeyLen:
		return CallAnswer{}, fault.New(fault.Invalid, "the %s is longer than %d bytes", headerKey, maxKeyLen)
	case r.Key == "" && r.Service.RequireKey:
		return CallAnswer{}, fault.New(fault.Invalid, "service %q requires an %s on every call that changes state", r.Service.Name, headerKey)
	case r.Key == "" || !r.Service.AtMostOnce:
		return h.callOnce(ctx, &r)
	}
	return h.callAtMostOnce(ctx, &r)
}

func isSafe(method string) bool { return method == "GET" || method == "HEAD" }

// callWithRetry executes a safe call (GET or HEAD) and retries it once on a new connection if
// the retry budget allows it. A refused call is not retried.
func (h *Handler) callWithRetry(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	ctx, done := context.WithTimeout(ctx, r.Service.Timeout)
	defer done()
	id := h.cfg.NewID()
	answer, err := h.cfg.Client.Do(ctx, r.Target, r.call(id, false))
	if err != nil && ctx.Err() == nil && mayRetry(err) && h.cfg.AllowRetry() {
		first := err
		id = h.cfg.NewID()
		answer, err = h.cfg.Client.Do(ctx, r.Target, r.call(id, true))
		if err != nil && upstream.EvidenceOf(first) == upstream.Unknown {
			err = first
		}
	}
	if err != nil {
		return CallAnswer{RequestID: id}, h.failure(err)
	}
	return CallAnswer{Outcome: claim.Done, RequestID: id, Answer: *answer}, nil
}

// mayRetry reports whether another attempt may succeed.
func mayRetry(err error) bool {
	return upstream.EvidenceOf(err) != upstream.Refused && !upstream.WithheldIn(err)
}

// callOnce makes a single attempt on a new connection (see freshConnection). It serves calls
// that are not deduplicated: those without a key or of a service that is not at-most-once.
func (h *Handler) callOnce(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	ctx, done := context.WithTimeout(ctx, r.Service.Timeout)
	defer done()
	id := h.cfg.NewID()
	answer, err := h.cfg.Client.Do(ctx, r.Target, r.call(id, freshConnection))
	if err != nil {
		return CallAnswer{RequestID: id}, h.failure(err)
	}
	return CallAnswer{Outcome: classify(answer.Status), RequestID: id, Answer: *answer}, nil
}

// freshConnection makes calls that may not be repeated use a new connection. A middlebox may
// have dropped the state of a pooled connection: the call is then lost in it and its outcome
// stays unknown although nothing ran. A newly opened connection has proved that the path
// works, at the cost of one round trip.
const freshConnection = true

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
	return upstream.Call{RequestID: id, Method: r.Method, Path: r.Path, Headers: headers, Body: r.Body, Fresh: fresh, AllowNoID: true, Permit: r.Permit}
}

// failure maps a failed attempt to NotRun or OutcomeUnknown only, unless its call is no longer
// permitted: an expired deadline does not show whether the call ran.
func (h *Handler) failure(err error) *fault.Error {
	if upstream.WithheldIn(err) {
		return fault.From(err)
	}
	if upstream.EvidenceOf(err) != upstream.Unknown {
		return fault.Wrap(err, fault.NotRun, "the call was not run").WithRetryAfter(h.cfg.RetryAfter)
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "the call may have run")
}

// classify derives the outcome from the status of a complete answer. Only a 4xx is a definite
// rejection: a service that answers 5xx may have failed after the effect, and 408, 425
// and 429 are also sent by proxies in front of the service, which don't know what it did.
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
