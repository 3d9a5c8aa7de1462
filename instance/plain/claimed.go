package plain

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// resolvedByQuery stands in a claim that was settled by asking the service.
const resolvedByQuery = "query"

// result is what a call ends with.
type result struct {
	answer CallAnswer
	err    error
}

// claimed makes a call at most once. The call runs on when its caller hangs up,
// so that its receipt is there for the resend.
func (h *Handler) claimed(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	out := make(chan result, 1)
	h.work.begin()
	go func() {
		defer h.work.end()
		answer, err := h.run(context.WithoutCancel(ctx), r)
		out <- result{answer, err}
	}()
	select {
	case res := <-out:
		return res.answer, res.err
	case <-ctx.Done():
		return CallAnswer{}, h.inProgress(ctx.Err(), "the call goes on without its caller")
	}
}

func (h *Handler) inProgress(cause error, detail string) error {
	f := fault.New(fault.InProgress, "%s; send it again with the same key to learn its outcome", detail)
	f.Cause = cause
	return f.WithRetryAfter(h.cfg.RetryAfter)
}

func (h *Handler) run(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	id := h.cfg.NewID()
	claimedAt := time.Now()
	cmd := h.claimCommand(r, id)
	res, err := h.submit(ctx, cmd)
	if err != nil {
		// The claim may yet be committed; it is given back, because this
		// attempt will never be sent.
		h.writeLater(&claim.Command{Op: claim.OpRelease, Key: cmd.Key, Attempt: id})
		f := fault.Wrap(err, fault.NotRun, "the call can't be claimed now and was not run; what became of an earlier one with its key isn't known here")
		return CallAnswer{RequestID: id}, f.WithRetryAfter(h.cfg.RetryAfter)
	}
	if res.Verdict == claim.Granted && res.View != nil && res.View.Attempt == id {
		// A process that was frozen since then finds its time limit passed and
		// sends nothing: by the ledger its claim counts as left by the dead.
		ctx, done := context.WithDeadline(ctx, claimedAt.Add(r.Service.Timeout))
		defer done()
		return h.send(ctx, r, cmd)
	}
	return h.known(ctx, r, cmd.Key, res)
}

func (h *Handler) claimCommand(r *CallRequest, id string) *claim.Command {
	return &claim.Command{
		Op:       claim.OpClaim,
		Key:      claim.Key{Organisation: r.Organisation, Service: r.Service.Name, Idempotency: r.Key},
		Attempt:  id,
		Request:  id,
		Digest:   claim.Digest(r.Method, r.Path, r.Body),
		Instance: h.cfg.Instance, Upstream: r.Target.Name,
		Timeout: r.Service.Timeout, Retention: r.Service.Retention,
	}
}

// send makes the one attempt of a granted claim and records what came of it.
func (h *Handler) send(ctx context.Context, r *CallRequest, c *claim.Command) (CallAnswer, error) {
	answer, err := h.cfg.Client.Do(ctx, r.Target, r.call(c.Request, freshly))
	if err == nil {
		outcome := classify(answer.Status)
		h.write(ctx, &claim.Command{Op: claim.OpReceipt, Key: c.Key, Attempt: c.Attempt, Outcome: outcome, Receipt: receiptOf(answer)})
		return CallAnswer{Outcome: outcome, RequestID: c.Request, Answer: *answer}, nil
	}
	op := claim.OpUnknown
	if upstream.EvidenceOf(err) != upstream.Unknown {
		op = claim.OpRelease
	}
	h.write(ctx, &claim.Command{Op: op, Key: c.Key, Attempt: c.Attempt})
	if op == claim.OpUnknown && r.Service.QueryPath != "" {
		asked, unsettled := h.recover(context.WithoutCancel(ctx), r, c.Key, &claim.View{Attempt: c.Attempt, Request: c.Request, Upstream: c.Upstream})
		if unsettled == nil {
			asked.Replayed = false
			return asked, nil
		}
	}
	return CallAnswer{RequestID: c.Request}, h.failure(err)
}

// known answers a call whose key was claimed before.
func (h *Handler) known(ctx context.Context, r *CallRequest, key claim.Key, res claim.Result) (CallAnswer, error) {
	switch res.Verdict {
	case claim.Settled:
		return replay(res.View), nil
	case claim.InProgress:
		return CallAnswer{}, h.inProgress(nil, "a call with this key is running")
	case claim.KeyReused:
		return CallAnswer{}, fault.New(fault.Conflict, "this %s was used for a call with other content", headerKey)
	case claim.Full:
		return CallAnswer{}, fault.New(fault.Overloaded, "there is no room for another claim; the call was not run").WithRetryAfter(h.cfg.RetryAfter)
	case claim.Expired:
		return CallAnswer{}, fault.New(fault.OutcomeUnknown, "this %s was used, or made, longer ago than receipts are kept", headerKey)
	case claim.OutcomeUnknown:
		return h.recover(ctx, r, key, res.View)
	}
	return CallAnswer{}, fault.New(fault.Internal, "a claim was answered with %q", res.Verdict)
}

func replay(v *claim.View) CallAnswer {
	out := CallAnswer{Outcome: v.Outcome, Replayed: true, RequestID: v.Request}
	if v.Receipt == nil {
		return out
	}
	out.Truncated = v.Receipt.Truncated
	out.Answer = upstream.Answer{Status: v.Receipt.Status, Body: v.Receipt.Body}
	for _, f := range v.Receipt.Headers {
		out.Answer.Headers = append(out.Answer.Headers, upstream.Header{Name: f.Name, Value: f.Value})
	}
	return out
}

func receiptOf(a *upstream.Answer) *claim.Receipt {
	out := &claim.Receipt{Status: a.Status, Body: a.Body}
	for _, f := range a.Headers {
		out.Headers = append(out.Headers, claim.HeaderField{Name: f.Name, Value: f.Value})
	}
	return out
}

// recover asks the service what became of a call, by the ID it was sent with.
// Whatever it says, the call isn't sent again: that the service doesn't know the
// ID is no proof, for the call may still be on its way.
func (h *Handler) recover(ctx context.Context, r *CallRequest, key claim.Key, v *claim.View) (CallAnswer, error) {
	unknown := fault.New(fault.OutcomeUnknown, "the call %s may have run; it is not repeated", v.Request)
	if r.Service.QueryPath == "" {
		if v.Receipt != nil {
			return replay(v), nil
		}
		return CallAnswer{}, unknown
	}
	answer, err := h.query(ctx, r, v)
	switch {
	case err != nil:
		unknown.Cause = err
		return CallAnswer{}, unknown
	case answer.Status == 202:
		return CallAnswer{}, h.inProgress(nil, "the service still runs the call")
	case answer.Status != 200:
		return CallAnswer{}, unknown
	}
	rc := receiptOf(answer)
	h.write(ctx, &claim.Command{Op: claim.OpResolve, Key: key, Attempt: v.Attempt, Outcome: claim.Done, Receipt: rc, By: resolvedByQuery})
	found := *v
	found.Outcome, found.Receipt = claim.Done, rc
	return replay(&found), nil
}

func (h *Handler) query(ctx context.Context, r *CallRequest, v *claim.View) (*upstream.Answer, error) {
	ctx, done := context.WithTimeout(ctx, r.Service.Timeout)
	defer done()
	target, ok := h.cfg.Locate(v.Upstream)
	if !ok {
		target = r.Target
	}
	path := strings.ReplaceAll(r.Service.QueryPath, "{key}", v.Request)
	call := upstream.Call{RequestID: h.cfg.NewID(), Method: "GET", Path: path, Fresh: true, AllowNoID: true}
	return h.cfg.Client.Do(ctx, target, call)
}
