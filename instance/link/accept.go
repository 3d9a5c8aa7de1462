package link

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Path is the URL path of links on the peer listener.
const Path = "/v1/link"

const (
	authHeader     = "Authorization"
	instanceHeader = "X-Instance"
	bearer         = "Bearer "
)

const (
	statusUnauthorized = 401
	statusNotFound     = 404
)

// handshakeTimeout limits how long a peer that is not authenticated yet may hold a connection.
const handshakeTimeout = 2 * time.Second

// withBuffered returns a reader of the bytes that r has buffered, followed by next. It returns r
// to the pool of package ws.
func withBuffered(r *bufio.Reader, next io.Reader) io.Reader {
	buffered, _ := r.Peek(r.Buffered())
	copied := bytes.Clone(buffered)
	ws.PutReader(r)
	return io.MultiReader(bytes.NewReader(copied), next)
}

// accept serves a connection from another instance.
func (s *Service) accept(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.cfg.ServerTLS != nil {
		conn = tls.Server(conn, s.cfg.ServerTLS)
	}
	name, stream, err := s.upgrade(ctx, conn)
	if fault.CodeOf(err) == fault.NotRun {
		s.log.Debug().Err(err).Str("peer", name).Msg("stream rejected")
		return
	}
	if err != nil {
		s.stats.rejectedLinks.Add(1)
		s.log.Warn().Err(err).Str("remote", conn.RemoteAddr().String()).Msg("link rejected")
		return
	}
	if stream != nil {
		stream.Serve(conn)
		return
	}
	w := s.newConnection(conn, name, newQueue(s.cfg.QueueItems, s.cfg.QueueBytes, &s.sendBudget), nil)
	defer w.sendQueue.close()
	w.in = bufio.NewReaderSize(deadlineReader{w}, bufferSize)
	in := newInbound(s, w)
	w.handle = in.receive
	ended := context.AfterFunc(ctx, w.close)
	defer ended()
	in.start(ctx)
	defer in.stop()
	err = w.run()
	s.log.Debug().Err(err).Str("peer", name).Msg("accepted link ended")
}

// upgrade performs the WebSocket handshake, checks the credential and returns the peer's name. For a
// byte stream it returns its server as well.
func (s *Service) upgrade(ctx context.Context, conn net.Conn) (string, Stream, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", nil, fault.Wrap(err, fault.Unavailable, "handshake")
	}
	var name, streamTarget string
	var isStream, streamRejected bool
	var stream Stream
	allowed := s.cfg.AllowUnauthenticated
	upgrader := ws.Upgrader{
		OnRequest: func(uri []byte) error {
			if string(uri) == Path {
				return nil
			}
			if streamTarget, isStream = target(uri); !isStream || s.streams == nil {
				return ws.RejectConnectionError(ws.RejectionStatus(statusNotFound))
			}
			return nil
		},
		OnHeader: func(key, value []byte) error {
			switch {
			case bytes.EqualFold(key, []byte(authHeader)):
				allowed = s.cfg.AllowUnauthenticated || s.validCredential(value)
			case bytes.EqualFold(key, []byte(instanceHeader)):
				name = string(value)
			}
			return nil
		},
		OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
			if !allowed || name == "" {
				return nil, ws.RejectConnectionError(ws.RejectionStatus(statusUnauthorized))
			}
			if !isStream {
				return nil, nil
			}
			var err error
			stream, err = s.streams(ctx, name, streamTarget)
			streamRejected = err != nil
			return nil, err
		},
	}
	if _, err := upgrader.Upgrade(conn); err != nil {
		if stream != nil {
			stream.Close()
		}
		code := fault.Unavailable
		switch {
		case !allowed:
			code = fault.Unauthenticated
		case streamRejected:
			code = fault.NotRun
		}
		return name, nil, fault.Wrap(errors.WithStack(err), code, "handshake")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", nil, fault.Wrap(err, fault.Unavailable, "handshake")
	}
	return name, stream, nil
}

// validCredential compares the hash of a credential with all accepted hashes in constant time, so
// that the duration reveals neither the position of the first wrong byte nor which hash matches.
func (s *Service) validCredential(value []byte) bool {
	credential, ok := bytes.CutPrefix(value, []byte(bearer))
	if !ok {
		return false
	}
	sum := sha256.Sum256(credential)
	match := 0
	for i := range s.cfg.AcceptedHashes {
		match |= subtle.ConstantTimeCompare(sum[:], s.cfg.AcceptedHashes[i][:])
	}
	return match == 1
}
