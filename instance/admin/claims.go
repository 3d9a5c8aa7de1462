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

// Claims gives access to the calls with an unknown outcome.
type Claims interface {
	// Unknowns lists them by a linearizable read, oldest first.
	Unknowns(ctx context.Context) ([]claim.KeyedClaim, error)
	// Resolve sets the outcome of one as an operator states it. It fails with
	// fault.NotFound if no call with that key is claimed, and with fault.Conflict if
	// the outcome is not unknown, or no longer.
	Resolve(ctx context.Context, operator string, key claim.Key, as claim.Outcome) error
}

// Group gives access to the membership of the control group.
type Group interface {
	// Group returns the members according to their leader.
	Group(ctx context.Context) ([]Member, error)
	// RemoveMember removes a member permanently and returns the remaining ones. It
	// fails with fault.Conflict if the leader heard from the member recently.
	RemoveMember(ctx context.Context, id string) ([]Member, error)
}

// UnknownCall is a call that may or may not have run.
type UnknownCall struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	// Key is the caller's Idempotency-Key.
	Key string `json:"key"`
	// Request is the ID that identifies the call to the service.
	Request  string `json:"request"`
	Upstream string `json:"upstream"`
	// Instance is the instance that made the call at time At.
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// Resolution states the outcome of a call as an operator found it.
type Resolution struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Key          string `json:"key"`
	// As is "done", "rejected" or "not_run".
	As claim.Outcome `json:"as"`
}

// Member is one member of the control group.
type Member struct {
	// ID identifies the member's disk: after a disk is replaced, the member has a new
	// ID under the same name.
	ID     string `json:"id" codec:"i"`
	Name   string `json:"name" codec:"n"`
	Voter  bool   `json:"voter" codec:"v"`
	Leader bool   `json:"leader" codec:"l"`
	// SilentMS is the time since the leader last heard from the member, in milliseconds.
	SilentMS int64 `json:"silent_ms" codec:"s"`
}

// Removal identifies the member to remove from the control group.
type Removal struct {
	ID string `json:"id"`
}

func (a *API) listUnknownCalls(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
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
	if err := requireWriteAccess(op); err != nil {
		return err
	}
	r := &Resolution{}
	if err := httpapi.ReadJSON(ctx, r); err != nil {
		return err
	}
	if r.As != claim.Done && r.As != claim.Rejected && r.As != claim.NotRun {
		return fault.New(fault.Invalid, "as: must be done, rejected or not_run")
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

func (a *API) listMembers(ctx *fasthttp.RequestCtx, _ *intent.Operator) error {
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
	if err := requireWriteAccess(op); err != nil {
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

func requireWriteAccess(op *intent.Operator) error {
	if op.ReadOnly {
		return fault.New(fault.Forbidden, "operator %q has read-only access", op.Name)
	}
	return nil
}
