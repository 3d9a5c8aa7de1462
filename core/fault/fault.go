// Package fault defines the error type that all parts of comfreyladder return. An
// error has a code for programs, a detail for people and, where it helps, the time
// after which a retry may succeed.
package fault

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Code identifies a kind of error. Codes are part of the public API: they are sent to
// callers in error bodies and must not be renamed.
type Code string

// Codes that more than one package uses.
const (
	// Invalid means that the input is invalid, so a retry cannot succeed.
	Invalid Code = "invalid_request"
	// Unauthenticated means that a credential is missing, wrong or expired.
	Unauthenticated Code = "unauthenticated"
	// Forbidden means that the credential is valid but lacks the permission.
	Forbidden Code = "forbidden"
	// NotFound means that the named resource does not exist.
	NotFound Code = "not_found"
	// Conflict means that the request conflicts with one that was accepted before.
	Conflict Code = "conflict"
	// KeyReused means that an idempotency key was used before with different content.
	KeyReused Code = "idempotency_key_reused"
	// TooLarge means that a size limit was exceeded.
	TooLarge Code = "too_large"
	// Overloaded means that the request was refused before it ran.
	Overloaded Code = "overloaded"
	// Draining means that the instance is shutting down. Nothing was run.
	Draining Code = "draining"
	// NotRun means that the request was certainly not run.
	NotRun Code = "not_run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Code = "outcome_unknown"
	// InProgress means that an identical request is still running.
	InProgress Code = "in_progress"
	// DeadlineExceeded means that the request's deadline has passed.
	DeadlineExceeded Code = "deadline_exceeded"
	// Canceled means that the caller canceled the request.
	Canceled Code = "canceled"
	// StreamBroken means that a stream ended before its end marker.
	StreamBroken Code = "stream_broken"
	// Unavailable means that a required component cannot be reached at present.
	Unavailable Code = "unavailable"
	// Corrupt means that stored or received data failed validation.
	Corrupt Code = "corrupt"
	// Internal means a bug in comfreyladder itself.
	Internal Code = "internal"
)

// Error is an error with a code. The zero value is not valid; use New or Wrap.
type Error struct {
	Code Code
	// Detail describes the error and, if possible, how to correct it.
	Detail string
	// RetryAfter is how long a client should wait before a retry, or zero if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error with a formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a formatted detail and a cause. The cause records the stack
// of the call.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Cause: errors.WithStack(cause)}
}

// WithRetryAfter returns a copy of e with the given retry delay.
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

// Is reports whether target is an Error with the same code, so that
// errors.Is(err, fault.New(fault.NotRun, "")) compares only the code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}

// CodeOf returns the code of the outermost Error in err's chain, or Internal if there
// is none. CodeOf(nil) returns the empty code.
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

// From returns the outermost Error in err's chain. If there is none, it wraps err with
// the code Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unexpected error")
}
