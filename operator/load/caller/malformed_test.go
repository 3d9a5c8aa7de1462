package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/caller"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// answering starts a server that answers each request with a text, and returns its address.
func answering(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, text)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against an experiment that counts an answer as a success though its connection was closed inside the head.
func TestCutHeadIsNoSuccess(t *testing.T) {
	RegisterTestingT(t)
	request := &load.Request{ID: "r", Class: &intent.Class{Name: "c"}, Tokens: 1}
	for _, head := range []string{"HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r", "HTTP/1.1 103 X\r\n\r\n"} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		o := caller.Do(ctx, caller.Call{Address: answering(t, head), Request: request, Arrived: time.Now()})
		c := caller.NewRemote([]string{answering(t, head)}).Call(ctx, &load.Call{Service: "s", Path: "/p", Key: "k", Timeout: time.Second}, time.Now())
		cancel()
		Expect(o.Verdict).To(Equal(load.Broken), head)
		Expect(c.Verdict).To(Equal(load.CallUnknown), head)
	}
}

// Guards against an experiment that counts an answer with a malformed head as a success.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	RegisterTestingT(t)
	request := &load.Request{ID: "r", Class: &intent.Class{Name: "c"}, Tokens: 1}
	event := fmt.Sprintf("data: {\"id\":\"x\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\ndata: [DONE]\n\n", engine.Answer(request.Prompt(), 1))
	outcomes := func(head string) (load.Verdict, load.CallVerdict) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		o := caller.Do(ctx, caller.Call{Address: answering(t, head+"\r\n"+event), Request: request, Arrived: time.Now()})
		m := caller.NewRemote([]string{answering(t, head+"Content-Length: 2\r\n\r\n{}")})
		c := m.Call(ctx, &load.Call{Service: "s", Path: "/p", Key: "k", Timeout: time.Second}, time.Now())
		return o.Verdict, c.Verdict
	}
	streamed, called := outcomes("HTTP/1.1 200 OK\r\n")
	Expect(streamed).To(Equal(load.Complete))
	Expect(called).To(Equal(load.CallDone))
	for _, head := range []string{"HTTP/1.1 000 X\r\n", "HTTP/1.1 099 X\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA : c\r\n", "HTTP/1.1 200 OK\r\nA\x01: c\r\n"} {
		streamed, called = outcomes(head)
		Expect(streamed).To(Equal(load.Broken), head)
		Expect(called).To(Equal(load.CallUnknown), head)
	}
}
