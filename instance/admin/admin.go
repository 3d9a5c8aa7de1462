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
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
)

// controlTimeout limits how long a request waits for the control group or for
// another instance.
const controlTimeout = 10 * time.Second

// Control gives access to the replicated configuration.
type Control interface {
	// Latest returns the newest accepted revision by a linearizable read.
	Latest(ctx context.Context) (*config.View, error)
	// Confirm commits a document as the next revision.
	Confirm(ctx context.Context, operator string, req *ConfirmRequest) (*Confirmation, error)
}

// Config holds the dependencies of the API.
type Config struct {
	Config  *config.Service
	Control Control
	Claims  Claims
	Group   Group
	// Quarantine gives access to the list of quarantined requests; nil if there is none.
	Quarantine Quarantine
	Telemetry  *telemetry.Service
	Log        zerolog.Logger
	Status     func() Status
	// Explain returns the trace of a request, also from another instance.
	Explain func(ctx context.Context, id string) (Explanation, error)
	// Drain asks this instance to drain and stop, and returns without waiting.
	Drain func()
}

// handler serves one request of an authenticated operator.
type handler func(ctx *fasthttp.RequestCtx, op *intent.Operator) error

// API is the HTTP handler of the operators' listener.
type API struct {
	cfg Config
	// routes is keyed by method and path, separated by a space.
	routes map[string]handler
}

// New returns an API that uses the dependencies in cfg.
func New(cfg Config) *API {
	a := &API{cfg: cfg}
	a.routes = map[string]handler{
		"POST " + PathPlan:    a.plan,
		"POST " + PathConfirm: a.confirm,
		"POST " + PathDrain:   a.drain,
		"GET " + PathIntent:   a.intent,
		"GET " + PathStatus:   a.status,
		"GET " + PathMetrics:  a.metrics,
		"GET " + PathClaims:   a.listUnknownCalls,
		"POST " + PathResolve: a.resolve,
		"GET " + PathMembers:  a.listMembers,
		"POST " + PathRemove:  a.removeMember,
	}
	return a
}

// Handle authenticates and serves one request, and writes errors as JSON.
func (a *API) Handle(ctx *fasthttp.RequestCtx) {
	if err := a.serve(ctx); err != nil {
		httpapi.WriteError(ctx, err, "")
	}
}

func (a *API) serve(ctx *fasthttp.RequestCtx) error {
	op, err := a.authenticate(ctx)
	if err != nil {
		return err
	}
	method, path := string(ctx.Method()), string(ctx.Path())
	if h, ok := a.routes[method+" "+path]; ok {
		return h(ctx, op)
	}
	if id, ok := strings.CutPrefix(path, PathRequests); ok && ctx.IsGet() {
		return a.explain(ctx, id)
	}
	if rest, ok := strings.CutPrefix(path, quarantine.Path); ok && a.cfg.Quarantine != nil {
		return a.quarantine(ctx, op, rest)
	}
	return fault.New(fault.NotFound, "%s %s is not part of this API", method, path)
}

func (a *API) status(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, a.cfg.Status())
	return nil
}

func (a *API) metrics(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
	a.cfg.Telemetry.Write(ctx)
	return nil
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

func (a *API) plan(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
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
		return fault.New(fault.Forbidden, "operator %q has read-only access and may not confirm", op.Name)
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
	confirmation, err := a.cfg.Control.Confirm(c, op.Name, req)
	if err != nil {
		a.cfg.Log.Warn().Err(err).Str("operator", op.Name).Uint64("number", req.Number).Msg("confirm refused")
		return err
	}
	a.cfg.Log.Info().Str("operator", op.Name).Uint64("number", req.Number).Uint64("revision", confirmation.Revision).Msg("intent confirmed")
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, confirmation)
	return nil
}

func (a *API) drain(ctx *fasthttp.RequestCtx, op *intent.Operator) error {
	if op.ReadOnly {
		return fault.New(fault.Forbidden, "operator %q has read-only access and may not drain", op.Name)
	}
	a.cfg.Log.Info().Str("operator", op.Name).Msg("drain requested")
	a.cfg.Drain()
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, a.cfg.Status())
	return nil
}

func validate(doc *intent.Document) error {
	if doc == nil {
		return fault.New(fault.Invalid, "document: an intent is required")
	}
	doc.Normalize()
	if err := doc.Validate(); err != nil {
		return fault.Wrap(err, fault.Invalid, "invalid intent")
	}
	return nil
}

func (a *API) intent(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
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
