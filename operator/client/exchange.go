package client

import (
	"bufio"
	"crypto/tls"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/http1"
)

const (
	requestTimeout = 15 * time.Second
	// maxHead and maxContent limit the head and the body of an answer, in bytes.
	maxHead, maxContent = 64 << 10, 64 << 20
)

// exchange sends a request on a connection of its own and reads the answer. It fails with
// fault.Unavailable, or like http1.Head.ReadFinalResponse and http1.Body.ReadAll.
func (c *Client) exchange(req *fasthttp.Request) (status int, content []byte, err error) {
	conn, err := c.dial(req.URI(), time.Now().Add(requestTimeout))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = conn.Close() }()
	req.SetConnectionClose()
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return 0, nil, fault.Wrap(err, fault.Unavailable, "send the request")
	}
	if err := w.Flush(); err != nil {
		return 0, nil, fault.Wrap(err, fault.Unavailable, "send the request")
	}
	r := bufio.NewReader(conn)
	var head http1.Head
	if err := head.ReadFinalResponse(r, maxHead, string(req.Header.Method())); err != nil {
		return 0, nil, err
	}
	var body http1.Body
	body.Reset(r, &head)
	content, err = body.ReadAll(nil, maxContent)
	return head.Status, content, err
}

// dial opens a connection that ends at a deadline.
func (c *Client) dial(uri *fasthttp.URI, deadline time.Time) (net.Conn, error) {
	secure := string(uri.Scheme()) == "https"
	address := fasthttp.AddMissingPort(string(uri.Host()), secure)
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "connect to %s", address)
	}
	_ = conn.SetDeadline(deadline)
	if !secure {
		return conn, nil
	}
	config := c.TLS.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	return tls.Client(conn, config), nil
}
