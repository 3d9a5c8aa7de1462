package upstream

import (
	"context"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Header is one header field of a plain call or its answer.
type Header struct {
	Name  string `json:"name" codec:"name"`
	Value string `json:"value" codec:"value"`
}

// Call is one plain call.
type Call struct {
	// RequestID names this attempt; every attempt has an ID of its own.
	RequestID string
	Method    string
	// Path is the path with its query.
	Path    string
	Headers []Header
	Body    []byte
	// Fresh asks for a new connection instead of a pooled one.
	Fresh bool
	// AllowNoID accepts an answer that repeats no request ID. Its connection is
	// closed after the answer. An answer with another ID is always refused.
	AllowNoID bool
	// NotAfter, if set, is the time of instance/clock after which no byte of the request
	// may reach the upstream, such as the end of the lease under which it is sent. The
	// call ends then as well, and its connection is used for nothing else.
	NotAfter time.Time
	// AnswerLater lets the answer come after NotAfter, to a request that was sent before.
	AnswerLater bool
}

// Answer is the whole answer to a Call, whatever its status.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

type options struct {
	fresh     bool
	anonymous bool
	notAfter  time.Time
	// prompt says that an upstream that is well answers at once.
	prompt bool
	// resumable says that the answer can be had over another connection.
	resumable bool
}

// firstByte returns the bound on the wait for the answer's header.
func (o options) firstByte(c Config, reused bool) time.Duration {
	if o.prompt || o.resumable && reused {
		return min(c.FirstByte, c.MaxSilence)
	}
	return c.FirstByte
}

// hopHeaders are of one connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
	"Host": true, HeaderRequestID: true, "User-Agent": true,
}

// Do makes one plain call and returns its whole answer, of any status but the
// documented refusal, which is an *AttemptError with Evidence Refused. Any
// other error is an *AttemptError too.
func (c *Client) Do(ctx context.Context, t Target, call Call) (*Answer, error) {
	if !validPath(call.Path) || call.Method == "" {
		return nil, notSent(t, fault.New(fault.Invalid, "%s %q is no request line", call.Method, call.Path), "bad call")
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	for _, h := range call.Headers {
		if !hopHeaders[canonical(h.Name)] {
			req.Header.Add(h.Name, h.Value)
		}
	}
	req.SetBodyRaw(call.Body)
	opt := options{fresh: call.Fresh, anonymous: call.AllowNoID, notAfter: call.NotAfter}
	opt.fresh = opt.fresh || !opt.notAfter.IsZero()
	if !opt.notAfter.IsZero() && !call.AnswerLater {
		bounded, cancel := context.WithTimeout(ctx, clock.Until(opt.notAfter))
		defer cancel()
		ctx = bounded
	}
	a, failed := c.start(ctx, t, call.RequestID, req, opt)
	if failed != nil {
		return nil, failed
	}
	a.resp.SkipBody = call.Method == fasthttp.MethodHead
	if a.saysNotRun() {
		return nil, a.refusal()
	}
	if failed := a.readBody(c.cfg.MaxAnswer); failed != nil {
		a.lose(failed)
		return nil, failed
	}
	out := a.answer()
	a.finish()
	return out, nil
}

func (a *attempt) answer() *Answer {
	out := &Answer{Status: a.resp.StatusCode(), Body: append([]byte(nil), a.resp.Body()...)}
	for k, v := range a.resp.Header.All() {
		if name := string(k); !hopHeaders[name] {
			out.Headers = append(out.Headers, Header{Name: name, Value: string(v)})
		}
	}
	return out
}

// validPath guards the request line: a blank or a line end in the path would
// start another header or request on the connection.
func validPath(path string) bool {
	for _, b := range []byte(path) {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(path, "/")
}

func canonical(name string) string {
	return string(fasthttp.AppendNormalizedHeaderKey(nil, name))
}
