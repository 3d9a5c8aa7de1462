package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

const (
	streamsPath = "/v1/streams/"
	// keepAlive is how often a stream without tokens gets an SSE comment, by
	// which a reader that hung up is noticed.
	keepAlive = 500 * time.Millisecond
	maxID     = 256
	// crashDelay is how long the engine reads a request on which it crashes.
	crashDelay = 20 * time.Millisecond
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		e.handleStandin(ctx, path)
		return
	}
	if e.Faults().Silent {
		<-e.done
		_ = ctx.Conn().Close()
		return
	}
	method := string(ctx.Method())
	switch {
	case method == "POST" && path == "/v1/chat/completions":
		e.handleCompletion(ctx)
	case strings.HasPrefix(path, streamsPath):
		e.handleStream(ctx, method, strings.TrimPrefix(path, streamsPath))
	case method == "GET" && path == "/v1/load":
		e.mu.Lock()
		load := e.loadAt(time.Now())
		e.mu.Unlock()
		host.Reply(ctx, fasthttp.StatusOK, load)
	case method == "POST" && path == "/v1/orders":
		e.handleOrder(ctx)
	case method == "GET" && path == "/v1/orders":
		e.handleOrderState(ctx)
	case method == "GET" && path == "/v1/models":
		e.handleModels(ctx)
	default:
		host.Refuse(ctx, fasthttp.StatusNotFound, fault.NotFound, "no such path")
	}
}

func (e *Engine) handleStandin(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/standin/counters":
		host.Reply(ctx, fasthttp.StatusOK, e.Counters())
	case "/standin/faults":
		f := e.Faults()
		if ctx.IsPost() {
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				host.Refuse(ctx, fasthttp.StatusBadRequest, fault.Invalid, "body is no set of faults")
				return
			}
			e.SetFaults(f)
		}
		host.Reply(ctx, fasthttp.StatusOK, f)
	default:
		host.Refuse(ctx, fasthttp.StatusNotFound, fault.NotFound, "no such path")
	}
}

// modelList is the published answer of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) handleModels(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	models := e.orders.served(time.Now())
	e.mu.Unlock()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model"})
	}
	host.Reply(ctx, fasthttp.StatusOK, list)
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	req, err := parse(ctx.PostBody())
	if err != nil {
		host.Refuse(ctx, fasthttp.StatusBadRequest, fault.Invalid, err.Error())
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if id == "" || len(id) > maxID {
		host.Refuse(ctx, fasthttp.StatusBadRequest, fault.Invalid, "X-Request-Id is needed")
		return
	}
	if text := e.Faults().CrashOn; text != "" && bytes.Contains(ctx.PostBody(), []byte(text)) {
		time.Sleep(crashDelay)
		e.Crash()
		return
	}
	s := newStream(id, req)
	if why := e.accept(s); why != "" {
		host.Refuse(ctx, fasthttp.StatusServiceUnavailable, fault.NotRun, why)
		ctx.Response.Header.Set("X-Request-Id", id)
		return
	}
	answered := e.cross(s)
	ctx.Response.Header.Set("X-Request-Id", answered.id)
	if req.Stream {
		e.serve(ctx, s, answered, 0)
		return
	}
	e.whole(ctx, s, answered)
}

// accept queues s with its first reader, or says why it does not run.
func (e *Engine) accept(s *stream) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	why := ""
	switch {
	case e.stopping:
		why = "the engine is shutting down"
	case e.faults.Refuse:
		why = "the engine refuses work"
	case !e.orders.serves(s.model, time.Now()):
		why = "the model is not loaded"
	case e.config.QueueLimit > 0 && len(e.waiting) >= e.config.QueueLimit:
		why = "the waiting queue is full"
	}
	if why != "" {
		e.counters.Refused++
		return why
	}
	s.readers = 1
	e.enqueue(s)
	return ""
}

// cross returns the stream whose answer is sent in place of s's: s itself, or
// by the fault Crossed that of some other request.
func (e *Engine) cross(s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Crossed == 0 || e.rng.Float64() >= e.faults.Crossed {
		return s
	}
	for _, o := range e.running {
		if o != s {
			return o
		}
	}
	other := newStream("of-nobody", &request{Model: s.model, Messages: []message{{Content: "crossed " + s.id}}})
	other.complete = true
	other.produced = other.tokens
	return other
}

func (e *Engine) handleStream(ctx *fasthttp.RequestCtx, method, id string) {
	e.mu.Lock()
	s := e.streams[id]
	if s != nil && method == "DELETE" {
		e.cancel(s)
	}
	ok := s != nil && !s.cancelled
	if ok && method == "GET" {
		s.readers++
		e.counters.Resumed++
	}
	e.mu.Unlock()
	switch {
	case s != nil && method == "DELETE":
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case !ok:
		host.Refuse(ctx, fasthttp.StatusNotFound, fault.NotFound, "the stream is not kept")
	case method == "GET":
		after, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
		ctx.Response.Header.Set("X-Request-Id", id)
		e.serve(ctx, s, s, max(after, 0))
	default:
		host.Refuse(ctx, fasthttp.StatusMethodNotAllowed, fault.Invalid, "GET or DELETE")
	}
}

// left notes that a reader of s is gone.
func (e *Engine) left(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.lastRead = time.Now()
}

// serve streams the events of answered after the given one, as a reader of s.
func (e *Engine) serve(ctx *fasthttp.RequestCtx, s, answered *stream, after int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.left(s)
		if !e.pump(w, answered, after) {
			_ = conn.Close()
		}
	})
}

// cut ends the connection after what was written so far.
func cut(w *bufio.Writer) {
	_ = w.Flush()
	_, _ = w.WriteString(host.Cut)
	_ = w.Flush()
}

// pump writes events until the stream ends or is cut on purpose, and reports whether
// it did; otherwise the connection is to be closed.
func (e *Engine) pump(w *bufio.Writer, s *stream, after int) bool {
	sent := after
	idle := time.NewTicker(keepAlive)
	defer idle.Stop()
	for {
		e.mu.Lock()
		ready, changed, cancelled := s.ready(), s.changed, s.cancelled
		breakAfter := e.faults.BreakAfter
		silent := e.faults.Silent
		e.mu.Unlock()
		for ; !silent && sent < ready; sent++ {
			if breakAfter > 0 && sent-after >= breakAfter {
				cut(w)
				return true
			}
			if _, err := w.Write(s.event(sent + 1)); err != nil {
				return false
			}
		}
		if err := w.Flush(); err != nil || cancelled {
			return false
		}
		if sent >= s.events() {
			return true
		}
		select {
		case <-changed:
		case <-e.done:
			return false
		case <-idle.C:
			if !silent {
				_, _ = w.WriteString(": waiting\n\n")
			}
		}
	}
}

// whole waits for the end and answers without a stream.
func (e *Engine) whole(ctx *fasthttp.RequestCtx, s, answered *stream) {
	defer e.left(s)
	for {
		e.mu.Lock()
		complete, cancelled, changed := answered.complete, answered.cancelled, answered.changed
		e.mu.Unlock()
		if complete {
			host.Reply(ctx, fasthttp.StatusOK, answered.completion())
			return
		}
		if cancelled {
			host.Refuse(ctx, fasthttp.StatusGatewayTimeout, fault.Canceled, "the request was canceled")
			return
		}
		select {
		case <-changed:
		case <-e.done:
			_ = ctx.Conn().Close()
			return
		}
	}
}
