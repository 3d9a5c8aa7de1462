package plain

import (
	"context"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// resolvedByQuery is recorded as the resolver of a claim whose outcome came from the
// service's query endpoint.
const resolvedByQuery = "query"

// result is the return value of a call that runs in its own goroutine.
type result struct {
	answer CallAnswer
	err    error
}

// callAtMostOnce executes a call at most once per idempotency key. The call continues when
// its caller disconnects, so that a resend finds its receipt.
func (h *Handler) callAtMostOnce(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	results := make(chan result, 1)
	h.work.beginCall()
	go func() {
		defer h.work.endCall()
		answer, err := h.claimAndSend(context.WithoutCancel(ctx), r)
		results <- result{answer, err}
	}()
	select {
	case res := <-results:
		return res.answer, res.err
	case <-ctx.Done():
		return CallAnswer{}, h.inProgress(ctx.Err(), "the caller disconnected while the call was running")
	}
}

func (h *Handler) inProgress(cause error, detail string) error {
	f := fault.New(fault.InProgress, "%s; resend it with the same key to get its outcome", detail)
	f.Cause = cause
	return f.WithRetryAfter(h.cfg.RetryAfter)
}

// claimAndSend claims the key and sends the call if the claim is granted.
func (h *Handler) claimAndSend(ctx context.Context, r *CallRequest) (CallAnswer, error) {
	id := h.cfg.NewID()
	claimedAt := h.cfg.Now()
	cmd := h.claimCommand(r, id)
	res, err := h.submit(ctx, cmd)
	if err != nil {
		// The claim may still be committed. It is released, because this attempt is
		// never sent.
		h.writeLater(&claim.Command{Op: claim.OpRelease, Key: cmd.Key, Attempt: id})
		f := fault.Wrap(err, fault.NotRun, "the call could not be claimed and was not run; the outcome of an earlier call with the same key is not known here")
		return CallAnswer{RequestID: id}, f.WithRetryAfter(h.cfg.RetryAfter)
	}
	if res.Verdict == claim.Granted && res.View != nil && res.View.Attempt == id {
		// The deadline counts from the claim: a process that was frozen in between must
		// not send, because the ledger treats a claim as abandoned after its timeout.
		limit := claimedAt.Add(r.Service.Timeout)
		ctx, done := context.WithTimeout(ctx, limit.Sub(h.cfg.Now()))
		defer done()
		return h.send(ctx, r, cmd, limit)
	}
	return h.answerResend(ctx, r, cmd.Key, res)
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

// permitUntil returns the permit of a call that may be sent until its claim counts as abandoned. The
// deadline of a context does not count the time in suspension.
func (h *Handler) permitUntil(limit time.Time, permit func() error) func() error {
	return func() error {
		switch {
		case !h.cfg.Now().Before(limit):
			return fault.New(fault.NotRun, "the time limit of the call's claim has passed").WithRetryAfter(h.cfg.RetryAfter)
		case permit != nil:
			return permit()
		}
		return nil
	}
}

// send makes the only attempt of a granted claim, before the limit, and records its outcome.
func (h *Handler) send(ctx context.Context, r *CallRequest, c *claim.Command, limit time.Time) (CallAnswer, error) {
	call := r.call(c.Request, freshConnection)
	call.Permit = h.permitUntil(limit, r.Permit)
	answer, err := h.cfg.Client.Do(ctx, r.Target, call)
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
		resolved, queryErr := h.queryOutcome(context.WithoutCancel(ctx), r, c.Key, &claim.View{Attempt: c.Attempt, Request: c.Request, Upstream: c.Upstream})
		if queryErr == nil {
			resolved.Replayed = false
			return resolved, nil
		}
	}
	return CallAnswer{RequestID: c.Request}, h.failure(err)
}

// answerResend answers a call whose claim was not granted, in most cases because its key
// is already claimed.
func (h *Handler) answerResend(ctx context.Context, r *CallRequest, key claim.Key, res claim.Result) (CallAnswer, error) {
	switch res.Verdict {
	case claim.Settled:
		return replay(res.View), nil
	case claim.InProgress:
		return CallAnswer{}, h.inProgress(nil, "a call with this key is in progress")
	case claim.KeyReused:
		return CallAnswer{}, fault.New(fault.Conflict, "this %s was used for a call with different content", headerKey)
	case claim.Full:
		return CallAnswer{}, fault.New(fault.Overloaded, "the claim ledger is full; the call was not run").WithRetryAfter(h.cfg.RetryAfter)
	case claim.Expired:
		return CallAnswer{}, fault.New(fault.OutcomeUnknown, "this %s was used or created before the retention period of receipts", headerKey)
	case claim.OutcomeUnknown:
		return h.queryOutcome(ctx, r, key, res.View)
	}
	return CallAnswer{}, fault.New(fault.Internal, "unexpected verdict %q on a claim", res.Verdict)
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

// queryOutcome queries the service for the outcome of a call by its request ID. The call is
// never sent again, whatever the response: an ID that the service does not know proves
// nothing, because the call may still be in transit.
func (h *Handler) queryOutcome(ctx context.Context, r *CallRequest, key claim.Key, v *claim.View) (CallAnswer, error) {
	unknown := fault.New(fault.OutcomeUnknown, "the call %s may have run; it is not retried", v.Request)
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
		return CallAnswer{}, h.inProgress(nil, "the service is still running the call")
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
	call := upstream.Call{RequestID: h.cfg.NewID(), Method: "GET", Path: path, Fresh: true, AllowNoID: true, Continuation: true}
	return h.cfg.Client.Do(ctx, target, call)
}
