package overhead_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// The test binary starts itself again as the engine and as the bare forwarder,
// so that each has a process, and its processor time, of its own.
const (
	roleVariable    = "OVERHEAD_ROLE"
	roleEngine      = "engine"
	roleForwarder   = "forwarder"
	targetsVariable = "OVERHEAD_TARGET"
	events          = 16
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case roleEngine:
		serve(engine)
	case roleForwarder:
		serve(forwarder(os.Getenv(targetsVariable)))
	default:
		os.Exit(m.Run())
	}
}

func serve(h fasthttp.RequestHandler) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	_ = (&fasthttp.Server{Handler: h, NoDefaultServerHeader: true}).Serve(ln)
}

// engine answers with a stream whose events are there at once, or with one event
// and no end when the prompt says "hold".
func engine(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	hold := strings.Contains(string(ctx.PostBody()), `"hold"`)
	ctx.Response.Header.Set("X-Request-Id", id)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for n := 1; n <= events; n++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token %d \"},\"finish_reason\":null}]}\n\n", n, id, n)
			if hold {
				_ = w.Flush()
				time.Sleep(time.Hour)
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// forwarder passes requests and streamed answers on, and does nothing else.
func forwarder(target string) fasthttp.RequestHandler {
	client := &fasthttp.HostClient{Addr: target, MaxConns: 4096, StreamResponseBody: true}
	return func(ctx *fasthttp.RequestCtx) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		ctx.Request.CopyTo(req)
		req.SetHost(target)
		req.Header.Set("X-Request-Id", "bare")
		if err := client.Do(req, resp); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		ctx.SetStatusCode(resp.StatusCode())
		ctx.SetContentTypeBytes(resp.Header.ContentType())
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			defer fasthttp.ReleaseResponse(resp)
			_, _ = io.Copy(w, resp.BodyStream())
			_ = resp.CloseBodyStream()
		})
	}
}
