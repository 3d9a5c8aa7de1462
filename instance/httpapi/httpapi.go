// Package httpapi contains what all HTTP listeners share: the mapping of typed errors to
// responses, request IDs and JSON bodies.
package httpapi

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
)

// Header names of the API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderNotRun         = "X-Not-Run"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "X-Outcome"
	HeaderRetryAfter     = "Retry-After"
)

// statusCanceled marks requests whose caller disconnected. It appears only in logs.
const statusCanceled = 499

var statuses = map[fault.Code]int{
	fault.Invalid:          fasthttp.StatusBadRequest,
	fault.Unauthenticated:  fasthttp.StatusUnauthorized,
	fault.Forbidden:        fasthttp.StatusForbidden,
	fault.NotFound:         fasthttp.StatusNotFound,
	fault.Conflict:         fasthttp.StatusConflict,
	fault.InProgress:       fasthttp.StatusConflict,
	fault.KeyReused:        fasthttp.StatusUnprocessableEntity,
	fault.TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	fault.Overloaded:       fasthttp.StatusTooManyRequests,
	fault.Draining:         fasthttp.StatusServiceUnavailable,
	fault.NotRun:           fasthttp.StatusServiceUnavailable,
	fault.Unavailable:      fasthttp.StatusServiceUnavailable,
	fault.OutcomeUnknown:   fasthttp.StatusBadGateway,
	fault.StreamBroken:     fasthttp.StatusBadGateway,
	fault.Corrupt:          fasthttp.StatusBadGateway,
	fault.DeadlineExceeded: fasthttp.StatusGatewayTimeout,
	fault.Canceled:         statusCanceled,
}

// notRunCodes are the error codes that imply that the request did not run.
var notRunCodes = map[fault.Code]bool{
	fault.Invalid: true, fault.Unauthenticated: true, fault.Forbidden: true, fault.NotFound: true,
	fault.TooLarge: true, fault.KeyReused: true, fault.Overloaded: true, fault.Draining: true, fault.NotRun: true,
}

// Status returns the HTTP status of an error code.
func Status(code fault.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return fasthttp.StatusInternalServerError
}

// ErrorBody is the public format of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the error of an ErrorBody.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	RequestID string `json:"request_id,omitempty"`
	// Problems lists all errors of an invalid intent or INI file.
	Problems []string `json:"problems,omitempty"`
}

// Body returns the body of an error response. Causes are only logged, as they contain addresses
// that callers must not see.
func Body(err error, requestID string) ErrorBody {
	f := fault.From(err)
	return ErrorBody{Error: ErrorDetail{
		Message:   f.Detail,
		Type:      errorType(f.Code),
		Code:      string(f.Code),
		RequestID: requestID,
		Problems:  problems(err),
	}}
}

func errorType(code fault.Code) string {
	switch s := Status(code); {
	case s == fasthttp.StatusTooManyRequests:
		return "rate_limit_error"
	case s == fasthttp.StatusUnauthorized:
		return "authentication_error"
	case s < fasthttp.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func problems(err error) []string {
	var out []string
	var p *intent.ProblemsError
	if errors.As(err, &p) {
		for _, q := range p.Problems {
			out = append(out, q.Path+": "+q.Detail)
		}
	}
	var f *inifile.FaultsError
	if errors.As(err, &f) {
		for _, q := range f.Faults {
			out = append(out, q.String())
		}
	}
	return out
}

// WriteError writes an error response.
func WriteError(ctx *fasthttp.RequestCtx, err error, requestID string) {
	f := fault.From(err)
	ctx.Response.ResetBody()
	WriteJSON(ctx, Status(f.Code), Body(err, requestID))
	SetRetryAfter(&ctx.Response.Header, f.RetryAfter)
	if notRunCodes[f.Code] && !mayHaveRun(err) {
		ctx.Response.Header.Set(HeaderNotRun, "true")
	}
}

// mayHaveRun reports whether the error comes from an attempt at an upstream that may have run the
// request. An engine's status 400, for example, has a code that otherwise means that the request
// was rejected before it ran, but does not prove it.
func mayHaveRun(err error) bool {
	var attempt interface{ NotRun() bool }
	return errors.As(err, &attempt) && !attempt.NotRun()
}

// SetRetryAfter sets the Retry-After header, in whole seconds rounded up, if d is above zero.
func SetRetryAfter(h *fasthttp.ResponseHeader, d time.Duration) {
	if d > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// ReadJSON decodes the body of the request. It fails with fault.Invalid.
func ReadJSON(ctx *fasthttp.RequestCtx, into any) error {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return fault.Wrap(err, fault.Invalid, "the body is not valid JSON of the expected form")
	}
	return nil
}
