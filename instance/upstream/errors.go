package upstream

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Evidence states what is proved about a failed attempt.
type Evidence string

// Values of Evidence.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Evidence = "not_sent"
	// Refused means that the upstream reported, by the documented answer 503 with X-Not-Run
	// and this request's ID, that it did not run the request.
	Refused Evidence = "refused"
	// Unknown means that the request may have run. This includes a pooled connection that
	// the upstream closed after data was written.
	Unknown Evidence = "unknown"
)

// AttemptError is the failure of one attempt on an upstream. It unwraps to a *fault.Error:
// NotRun for NotSent and Refused, or what Permit returned; OutcomeUnknown, StreamBroken, DeadlineExceeded, Canceled,
// TooLarge or, for a complete 4xx answer, Invalid or NotFound if the evidence is Unknown. It
// never matches io.EOF.
type AttemptError struct {
	Evidence Evidence
	// Upstream is the name of the target.
	Upstream string
	// Status and Body are the upstream's answer if a complete one arrived with the
	// request's ID; otherwise Status is 0.
	Status int
	Body   []byte
	// Reused means that the attempt ran on a connection that had carried an earlier request.
	// A device on the network path may have dropped the connection's state, so the failure
	// says little about the upstream.
	Reused bool
	// Unwanted means that nothing was sent because the upstream asks for no requests or is not trusted.
	Unwanted bool
	// Withheld means that nothing was sent because the request is no longer permitted.
	Withheld bool
	// Partitioned means that the links of this instance are, or may be, the cause, so that the failure
	// says nothing about the upstream.
	Partitioned bool

	fault *fault.Error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return "upstream " + e.Upstream + ": " + string(e.Evidence) + ": " + e.fault.Error()
}

// Unwrap returns the *fault.Error.
func (e *AttemptError) Unwrap() error { return e.fault }

// NotRun reports whether it is proved that the request did not run.
func (e *AttemptError) NotRun() bool { return e.Evidence != Unknown }

// EvidenceOf returns the evidence in err's chain. An error without an AttemptError proves
// nothing and yields Unknown.
func EvidenceOf(err error) Evidence {
	var a *AttemptError
	if errors.As(err, &a) {
		return a.Evidence
	}
	return Unknown
}

// ReusedIn reports whether the failed attempt in err's chain ran on a connection that had
// carried an earlier request.
func ReusedIn(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Reused
}

// UnwantedIn reports whether the attempt in err's chain was not made because its upstream asks for no
// requests or is not trusted.
func UnwantedIn(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Unwanted
}

// WithheldIn reports whether the attempt in err's chain was not made because its request is no longer
// permitted.
func WithheldIn(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Withheld
}

// PartitionedIn reports whether the links of this instance may have caused the failure in err's chain.
func PartitionedIn(err error) bool {
	var a *AttemptError
	return errors.As(err, &a) && a.Partitioned
}

// maskEOF replaces io.EOF, which Stream.Next reserves for the end of a complete answer. If an
// upstream closes the connection before its header, the read fails with io.EOF. With that
// error as a cause, callers took the failure for a complete but empty answer.
func maskEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func notSent(t Target, cause error, detail string) *AttemptError {
	return &AttemptError{Evidence: NotSent, Upstream: t.Name, fault: fault.Wrap(maskEOF(cause), fault.NotRun, "%s", detail)}
}

func withheld(t Target, cause error) *AttemptError {
	return &AttemptError{Evidence: NotSent, Upstream: t.Name, Withheld: true, fault: fault.From(cause)}
}

func unknown(t Target, f *fault.Error) *AttemptError {
	return &AttemptError{Evidence: Unknown, Upstream: t.Name, fault: f}
}

// ioFault converts a failed read or write into a typed error. It uses code if neither the
// context nor a timeout was the reason.
func ioFault(ctx context.Context, err error, code fault.Code, doing string) *fault.Error {
	var f *fault.Error
	var n net.Error
	switch {
	case errors.As(err, &f) && f.Code != fault.Invalid:
		return f
	case f != nil:
		// The upstream's message is invalid, not the request.
		return fault.Wrap(f, code, "%s", doing)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(ctx.Err(), fault.DeadlineExceeded, "%s: the request's deadline passed", doing)
	case ctx.Err() != nil:
		return fault.Wrap(ctx.Err(), fault.Canceled, "%s: canceled", doing)
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &n) && n.Timeout():
		return fault.Wrap(err, fault.DeadlineExceeded, "%s: the upstream sent no data in time", doing)
	}
	return fault.Wrap(maskEOF(err), code, "%s: the connection failed", doing)
}
