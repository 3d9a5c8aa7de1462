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

// Call is one call of a plain service.
type Call struct {
	// RequestID identifies this attempt. Every attempt has its own ID.
	RequestID string
	Method    string
	// Path is the path including the query.
	Path    string
	Headers []Header
	Body    []byte
	// Fresh requests a new connection instead of a pooled one.
	Fresh bool
	// AllowNoID accepts an answer without a request ID. Its connection is closed after the
	// answer. An answer with another ID is always refused.
	AllowNoID bool
	// NotAfter, if set, is the time of instance/clock after which no byte of the request
	// may reach the upstream, for example the end of the lease under which it is sent. The
	// call ends at that time as well, and its connection is not reused.
	NotAfter time.Time
	// AnswerLater permits the answer to arrive after NotAfter if the request was sent
	// before.
	AnswerLater bool
	// Permit, if set, is asked right before the request is written, also after a long wait for the
	// connection. If it fails, nothing is sent.
	Permit func() error
	// Continuation marks a call about work that the upstream already has: it is also sent to an
	// upstream that leaves.
	Continuation bool
}

// Answer is the complete answer to a Call, of any status.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

type options struct {
	fresh     bool
	allowNoID bool
	notAfter  time.Time
	permit    func() error
	// promptHeader means that a healthy upstream sends the header of its answer immediately.
	promptHeader bool
	// resumable means that the answer can be fetched over another connection.
	resumable bool
	// continuation means that the request is about work that the upstream already has.
	continuation bool
}

// firstByte returns the timeout for the answer's header.
func (o options) firstByte(c Config, reused bool) time.Duration {
	if o.promptHeader || o.resumable && reused {
		return min(c.FirstByte, c.ReadTimeout)
	}
	return c.FirstByte
}

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
	"Host": true, HeaderRequestID: true, "User-Agent": true,
}

// Do makes one plain call and returns its complete answer, of any status. Only the documented
// refusal is returned as an *AttemptError with Evidence Refused. All other errors are of type
// *AttemptError as well.
func (c *Client) Do(ctx context.Context, t Target, call Call) (*Answer, error) {
	if !validPath(call.Path) || call.Method == "" {
		return nil, notSent(t, fault.New(fault.Invalid, "%s %q is not a valid request line", call.Method, call.Path), "invalid call")
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
	opt := options{fresh: call.Fresh, allowNoID: call.AllowNoID, notAfter: call.NotAfter, permit: call.Permit, continuation: call.Continuation}
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
	if a.reportsNotRun() {
		return nil, a.refusal()
	}
	if failed := a.readBody(c.cfg.MaxAnswer); failed != nil {
		a.abandonFailed(failed)
		return nil, failed
	}
	out := a.answer()
	a.finish()
	return out, nil
}

func (a *attempt) answer() *Answer {
	out := &Answer{Status: a.head.Status, Body: a.content}
	for i := range a.head.Fields {
		f := &a.head.Fields[i]
		if name := canonical(string(f.Name)); !hopHeaders[name] {
			out.Headers = append(out.Headers, Header{Name: name, Value: string(f.Value)})
		}
	}
	return out
}

// validPath protects the request line: a space or line break in the path would start another
// header or request on the connection.
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
