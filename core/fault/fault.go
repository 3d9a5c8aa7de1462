// Package fault defines the typed failure that every part of comfreyladder
// returns. A failure carries a code (what happened, for programs), a detail
// (for people) and, where it helps, the time after which a retry may succeed.
package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Code names one kind of failure. Codes are part of the public API: they are
// sent to callers in error bodies and must not be renamed.
type Code string

// Codes shared by more than one package.
const (
	// Invalid means that the input itself is wrong; a retry cannot help.
	Invalid Code = "invalid_request"
	// Unauthenticated means that a credential is missing, wrong or expired.
	Unauthenticated Code = "unauthenticated"
	// Forbidden means that the credential is known but not allowed to do this.
	Forbidden Code = "forbidden"
	// NotFound means that the named thing does not exist.
	NotFound Code = "not_found"
	// Conflict means that the request contradicts what was accepted before.
	Conflict Code = "conflict"
	// KeyReused means that an idempotency key was used before with other content.
	KeyReused Code = "idempotency_key_reused"
	// TooLarge means that a stated size limit was exceeded.
	TooLarge Code = "too_large"
	// Overloaded means that the request was refused before it ran.
	Overloaded Code = "overloaded"
	// Draining means that the instance is shutting down; nothing was run.
	Draining Code = "draining"
	// NotRun means that it is proved that the request was not run.
	NotRun Code = "not_run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Code = "outcome_unknown"
	// InProgress means that an equal request is still running.
	InProgress Code = "in_progress"
	// DeadlineExceeded means that the request's time limit ran out.
	DeadlineExceeded Code = "deadline_exceeded"
	// Canceled means that the caller gave up.
	Canceled Code = "canceled"
	// StreamBroken means that a stream ended before its end marker.
	StreamBroken Code = "stream_broken"
	// Unavailable means that a needed part cannot be reached now.
	Unavailable Code = "unavailable"
	// Corrupt means that stored or received data failed its checks.
	Corrupt Code = "corrupt"
	// Internal means a defect in comfreyladder itself.
	Internal Code = "internal"
)

// Error is the typed failure. The zero value is not valid; use New or Wrap.
type Error struct {
	Code Code
	// Detail says what is wrong and, if possible, what to do about it.
	Detail string
	// RetryAfter is how long a client should wait before it tries again;
	// zero means that nothing is known about it.
	RetryAfter time.Duration
	// Cause is the underlying failure, or nil.
	Cause error
}

// New returns a failure with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns a failure with a formatted detail and a cause, which keeps the
// stack of the place where it was wrapped.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Cause: errors.WithStack(cause)}
}

// WithRetryAfter returns a copy of e with the given retry hint.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Code) + ": " + e.Detail
	}
	return string(e.Code) + ": " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is a failure with the same code, so that
// errors.Is(err, fault.New(fault.NotRun, "")) asks for the code alone.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// CodeOf returns the code of the outermost typed failure in err's chain, or
// Internal when there is none. CodeOf(nil) is the empty code.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// From returns err as a typed failure, wrapping it as Internal if it is none.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected failure")
}
