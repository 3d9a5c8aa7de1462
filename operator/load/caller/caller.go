// Package caller is the caller's side of the published streaming format. It
// sends each request once, on a connection of its own, and checks that the
// answer is whole and belongs to the request.
package caller

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

const (
	completionsPath = "/v1/chat/completions"
	doneMarker      = "[DONE]"
)

// Call is one request to one address.
type Call struct {
	Address string
	Request *load.Request
	// ID is sent as X-Request-Id; empty means the request's own.
	ID string
	// Priority is sent to engines; the router sets its own.
	Priority int
	// Arrived is the planned arrival from which all times count.
	Arrived time.Time
}

// Do sends the request and returns its outcome. When ctx is done the connection
// is closed, by which the other side learns that the caller gave up.
func Do(ctx context.Context, c Call) load.Outcome {
	a := &answer{call: c}
	err := a.run(ctx)
	o := load.Outcome{ID: a.id, Tokens: a.tokens, FirstToken: a.first, Total: time.Since(c.Arrived)}
	if a.tokens > 1 {
		o.Between = (a.last - a.first) / time.Duration(a.tokens-1)
	}
	switch {
	case err == nil:
		o.Verdict, o.Detail = a.verify()
	case ctx.Err() != nil:
		o.Verdict = load.Expired
	case fault.CodeOf(err) == fault.NotRun:
		o.Verdict, o.Detail = load.NotRun, err.Error()
	default:
		o.Verdict, o.Detail = load.Broken, err.Error()
	}
	return o
}

// answer collects what comes back.
type answer struct {
	call   Call
	id     string
	text   strings.Builder
	tokens int
	ended  bool
	first  time.Duration
	last   time.Duration
}

func (a *answer) run(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", a.call.Address)
	if err != nil {
		return fault.Wrap(err, fault.NotRun, "no connection")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := a.send(conn); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	resp, err := receive(r)
	if err != nil {
		return err
	}
	a.id = string(resp.head.Get(httpapi.HeaderRequestID))
	if resp.head.Status != fasthttp.StatusOK {
		return refusal(resp)
	}
	return a.events(bufio.NewReader(&resp.body))
}

func (a *answer) send(conn net.Conn) error {
	body, err := a.call.Request.Body(a.call.Priority)
	if err != nil {
		return err
	}
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + a.call.Address + completionsPath)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+a.call.Request.Key)
	req.Header.Set("X-Request-Id", cmp.Or(a.call.ID, a.call.Request.ID))
	req.SetConnectionClose()
	req.SetBodyRaw(body)
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return fault.Wrap(err, fault.OutcomeUnknown, "send")
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(err, fault.OutcomeUnknown, "send")
	}
	return nil
}

// refusal turns an answer without a stream into a failure. Only the statuses by
// which router and engines say that nothing ran count as not run.
func refusal(resp *response) error {
	content, err := resp.content()
	if err != nil {
		return err
	}
	var body struct {
		Error struct {
			Code    fault.Code `json:"code"`
			Message string     `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(content, &body)
	code := body.Error.Code
	switch code {
	case fault.NotRun, fault.Overloaded, fault.Draining:
		code = fault.NotRun
	}
	if resp.notRun() {
		code = fault.NotRun
	}
	if code == "" {
		code = fault.OutcomeUnknown
	}
	return fault.New(code, "status %d: %s: %s", resp.head.Status, body.Error.Code, body.Error.Message)
}

// chunk is what the caller reads of an event.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code    fault.Code `json:"code"`
		Message string     `json:"message"`
	} `json:"error"`
}

func (a *answer) events(r *bufio.Reader) error {
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) && a.ended {
			return nil
		}
		if err != nil {
			return fault.Wrap(err, fault.StreamBroken, "after %d tokens", a.tokens)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		if err := a.event(bytes.TrimSpace(data)); err != nil {
			return err
		}
		if a.ended {
			return nil
		}
	}
}

func (a *answer) event(data []byte) error {
	if string(data) == doneMarker {
		a.ended = true
		return nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fault.Wrap(err, fault.Corrupt, "event is no chunk")
	}
	if c.Error != nil {
		return fault.New(c.Error.Code, "%s", c.Error.Message)
	}
	for _, ch := range c.Choices {
		if ch.Delta.Content == "" {
			continue
		}
		a.text.WriteString(ch.Delta.Content)
		a.tokens++
		a.last = time.Since(a.call.Arrived)
		if a.tokens == 1 {
			a.first = a.last
		}
	}
	return nil
}

// verify compares an answer that ended cleanly with the one that it must be.
func (a *answer) verify() (load.Verdict, string) {
	r := a.call.Request
	if a.text.String() == engine.Answer(r.Prompt(), r.Tokens) {
		return load.Complete, ""
	}
	if a.tokens < r.Tokens {
		return load.Wrong, "clean end, but not the whole answer"
	}
	return load.Wrong, "not this request's answer"
}
