package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gobwas/ws"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/link"
)

// served is a tunnel that this instance serves for another one.
type served struct {
	s        *Service
	upstream net.Conn
	// writeMu keeps frames whole; out is the end to the other instance, once its handshake is complete.
	writeMu sync.Mutex
	out     net.Conn
}

// open implements link.StreamOpener.
func (s *Service) open(ctx context.Context, _, target string) (link.Stream, error) {
	t, err := parseTarget(target)
	if err != nil || !s.cfg.Allow(t) {
		return nil, link.RejectStream(statusUnable, "unknown upstream")
	}
	v := &served{s: s}
	if !s.add(v) {
		return nil, link.RejectStream(statusUnable, "draining, or too many tunnels")
	}
	if v.upstream, err = s.cfg.Dial(ctx, t); err == nil {
		s.servedCount.Add(1)
		return v, nil
	}
	s.remove(v)
	switch {
	case fault.CodeOf(err) == fault.NotRun:
		return nil, link.RejectStream(statusUnable, "cut off")
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, link.RejectStream(statusRefused, "refused")
	}
	return nil, link.RejectStream(statusSilent, "no answer")
}

// add counts a tunnel and reports whether it may be served.
func (s *Service) add(v *served) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.serving) >= maxTunnels {
		return false
	}
	s.serving[v] = struct{}{}
	return true
}

func (s *Service) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Service) remove(v *served) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.serving, v)
	if len(s.serving) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// Close implements link.Stream.
func (v *served) Close() {
	_ = v.upstream.Close()
	v.s.remove(v)
}

// Serve implements link.Stream.
func (v *served) Serve(conn net.Conn) {
	defer v.Close()
	v.writeMu.Lock()
	v.out = conn
	v.writeMu.Unlock()
	v.touch()
	if v.s.isDraining() {
		// The drain may have begun before there was a connection to say so on.
		_ = v.write(ws.NewPingFrame(nil))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.copyToUpstream()
		// The other instance has closed the tunnel: the upstream must not work on for it.
		_ = v.upstream.Close()
	}()
	v.copyFromUpstream()
	_ = conn.Close()
	<-done
}

// touch records that bytes have passed.
func (v *served) touch() {
	_ = v.out.SetReadDeadline(time.Now().Add(maxIdle))
	_ = v.out.SetWriteDeadline(time.Now().Add(maxIdle))
}

func (v *served) copyToUpstream() {
	in := bufio.NewReaderSize(v.out, maxFrame)
	buf := make([]byte, maxFrame)
	for {
		h, err := ws.ReadHeader(in)
		if err != nil || h.OpCode != ws.OpBinary {
			return
		}
		v.touch()
		for at := 0; int64(at) < h.Length; {
			n, err := in.Read(buf[:min(int64(len(buf)), h.Length-int64(at))])
			if err != nil {
				return
			}
			ws.Cipher(buf[:n], h.Mask, at)
			at += n
			if _, err := v.upstream.Write(buf[:n]); err != nil {
				return
			}
		}
	}
}

func (v *served) copyFromUpstream() {
	buf := make([]byte, maxFrame)
	for {
		n, err := v.upstream.Read(buf)
		if n > 0 && v.write(ws.NewBinaryFrame(buf[:n])) != nil {
			return
		}
		if errors.Is(err, io.EOF) {
			_ = v.write(ws.NewCloseFrame(ws.NewCloseFrameBody(ws.StatusNormalClosure, "")))
		}
		if err != nil {
			return
		}
	}
}

func (v *served) write(f ws.Frame) error {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	if v.out == nil {
		return nil
	}
	v.touch()
	return writeFrame(v.out, f)
}
