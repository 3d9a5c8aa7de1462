// Package gateway serves callers: model requests in the chat completions format, the list
// of models, plain services under a path prefix, announcements of upstreams, and the
// readiness checks of the load balancer.
package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/registry"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/trace"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// Paths of the callers' API.
const (
	PathChat     = "/v1/chat/completions"
	PathModels   = "/v1/models"
	PathAnnounce = "/v1/upstreams/announce"
	PathReady    = "/readyz"
	PathLive     = "/livez"
	PathServices = "/services/"
)

// Registry receives announcements and lists the known upstreams.
type Registry interface {
	Announce(b announce.Heartbeat) error
	View() *registry.View
}

// Config holds the dependencies of a Gateway.
type Config struct {
	// Instance is the name of this instance and the prefix of request IDs.
	Instance   string
	Config     *config.Service
	Dispatcher *dispatch.Dispatcher
	Registry   Registry
	Plain      Plain
	// Targets chooses an upstream for a call of a plain service. It fails with
	// fault.NotRun if none is available.
	Targets   func(v *config.View, service string) (upstream.Target, error)
	Telemetry *telemetry.Service
	Trace     *trace.Log
	Log       zerolog.Logger
	// CutOff reports whether the configuration lease of this instance has expired.
	CutOff func() bool
	// LinksCut reports whether this instance is cut off from the upstreams; nil if it never is.
	LinksCut func() bool
	// Guard keeps model requests from upstreams that they may crash; nil if nothing does.
	Guard *quarantine.Guard
}

// Gateway is the HTTP handler of the callers' listener.
type Gateway struct {
	cfg      Config
	notReady atomic.Bool
	// drain is the schedule of the drain that has begun, nil before.
	drain    atomic.Pointer[drain.Schedule]
	inFlight atomic.Int64
	failures failureLog
}

// New returns a Gateway.
func New(cfg Config) *Gateway { return &Gateway{cfg: cfg} }

// SetReady sets whether the load balancer should send requests here. A gateway that is not
// ready still serves requests, because the load balancer notices the change late.
func (g *Gateway) SetReady(ready bool) { g.notReady.Store(!ready) }

// BeginDrain makes the gateway not ready. From the last phase of the schedule on it refuses requests that may not end
// within it.
func (g *Gateway) BeginDrain(s drain.Schedule) {
	g.SetReady(false)
	g.drain.Store(&s)
}

// drainRetryAfter is the retry hint for a request that is refused during a drain: other instances take it at once.
const drainRetryAfter = 20 * time.Millisecond

// checkDrain fails with fault.Draining if a request that may run until the given time, zero for no limit, could be cut
// off by the end of the process.
func (g *Gateway) checkDrain(until time.Time) error {
	s := g.drain.Load()
	if s == nil || s.Accepts(time.Now(), until.IsZero(), until) {
		return nil
	}
	return fault.New(fault.Draining, "the instance shuts down before the request may end").WithRetryAfter(drainRetryAfter)
}

// InFlight returns how many requests are being served, including queued ones.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Handle serves one request.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathReady:
		g.ready(ctx)
	case PathLive:
		ctx.SetBodyString("live\n")
	case PathAnnounce:
		g.announce(ctx)
	default:
		g.serveCaller(ctx, path)
	}
}

func (g *Gateway) ready(ctx *fasthttp.RequestCtx) {
	if _, err := g.cfg.Config.Current(); err != nil || g.notReady.Load() || g.cfg.LinksCut != nil && g.cfg.LinksCut() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// serveCaller counts the request as in flight until its answer is written. For a stream,
// that is long after serveCaller has returned.
func (g *Gateway) serveCaller(ctx *fasthttp.RequestCtx, path string) {
	id := g.requestID()
	ctx.Response.Header.Set(httpapi.HeaderRequestID, id)
	g.inFlight.Add(1)
	streaming, err := g.route(ctx, path, id)
	if err != nil {
		g.cfg.Telemetry.RecordRefused(string(fault.CodeOf(err)))
		httpapi.WriteError(ctx, err, id)
	}
	if !streaming {
		g.inFlight.Add(-1)
	}
}

func (g *Gateway) route(ctx *fasthttp.RequestCtx, path, id string) (streaming bool, err error) {
	view, leased, err := g.current()
	if err != nil {
		return false, err
	}
	key, err := config.Bearer(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return false, err
	}
	c, err := authenticate(key, view)
	if err != nil {
		return false, err
	}
	if err := c.checkLease(leased); err != nil {
		return false, err
	}
	switch {
	case path == PathChat && ctx.IsPost():
		return g.chat(ctx, c, id)
	case path == PathModels && ctx.IsGet():
		g.models(ctx)
		return false, nil
	case strings.HasPrefix(path, PathServices):
		return false, g.plain(ctx, c, path)
	}
	return false, fault.New(fault.NotFound, "%s %s is not part of this API", ctx.Method(), path)
}

// current returns the view in force and whether it is known to be the newest. The lease is read
// first: it is of that view or of an earlier one, never of a view that comes into force between the
// two reads.
func (g *Gateway) current() (view *config.View, leased bool, err error) {
	leased = g.cfg.CutOff == nil || !g.cfg.CutOff()
	view, err = g.cfg.Config.Current()
	return view, leased, err
}

func (g *Gateway) announce(ctx *fasthttp.RequestCtx) {
	if err := g.acceptAnnouncement(ctx); err != nil {
		httpapi.WriteError(ctx, err, "")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (g *Gateway) acceptAnnouncement(ctx *fasthttp.RequestCtx) error {
	view, err := g.cfg.Config.Current()
	if err != nil {
		return err
	}
	key, err := config.Bearer(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return err
	}
	beat := &announce.Heartbeat{}
	if err := httpapi.ReadJSON(ctx, beat); err != nil {
		return err
	}
	if err := beat.Validate(); err != nil {
		return err
	}
	rule, err := view.Upstream(beat.Name, key)
	if err != nil {
		return err
	}
	if rule.Kind != beat.Kind {
		return fault.New(fault.Forbidden, "upstream %q is trusted as %s, not as %s", beat.Name, rule.Kind, beat.Kind)
	}
	return g.cfg.Registry.Announce(*beat)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (g *Gateway) models(ctx *fasthttp.RequestCtx) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range modelNames(g.cfg.Registry.View()) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model"})
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, list)
}

// modelNames returns the sorted names of the models that live engines have loaded.
func modelNames(v *registry.View) (names []string) {
	for i := range v.Upstreams {
		if v.Upstreams[i].Kind == intent.KindEngine {
			names = append(names, v.Upstreams[i].Models...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

const requestIDBytes = 10

// requestID generates a request ID. Callers cannot choose it, because an engine could
// confuse the requests of two callers with the same ID.
func (g *Gateway) requestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return g.cfg.Instance + "-" + hex.EncodeToString(b[:])
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}
