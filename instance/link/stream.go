package link

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/url"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// StreamPath is the URL path of byte streams on the peer listener.
const StreamPath = "/v1/stream"

const targetField = "target"

// Stream is one byte stream from another instance.
type Stream interface {
	// Serve serves the stream on a connection whose handshake is complete, and returns when it has
	// ended. The connection is closed afterwards.
	Serve(conn net.Conn)
	// Close gives up a stream whose handshake failed.
	Close()
}

// StreamOpener prepares a stream to a target on behalf of another instance. An error of RejectStream
// is passed to that instance.
type StreamOpener func(ctx context.Context, from, target string) (Stream, error)

// RejectStream returns an error that rejects a stream with an HTTP status.
func RejectStream(status int, reason string) error {
	return ws.RejectConnectionError(ws.RejectionStatus(status), ws.RejectionReason(reason))
}

// HandleStreams registers the opener of streams; it must be called before Start.
func (s *Service) HandleStreams(open StreamOpener) { s.streams = open }

// target returns the target of a stream's handshake, given the request URI.
func target(uri []byte) (string, bool) {
	u, err := url.ParseRequestURI(string(uri))
	if err != nil || u.Path != StreamPath {
		return "", false
	}
	return u.Query().Get(targetField), true
}

// RejectedStream returns the HTTP status by which the other instance rejected a stream; zero if the
// error has another cause.
func RejectedStream(err error) int {
	var status ws.StatusError
	if errors.As(err, &status) {
		return int(status)
	}
	return 0
}

// OpenStream opens a byte stream to a target through another instance: a connection that carries
// WebSocket frames, of which buffered holds those that have arrived; nil for none.
func (s *Service) OpenStream(ctx context.Context, to, target string) (conn net.Conn, buffered *bufio.Reader, err error) {
	address, ok := s.cfg.Book.Address(to)
	if !ok {
		return nil, nil, fault.New(fault.NotFound, "the address of instance %s is unknown", to)
	}
	scheme := "ws://"
	if s.cfg.ClientTLS != nil {
		scheme = "wss://"
	}
	dialer := ws.Dialer{
		Timeout: s.cfg.DialTimeout, TLSConfig: s.cfg.ClientTLS,
		NetDial: tcpconn.Dial,
		Header: ws.HandshakeHeaderHTTP(http.Header{
			authHeader: []string{bearer + s.cfg.Credential}, instanceHeader: []string{s.cfg.Self},
		}),
	}
	conn, buffered, err = dialWebSocket(ctx, dialer, scheme+address+StreamPath+"?"+targetField+"="+url.QueryEscape(target))
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Unavailable, "open a stream through %s", to)
	}
	return conn, buffered, nil
}
