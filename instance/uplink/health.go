package uplink

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/http1"
)

const (
	// maxDiscarded bounds the rest of an answer that is read, in bytes, and discardTimeout the time that
	// this takes: then the upstream sees an orderly end.
	maxDiscarded   = 16 << 10
	discardTimeout = 200 * time.Millisecond
)

// healthRequest returns the request of a check. It belongs to no caller and carries nothing of one.
func healthRequest(c Candidate) []byte {
	line := "OPTIONS * HTTP/1.1"
	if validPath(c.HealthPath) {
		line = "GET " + c.HealthPath + " HTTP/1.1"
	}
	return []byte(line + "\r\nHost: " + c.Address + "\r\nConnection: close\r\n\r\n")
}

// validPath protects the request line: a space or line break would begin another field or request.
func validPath(path string) bool {
	for _, b := range []byte(path) {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return strings.HasPrefix(path, "/")
}

// finish reads the rest of an answer, of which the first byte was read, and closes the connection.
func (s *Service) finish(nc net.Conn, first [1]byte, c Candidate) {
	if s.cfg.OnHealthField == nil || !validPath(c.HealthPath) {
		discard(nc)
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetReadDeadline(time.Now().Add(discardTimeout))
	in := bufio.NewReader(io.MultiReader(bytes.NewReader(first[:]), io.LimitReader(nc, maxDiscarded)))
	var head http1.Head
	if head.ReadResponse(in, maxDiscarded, "GET") != nil {
		return
	}
	if value := head.Get(s.cfg.HealthField); len(value) > 0 {
		s.cfg.OnHealthField(c.Target, string(value))
	}
	_, _ = io.Copy(io.Discard, in)
}

// discard reads the rest of an answer and closes the connection.
func discard(nc net.Conn) {
	_ = nc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, nc, maxDiscarded)
	_ = nc.Close()
}

// distrustable is a connection through another instance that can be told to use others first.
type distrustable interface{ Distrust() }

// Distrust records that no answer came over a connection. If it leads through another instance, that one
// is passed over for a while.
func Distrust(nc net.Conn) {
	if d, ok := nc.(distrustable); ok {
		d.Distrust()
	}
}

// tunnelled is a try through another instance; conn is nil until it is connected.
type tunnelled struct {
	conn  atomic.Pointer[net.Conn]
	ended atomic.Bool
}

// distrust distrusts the other instance if no answer has come yet.
func (t *tunnelled) distrust() {
	if nc := t.conn.Load(); nc != nil && !t.ended.Load() {
		Distrust(*nc)
	}
}
