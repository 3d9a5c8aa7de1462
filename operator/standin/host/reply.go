package host

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// errorBody is the published form of a failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
}

// Reply answers with v as JSON.
func Reply(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Refuse answers with a failure. The code NotRun also sets X-Not-Run, by which
// an upstream proves that the request had no effect.
func Refuse(ctx *fasthttp.RequestCtx, status int, code fault.Code, detail string) {
	Reply(ctx, status, errorBody{Error: errorDetail{Code: code, Message: detail}})
	if code == fault.NotRun {
		ctx.Response.Header.Set("X-Not-Run", "true")
	}
}
