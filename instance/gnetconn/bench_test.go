package gnetconn_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/instance/gnetconn"
)

// BenchmarkHTTP compares the requests per second of fasthttp on this package and on a plain
// listener, over 1 and 64 keep-alive connections.
func BenchmarkHTTP(b *testing.B) {
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }, Logger: discard{}}
	gnetListener, err := gnetconn.Listen("127.0.0.1:0", gnetconn.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = gnetListener.Close(context.Background()) }()
	go func() { _ = gnetListener.Serve(func(c net.Conn) { _ = server.ServeConn(c) }) }()
	plainListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = plainListener.Close() }()
	go func() { _ = server.Serve(plainListener) }()
	for _, conns := range []int{1, 64} {
		b.Run("plain-"+strconv.Itoa(conns), func(b *testing.B) { benchRequests(b, plainListener.Addr(), conns) })
		b.Run("gnetconn-"+strconv.Itoa(conns), func(b *testing.B) { benchRequests(b, gnetListener.Addr(), conns) })
	}
}

func benchRequests(b *testing.B, addr net.Addr, conns int) {
	client := &fasthttp.HostClient{Addr: addr.String(), MaxConns: conns}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for range conns {
		wg.Go(func() {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://" + addr.String() + "/")
			for range max(1, b.N/conns) {
				if err := client.Do(&req, &resp); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}
