package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/plain"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Plain executes calls of plain services.
type Plain interface {
	Call(ctx context.Context, r plain.CallRequest) (plain.CallAnswer, error)
}

// Headers with details on the answer of a plain service.
const (
	headerReplayed  = "X-Replayed"
	headerTruncated = "X-Truncated"
)

// hopByHop lists headers that apply to a single connection or are handled by the router
// itself.
var hopByHop = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Host": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "User-Agent": true, httpapi.HeaderRequestID: true, httpapi.HeaderIdempotencyKey: true, "Expect": true,
	httpapi.HeaderNotRun: true, httpapi.HeaderOutcome: true,
}

func (g *Gateway) plain(ctx *fasthttp.RequestCtx, from *caller, path string) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(path, PathServices), "/")
	service, err := findService(from, name)
	if err != nil {
		return err
	}
	if err := g.checkDrain(time.Now().Add(service.Timeout)); err != nil {
		return err
	}
	target, err := g.cfg.Targets(from.view, name)
	if err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	if h, ok := ctx.Conn().(hangUpNotifier); ok {
		go cancelOnHangUp(c, h, cancel)
	}
	p := g.permit(from, func(now *caller) error {
		_, err := findService(now, name)
		return err
	})
	answer, err := g.cfg.Plain.Call(c, plain.CallRequest{
		Permit:       p.check,
		Organisation: from.org.Name, Service: service, Target: target,
		Key:     string(ctx.Request.Header.Peek(httpapi.HeaderIdempotencyKey)),
		Method:  string(ctx.Method()),
		Path:    servicePath(ctx, rest),
		Headers: forwardedHeaders(ctx),
		Body:    append([]byte(nil), ctx.PostBody()...),
	})
	g.logServiceCall(from.org, service, target, &answer, err)
	if err != nil {
		return mapConflict(err)
	}
	writeAnswer(ctx, &answer)
	return nil
}

// findService returns the named service, which the caller must be allowed to call.
func findService(c *caller, name string) (*intent.Service, error) {
	service := c.view.Document.Service(name)
	if service == nil {
		return nil, fault.New(fault.NotFound, "service %q is not declared", name)
	}
	if !contains(c.org.Services, name) {
		return nil, fault.New(fault.Forbidden, "organisation %q may not call service %q", c.org.Name, name)
	}
	return service, nil
}

// servicePath returns the path that the service receives: the path as sent without the
// service prefix, with its query.
func servicePath(ctx *fasthttp.RequestCtx, rest string) string {
	path := "/" + rest
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	return path
}

func forwardedHeaders(ctx *fasthttp.RequestCtx) (list []upstream.Header) {
	for k, v := range ctx.Request.Header.All() {
		if !hopByHop[string(k)] {
			list = append(list, upstream.Header{Name: string(k), Value: string(v)})
		}
	}
	return list
}

// mapConflict changes the code for a reused idempotency key, to distinguish it from a call
// that is still running. Both would otherwise be answered with 409.
func mapConflict(err error) error {
	f := fault.From(err)
	if f.Code != fault.Conflict {
		return err
	}
	c := *f
	c.Code = fault.KeyReused
	return &c
}

func writeAnswer(ctx *fasthttp.RequestCtx, a *plain.CallAnswer) {
	for _, h := range a.Answer.Headers {
		if !hopByHop[h.Name] {
			ctx.Response.Header.Add(h.Name, h.Value)
		}
	}
	ctx.SetStatusCode(a.Answer.Status)
	ctx.SetBody(a.Answer.Body)
	ctx.Response.Header.Set(httpapi.HeaderOutcome, string(a.Outcome))
	if a.Replayed {
		ctx.Response.Header.Set(headerReplayed, "true")
	}
	if a.Truncated {
		ctx.Response.Header.Set(headerTruncated, "true")
	}
}

func (g *Gateway) logServiceCall(org *intent.Organisation, s *intent.Service, t upstream.Target, a *plain.CallAnswer, err error) {
	ev := g.cfg.Log.Info()
	if err != nil {
		ev = g.failures.event(g.cfg.Log, time.Now(), err)
	}
	ev.Str("request", a.RequestID).Str("organisation", org.Name).Str("service", s.Name).Str("upstream", t.Name).
		Str("outcome", string(a.Outcome)).Bool("replayed", a.Replayed).Int("status", a.Answer.Status).Msg("service call ended")
}
