package admin

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
)

// Claims is what the API needs for calls with an unknown outcome.
type Claims interface {
	// Unknowns lists them, the oldest first, after a check that nothing lacks.
	Unknowns(ctx context.Context) ([]claim.KeyedClaim, error)
	// Resolve settles one by an operator's word. It fails with fault.NotFound,
	// and with fault.Conflict when the outcome is not unknown (any more).
	Resolve(ctx context.Context, operator string, key claim.Key, as claim.Outcome) error
}

// Group is what the API needs of the control group.
type Group interface {
	// Group returns the members as their leader knows them.
	Group(ctx context.Context) ([]Member, error)
	// RemoveMember removes a member for good and returns the rest. It refuses
	// one that is heard, with fault.Conflict.
	RemoveMember(ctx context.Context, id string) ([]Member, error)
}

// UnknownCall is a call that may or may not have run.
type UnknownCall struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// Request is the ID under which the service knows the call.
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	// Instance made the call, at the time At.
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// Resolution is an operator's word on what became of a call.
type Resolution struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	// As is "done", "rejected" or "not_run".
	As claim.Outcome `json:"as"`
}

// Member is one member of the control group.
type Member struct {
	// ID names the disk; a replaced disk has another one under the same name.
	ID     string `json:"id" codec:"i"`
	Name   string `json:"name" codec:"n"`
	Voter  bool   `json:"voter" codec:"v"`
	Leader bool   `json:"leader" codec:"l"`
	// SilentMS is for how long the leader has not heard it, in milliseconds.
	SilentMS int64 `json:"silent_ms" codec:"s"`
}

// Removal names the member that is to leave the control group.
type Removal struct {
	ID string `json:"id"`
}

func (a *API) unknowns(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	list, err := a.cfg.Claims.Unknowns(c)
	if err != nil {
		return err
	}
	out := make([]UnknownCall, 0, len(list))
	for _, n := range list {
		out = append(out, UnknownCall{
			Organisation: n.Key.Organisation, Service: n.Key.Service, Key: n.Key.Idempotency,
			Request: n.View.Request, Upstream: n.View.Upstream, Instance: n.View.Instance, At: n.View.At.Time(),
		})
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, out)
	return nil
}

func (a *API) resolve(ctx *fasthttp.RequestCtx, op *intent.Operator) error {
	if err := mayChange(op); err != nil {
		return err
	}
	r := &Resolution{}
	if err := httpapi.ReadJSON(ctx, r); err != nil {
		return err
	}
	if r.As != claim.Done && r.As != claim.Rejected && r.As != claim.NotRun {
		return fault.New(fault.Invalid, "as: one of done, rejected and not_run is needed")
	}
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	key := claim.Key{Organisation: r.Organisation, Service: r.Service, Idempotency: r.Key}
	if err := a.cfg.Claims.Resolve(c, op.Name, key, r.As); err != nil {
		return err
	}
	a.cfg.Log.Warn().Str("operator", op.Name).Str("service", r.Service).Str("as", string(r.As)).Msg("unknown outcome resolved")
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, r)
	return nil
}

func (a *API) group(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	list, err := a.cfg.Group.Group(c)
	if err != nil {
		return err
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, list)
	return nil
}

func (a *API) removeMember(ctx *fasthttp.RequestCtx, op *intent.Operator) error {
	if err := mayChange(op); err != nil {
		return err
	}
	r := &Removal{}
	if err := httpapi.ReadJSON(ctx, r); err != nil {
		return err
	}
	c, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	list, err := a.cfg.Group.RemoveMember(c, r.ID)
	if err != nil {
		return err
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, list)
	return nil
}

func mayChange(op *intent.Operator) error {
	if op.ReadOnly {
		return fault.New(fault.Forbidden, "operator %q may look but not change anything", op.Name)
	}
	return nil
}
