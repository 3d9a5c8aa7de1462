package upstream

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Evidence says what is proved about an attempt that failed.
type Evidence string

// The kinds of evidence.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Evidence = "not_sent"
	// Refused means that the upstream itself said, by the documented answer
	// 503 with X-Not-Run under this request's ID, that it did not run it.
	Refused Evidence = "refused"
	// Unknown means that the request may have run. It covers a pooled
	// connection that the far end closed after bytes were written.
	Unknown Evidence = "unknown"
)

// AttemptError is the failure of one attempt at an upstream. It unwraps to a
// *fault.Error: NotRun for NotSent and Refused; OutcomeUnknown, StreamBroken,
// DeadlineExceeded, Canceled, TooLarge or, for a whole 4xx answer, Invalid or
// NotFound when the evidence is Unknown.
type AttemptError struct {
	Evidence Evidence
	// Upstream is the name of the target.
	Upstream string
	// Status and Body are the upstream's answer, when one came whole under the
	// request's ID; Status is 0 otherwise.
	Status int
	Body   []byte
	// Reused says that the attempt ran on a connection that had carried another
	// request before. Something between the two ends may have lost track of it,
	// so that the failure tells little about the upstream.
	Reused bool

	fault *fault.Error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return "upstream " + e.Upstream + ": " + string(e.Evidence) + ": " + e.fault.Error()
}

// Unwrap returns the typed failure.
func (e *AttemptError) Unwrap() error { return e.fault }

// NotRun reports whether it is proved that the request did not run.
func (e *AttemptError) NotRun() bool { return e.Evidence != Unknown }

// EvidenceOf returns the evidence in err's chain; an error that is no
// AttemptError proves nothing and is Unknown.
func EvidenceOf(err error) Evidence {
	var a *AttemptError
	if errors.As(err, &a) {
		return a.Evidence
	}
	return Unknown
}

// ReusedIn reports whether the failed attempt in err's chain ran on a connection
// that had carried another request before.
func ReusedIn(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Reused
}

func notSent(t Target, cause error, detail string) *AttemptError {
	return &AttemptError{Evidence: NotSent, Upstream: t.Name, fault: fault.Wrap(cause, fault.NotRun, "%s", detail)}
}

func unknown(t Target, f *fault.Error) *AttemptError {
	return &AttemptError{Evidence: Unknown, Upstream: t.Name, fault: f}
}

// ioFault turns a failed read or write into a typed failure; code is used
// when neither the context nor a time limit was the reason.
func ioFault(ctx context.Context, err error, code fault.Code, doing string) *fault.Error {
	var f *fault.Error
	var n net.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "%s: the request's time limit ran out", doing)
	case ctx.Err() != nil:
		return fault.Wrap(ctx.Err(), fault.Canceled, "%s: canceled", doing)
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &n) && n.Timeout():
		return fault.Wrap(err, fault.DeadlineExceeded, "%s: the upstream was silent too long", doing)
	}
	return fault.Wrap(err, code, "%s: the connection failed", doing)
}
