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

// Path of links on the peer listener.
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

// handshakeTimeout bounds how long an unauthenticated peer may hold a
// connection.
const handshakeTimeout = 2 * time.Second

// earlyThen reads what r has buffered and then next.
func earlyThen(r *bufio.Reader, next io.Reader) io.Reader {
	early, _ := r.Peek(r.Buffered())
	kept := bytes.Clone(early)
	ws.PutReader(r)
	return io.MultiReader(bytes.NewReader(kept), next)
}

// accept serves one connection from another instance.
func (s *Service) accept(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.cfg.ServerTLS != nil {
		conn = tls.Server(conn, s.cfg.ServerTLS)
	}
	name, err := s.upgrade(conn)
	if err != nil {
		s.stats.refused.Add(1)
		s.log.Warn().Err(err).Str("remote", conn.RemoteAddr().String()).Msg("link refused")
		return
	}
	w := s.newWire(conn, name, newQueue(s.cfg.QueueItems, s.cfg.QueueBytes, &s.queued), nil)
	defer w.out.close()
	w.in = bufio.NewReaderSize(heard{w}, bufferSize)
	in := newInbound(s, w)
	w.handle = in.receive
	ended := context.AfterFunc(ctx, w.close)
	defer ended()
	in.start(ctx)
	defer in.stop()
	err = w.run()
	s.log.Debug().Err(err).Str("peer", name).Msg("accepted link ended")
}

// upgrade checks the credential and returns the peer's name.
func (s *Service) upgrade(conn net.Conn) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "handshake")
	}
	var name string
	allowed := s.cfg.Open
	upgrader := ws.Upgrader{
		OnRequest: func(uri []byte) error {
			if string(uri) != Path {
				return ws.RejectConnectionError(ws.RejectionStatus(statusNotFound))
			}
			return nil
		},
		OnHeader: func(key, value []byte) error {
			switch {
			case bytes.EqualFold(key, []byte(authHeader)):
				allowed = s.cfg.Open || s.knows(value)
			case bytes.EqualFold(key, []byte(instanceHeader)):
				name = string(value)
			}
			return nil
		},
		OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
			if !allowed || name == "" {
				return nil, ws.RejectConnectionError(ws.RejectionStatus(statusUnauthorized))
			}
			return nil, nil
		},
	}
	if _, err := upgrader.Upgrade(conn); err != nil {
		code := fault.Unavailable
		if !allowed {
			code = fault.Unauthenticated
		}
		return "", fault.Wrap(errors.WithStack(err), code, "handshake")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return "", fault.Wrap(err, fault.Unavailable, "handshake")
	}
	return name, nil
}

// knows compares the hash of a credential with all accepted ones in constant
// time, so that neither the place of the first wrong byte nor which of them
// matches shows in the time taken.
func (s *Service) knows(value []byte) bool {
	credential, ok := bytes.CutPrefix(value, []byte(bearer))
	if !ok {
		return false
	}
	sum := sha256.Sum256(credential)
	match := 0
	for i := range s.cfg.Accept {
		match |= subtle.ConstantTimeCompare(sum[:], s.cfg.Accept[i][:])
	}
	return match == 1
}
