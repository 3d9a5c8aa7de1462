package admin

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	corequarantine "github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
)

// Quarantine gives access to the list of quarantined requests and parts of prompts.
type Quarantine interface {
	// List returns the list by a linearizable read. It fails with fault.Unavailable on an instance that holds
	// no control state.
	List(ctx context.Context) (*quarantine.View, error)
	// Release ends the quarantine of an entry. It fails with fault.NotFound if there is none.
	Release(ctx context.Context, f corequarantine.Fingerprint) error
}

// quarantine serves the list, or releases the entry that the rest of the path names.
func (a *API) quarantine(ctx *fasthttp.RequestCtx, op *intent.Operator, rest string) error {
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	name, named := strings.CutPrefix(rest, "/")
	switch {
	case rest == "" && ctx.IsGet():
		v, err := a.cfg.Quarantine.List(c)
		if err != nil {
			return err
		}
		httpapi.WriteJSON(ctx, fasthttp.StatusOK, v)
		return nil
	case !named || !ctx.IsDelete():
		return fault.New(fault.NotFound, "%s %s is not part of this API", ctx.Method(), ctx.Path())
	case op.ReadOnly:
		return fault.New(fault.Forbidden, "operator %q has read-only access and may not release", op.Name)
	}
	f, err := corequarantine.ParseFingerprint(name)
	if err != nil {
		return err
	}
	if err := a.cfg.Quarantine.Release(c, f); err != nil {
		return err
	}
	a.cfg.Log.Info().Str("event", "quarantine_release").Str("operator", op.Name).Str("fingerprint", name).Msg("an operator released an entry")
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
	return nil
}
