package admin

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// controlTimeout bounds how long a confirm waits for the control group.
const controlTimeout = 10 * time.Second

// Control is the replicated configuration.
type Control interface {
	// Latest returns the newest accepted revision, after a check that it is.
	Latest(ctx context.Context) (*config.View, error)
	// Confirm makes a document the next revision.
	Confirm(ctx context.Context, operator string, req *ConfirmRequest) (*Confirmation, error)
}

// Config holds what the API needs.
type Config struct {
	Config    *config.Service
	Control   Control
	Claims    Claims
	Group     Group
	Telemetry *telemetry.Service
	Log       zerolog.Logger
	Status    func() Status
	// Explain finds what became of a request, also at another instance.
	Explain func(ctx context.Context, id string) (Explanation, error)
	// Drain asks this instance to drain and stop; it returns at once.
	Drain func()
}

// API is the HTTP handler of the operators' listener.
type API struct{ cfg Config }

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Handle serves one request.
func (a *API) Handle(ctx *fasthttp.RequestCtx) {
	if err := a.route(ctx); err != nil {
		httpapi.WriteError(ctx, err, "")
	}
}

func (a *API) route(ctx *fasthttp.RequestCtx) error {
	op, err := a.authenticate(ctx)
	if err != nil {
		return err
	}
	path := string(ctx.Path())
	switch {
	case path == PathPlan && ctx.IsPost():
		return a.plan(ctx)
	case path == PathConfirm && ctx.IsPost():
		return a.confirm(ctx, op)
	case path == PathIntent && ctx.IsGet():
		return a.intent(ctx)
	case path == PathStatus && ctx.IsGet():
		httpapi.WriteJSON(ctx, fasthttp.StatusOK, a.cfg.Status())
		return nil
	case path == PathMetrics && ctx.IsGet():
		a.cfg.Telemetry.Write(ctx)
		return nil
	case strings.HasPrefix(path, PathRequests) && ctx.IsGet():
		return a.explain(ctx, strings.TrimPrefix(path, PathRequests))
	}
	return a.routeRepair(ctx, op, path)
}

// routeRepair serves what an operator does to instances and calls.
func (a *API) routeRepair(ctx *fasthttp.RequestCtx, op *intent.Operator, path string) error {
	switch {
	case path == PathDrain && ctx.IsPost():
		return a.drain(ctx, op)
	case path == PathClaims && ctx.IsGet():
		return a.unknowns(ctx)
	case path == PathResolve && ctx.IsPost():
		return a.resolve(ctx, op)
	case path == PathMembers && ctx.IsGet():
		return a.group(ctx)
	case path == PathRemove && ctx.IsPost():
		return a.removeMember(ctx, op)
	}
	return fault.New(fault.NotFound, "%s %s is not part of this API", ctx.Method(), path)
}

func (a *API) authenticate(ctx *fasthttp.RequestCtx) (*intent.Operator, error) {
	view, err := a.cfg.Config.Current()
	if err != nil {
		return nil, err
	}
	key, err := config.Bearer(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return nil, err
	}
	return view.Operator(key)
}

func (a *API) plan(ctx *fasthttp.RequestCtx) error {
	req := &PlanRequest{}
	if err := httpapi.ReadJSON(ctx, req); err != nil {
		return err
	}
	if err := validate(req.Document); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	view, err := a.cfg.Control.Latest(c)
	if err != nil {
		return err
	}
	changes := intent.Diff(view.Document, req.Document)
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, Plan{Base: view.Revision, Changes: changes})
	return nil
}

func (a *API) confirm(ctx *fasthttp.RequestCtx, op *intent.Operator) error {
	if op.ReadOnly {
		return fault.New(fault.Forbidden, "operator %q may look and plan but not confirm", op.Name)
	}
	req := &ConfirmRequest{}
	if err := httpapi.ReadJSON(ctx, req); err != nil {
		return err
	}
	if err := validate(req.Document); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	done, err := a.cfg.Control.Confirm(c, op.Name, req)
	if err != nil {
		a.cfg.Log.Warn().Err(err).Str("operator", op.Name).Uint64("number", req.Number).Msg("confirm refused")
		return err
	}
	a.cfg.Log.Info().Str("operator", op.Name).Uint64("number", req.Number).Uint64("revision", done.Revision).Msg("intent confirmed")
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, done)
	return nil
}

func (a *API) drain(ctx *fasthttp.RequestCtx, op *intent.Operator) error {
	if op.ReadOnly {
		return fault.New(fault.Forbidden, "operator %q may look and plan but not drain", op.Name)
	}
	a.cfg.Log.Info().Str("operator", op.Name).Msg("drain asked for")
	a.cfg.Drain()
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, a.cfg.Status())
	return nil
}

func validate(doc *intent.Document) error {
	if doc == nil {
		return fault.New(fault.Invalid, "document: an intent is needed")
	}
	doc.Normalize()
	if err := doc.Validate(); err != nil {
		return fault.Wrap(err, fault.Invalid, "the intent is not valid")
	}
	return nil
}

func (a *API) intent(ctx *fasthttp.RequestCtx) error {
	view, err := a.cfg.Config.Current()
	if err != nil {
		return err
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, Intent{Revision: view.Revision, Document: view.Document})
	return nil
}

func (a *API) explain(ctx *fasthttp.RequestCtx, id string) error {
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	rec, err := a.cfg.Explain(c, id)
	if err != nil {
		return err
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, rec)
	return nil
}
