// Package httpapi holds what all HTTP listeners share: the mapping of typed
// failures to answers, request IDs and JSON bodies.
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

// statusCanceled tells in logs that the caller went away; nobody reads it.
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

// notRun lists the codes that say, besides what is wrong, that nothing was run.
var notRun = map[fault.Code]bool{
	fault.Invalid: true, fault.Unauthenticated: true, fault.Forbidden: true, fault.NotFound: true,
	fault.TooLarge: true, fault.KeyReused: true, fault.Overloaded: true, fault.Draining: true, fault.NotRun: true,
}

// Status returns the HTTP status for a failure's code.
func Status(code fault.Code) int {
	if s, ok := statuses[code]; ok {
		return s
	}
	return fasthttp.StatusInternalServerError
}

// ErrorBody is the published format of a failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the inside of an ErrorBody.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	RequestID string `json:"request_id,omitempty"`
	// Problems lists all that is wrong with an intent.
	Problems []string `json:"problems,omitempty"`
}

// Body returns the body that tells a caller about a failure. Causes stay in the
// logs: they name addresses that are no business of callers.
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

// WriteError answers with a failure.
func WriteError(ctx *fasthttp.RequestCtx, err error, requestID string) {
	f := fault.From(err)
	ctx.Response.ResetBody()
	WriteJSON(ctx, Status(f.Code), Body(err, requestID))
	SetRetryAfter(&ctx.Response.Header, f.RetryAfter)
	if notRun[f.Code] && !mayHaveRun(err) {
		ctx.Response.Header.Set(HeaderNotRun, "true")
	}
}

// mayHaveRun reports whether an attempt at an upstream stands behind the failure
// of which it is not proved that nothing ran. An engine's 400, for example, has a
// code that otherwise means "refused before it ran", yet proves nothing.
func mayHaveRun(err error) bool {
	var attempt interface{ NotRun() bool }
	return errors.As(err, &attempt) && !attempt.NotRun()
}

// SetRetryAfter sets the Retry-After header, in whole seconds rounded up, when
// d is above zero.
func SetRetryAfter(h *fasthttp.ResponseHeader, d time.Duration) {
	if d > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}

// ReadJSON decodes the request's body.
func ReadJSON(ctx *fasthttp.RequestCtx, into any) error {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		return fault.Wrap(err, fault.Invalid, "the body is not the JSON that is expected here")
	}
	return nil
}
