package quarantine

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
)

// Handler handles operators' requests for the list and passes all others to next.
func (s *Service) Handler(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		rest, ok := strings.CutPrefix(string(ctx.Path()), Path)
		name, hasName := strings.CutPrefix(rest, "/")
		switch {
		case ok && rest == "" && ctx.IsGet():
			s.list(ctx)
		case ok && hasName && ctx.IsDelete():
			s.release(ctx, name)
		default:
			next(ctx)
		}
	}
}

func (s *Service) list(ctx *fasthttp.RequestCtx) {
	v, err := s.List(context.Background())
	if err != nil {
		httpapi.WriteError(ctx, err, "")
		return
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, v)
}

func (s *Service) release(ctx *fasthttp.RequestCtx, name string) {
	f, err := quarantine.ParseFingerprint(name)
	if err == nil {
		err = s.Release(context.Background(), f)
	}
	if err != nil {
		httpapi.WriteError(ctx, err, "")
		return
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
}
