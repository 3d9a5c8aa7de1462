package gateway

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/prefix"
	corequarantine "github.com/comfreyladder/comfreyladder/core/quarantine"
	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/chat"
	"github.com/comfreyladder/comfreyladder/instance/dispatch"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/telemetry"
	"github.com/comfreyladder/comfreyladder/instance/trace"
)

const answerIDPrefix = "chatcmpl-"

// hangUpNotifier is a connection that reports immediately when the peer disconnects.
type hangUpNotifier interface{ HangUp() <-chan struct{} }

// exchange is one model request and its measurements.
type exchange struct {
	g          *Gateway
	id         string
	org        *intent.Organisation
	class      *intent.Class
	req        *chat.Request
	run        *dispatch.Run
	watch      *quarantine.Watch
	cancel     context.CancelFunc
	start      time.Time
	firstToken time.Duration
	tokens     int
	// attemptID is the ID of the attempt whose chunks are being sent.
	attemptID string
}

func (g *Gateway) chat(ctx *fasthttp.RequestCtx, c *caller, id string) (streaming bool, err error) {
	start := time.Now()
	req, err := chat.ParseRequest(ctx.PostBody())
	if err != nil {
		return false, err
	}
	class, err := classOf(c, req)
	if err != nil {
		return false, err
	}
	if err := admitsModel(c, req.Model); err != nil {
		return false, err
	}
	x := &exchange{g: g, id: id, org: c.org, class: class, req: req, start: start}
	if err := g.checkDrain(x.deadline()); err != nil {
		return false, err
	}
	x.startRun(ctx.Conn(), g.permit(c, x.admits), g.watch(x, ctx.PostBody()))
	if req.Stream {
		return x.serveStream(ctx)
	}
	return false, x.serveCompletion(ctx)
}

// classOf returns the class in which a request is served.
func classOf(c *caller, req *chat.Request) (*intent.Class, error) {
	name := req.ServiceTier
	if name == "" || name == "auto" || name == "default" {
		name = c.org.DefaultClass
	}
	return findClass(c, name)
}

// findClass returns the named class, which the caller must be allowed to use.
func findClass(c *caller, name string) (*intent.Class, error) {
	if !contains(c.org.Classes, name) {
		return nil, fault.New(fault.Forbidden, "service_tier: organisation %q may not use class %q", c.org.Name, name)
	}
	class := c.view.Document.Class(name)
	if class == nil {
		return nil, fault.New(fault.Internal, "class %q is not in its own revision", name)
	}
	return class, nil
}

func admitsModel(c *caller, name string) error {
	if c.view.Document.Model(name) == nil {
		return fault.New(fault.NotFound, "model %q is not declared", name)
	}
	return nil
}

// admits fails if the caller may no longer make the request in its class.
func (x *exchange) admits(c *caller) error {
	if _, err := findClass(c, x.class.Name); err != nil {
		return err
	}
	return admitsModel(c, x.req.Model)
}

// deadline returns when the request ends at the latest, zero if its class has no deadline.
func (x *exchange) deadline() time.Time {
	if x.class.Deadline <= 0 {
		return time.Time{}
	}
	return x.start.Add(x.class.Deadline)
}

// startRun starts the run under a context that ends at the class's deadline or when the
// caller disconnects, so that engines do not work on answers that nobody reads.
func (x *exchange) startRun(conn net.Conn, p *permit, w *quarantine.Watch) {
	ctx, cancel := context.WithCancel(context.Background())
	deadline := x.deadline()
	if !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, deadline)
	}
	x.cancel = cancel
	if h, ok := conn.(hangUpNotifier); ok {
		go cancelOnHangUp(ctx, h, cancel)
	}
	x.g.cfg.Trace.Begin(trace.Record{ID: x.id, Organisation: x.org.Name, Class: x.class.Name, Model: x.req.Model, Arrived: x.start})
	maxTokens := smallerBound(x.req.MaxTokens, x.class.MaxTokens)
	job := &dispatch.Job{
		ID:          x.id,
		Class:       x.class,
		Restartable: !x.req.Stream,
		Permit:      p.check,
		Ticket: sched.Ticket{
			Instance:     x.g.cfg.Instance,
			Organisation: x.org.Name,
			Class:        x.class.Name,
			Model:        x.req.Model,
			PromptTokens: x.req.PromptTokens(),
			PrefixHashes: prefix.Hashes(x.req.PromptText()),
			MaxTokens:    maxTokens,
			Arrived:      x.start,
			Deadline:     deadline,
		},
		Body: func(priority int) ([]byte, error) { return x.req.Upstream(priority, maxTokens) },
	}
	if x.watch = w; w != nil {
		job.Watch = w
		job.Permit = func() error {
			if err := p.check(); err != nil {
				return err
			}
			return w.Permit()
		}
	}
	x.run = x.g.cfg.Dispatcher.Start(ctx, job)
}

// watch returns what follows a request through the quarantine; nil if there is none. The parts of its prompt are
// its messages but the last.
func (g *Gateway) watch(x *exchange, body []byte) *quarantine.Watch {
	if g.cfg.Guard == nil {
		return nil
	}
	c := quarantine.Content{
		Fingerprint:  corequarantine.FingerprintOf("", PathChat, x.org.Name, body),
		Organisation: x.org.Name, Target: PathChat,
	}
	for _, text := range x.req.Contents[:len(x.req.Contents)-1] {
		c.Parts = append(c.Parts, corequarantine.FingerprintOfPart(x.req.Model, []byte(text)))
	}
	return g.cfg.Guard.Watch(c)
}

func cancelOnHangUp(ctx context.Context, h hangUpNotifier, cancel context.CancelFunc) {
	select {
	case <-h.HangUp():
		cancel()
	case <-ctx.Done():
	}
}

// smallerBound returns the smaller of two bounds, where 0 means unbounded.
func smallerBound(a, b int) int {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// next returns the next event of the answer, valid until the next call.
func (x *exchange) next() (dispatch.Event, error) {
	ev, err := x.run.Next()
	if err != nil {
		return ev, err
	}
	if x.attemptID != ev.AttemptID {
		x.attemptID = ev.AttemptID
		x.tokens = 0
	}
	if x.firstToken == 0 {
		x.firstToken = time.Since(x.start)
	}
	x.tokens += ev.Head.Tokens
	return ev, nil
}

func (x *exchange) serveCompletion(ctx *fasthttp.RequestCtx) error {
	answer, err := x.assemble()
	x.finish(err, telemetry.CauseDeadline)
	if err != nil {
		return err
	}
	httpapi.WriteJSON(ctx, fasthttp.StatusOK, answer)
	return nil
}

func (x *exchange) assemble() (*chat.Completion, error) {
	asm := &chat.Assembler{}
	attempt := ""
	for {
		ev, err := x.next()
		if errors.Is(err, io.EOF) {
			return asm.Completion(answerIDPrefix + x.id), nil
		}
		if err != nil {
			return nil, err
		}
		if attempt != x.attemptID {
			attempt = x.attemptID
			asm = &chat.Assembler{}
		}
		c, err := chat.ParseChunk(ev.Data)
		if err != nil {
			return nil, err
		}
		asm.Add(c)
	}
}

// finish closes the run and records the outcome of the request.
func (x *exchange) finish(err error, cause telemetry.Cause) {
	if fault.CodeOf(err) == fault.DeadlineExceeded {
		cause = telemetry.CauseDeadline
	}
	x.run.Close(cause)
	if x.watch != nil {
		x.watch.Close()
	}
	x.cancel()
	code := string(fault.CodeOf(err))
	total := time.Since(x.start)
	x.g.cfg.Telemetry.Observe(&telemetry.Observation{
		Organisation: x.org.Name, Class: x.class, Code: code,
		Queue: x.run.Queued(), FirstToken: x.firstToken, Total: total, Tokens: x.tokens,
	})
	outcome := code
	if outcome == "" {
		outcome = "done"
	}
	x.g.cfg.Trace.End(x.id, outcome, x.tokens)
	ev := x.g.cfg.Log.Info()
	if err != nil {
		ev = x.g.failures.event(x.g.cfg.Log, time.Now(), err)
	}
	ev.Str("request", x.id).Str("organisation", x.org.Name).Str("class", x.class.Name).Str("outcome", outcome).
		Int("tokens", x.tokens).Dur("queue", x.run.Queued()).Dur("first_token", x.firstToken).Dur("total", total).Msg("request ended")
}
