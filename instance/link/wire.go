package link

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gobwas/ws"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// bufferSize of a connection's reader and writer, in bytes.
const bufferSize = 16 << 10

// wire is one WebSocket connection: a writer that drains a queue and sends
// heartbeats, and a reader that hands envelopes on.
type wire struct {
	s      *Service
	peer   string
	conn   net.Conn
	in     *bufio.Reader
	dialer bool // this side dialled, so it masks its frames (RFC 6455, 5.3)
	out    *queue
	handle func(*wire, *envelope)
	// idleAfter ends the wire when nothing but heartbeats was written for this
	// long; zero means never.
	idleAfter time.Duration
	awaits    func() bool // whether a call still waits; set with idleAfter
	stop      chan struct{}
	stopOnce  sync.Once
}

func (w *wire) close() {
	w.stopOnce.Do(func() {
		close(w.stop)
		_ = w.conn.Close()
	})
}

// run serves the connection until either side ends it, and returns why.
func (w *wire) run() error {
	written := make(chan error, 1)
	go func() {
		written <- w.write()
		w.close()
	}()
	err := w.read()
	w.close()
	if writeErr := <-written; writeErr != nil {
		return writeErr
	}
	return err
}

// heard sets the read deadline anew before each read. A connection that
// something between the two ends has lost track of stays open and silent: no
// read or write fails on it. As the peer sends heartbeats, silence for longer
// than the timeout means that, and the deadline ends the connection.
type heard struct{ w *wire }

func (h heard) Read(p []byte) (int, error) {
	if err := h.w.conn.SetReadDeadline(time.Now().Add(h.w.s.cfg.Timeout)); err != nil {
		return 0, err
	}
	h.w.s.stats.reads.Add(1)
	return h.w.conn.Read(p)
}

func (w *wire) read() error {
	for {
		header, err := ws.ReadHeader(w.in)
		if err != nil {
			return fault.Wrap(err, fault.Unavailable, "link to %s: read", w.peer)
		}
		if header.Length > int64(w.s.cfg.MaxMessage) {
			return fault.New(fault.TooLarge, "link to %s: a message of %d bytes, at most %d are allowed", w.peer, header.Length, w.s.cfg.MaxMessage)
		}
		payload := make([]byte, header.Length)
		if _, err := io.ReadFull(w.in, payload); err != nil {
			return fault.Wrap(err, fault.Unavailable, "link to %s: read", w.peer)
		}
		if header.Masked {
			ws.Cipher(payload, header.Mask, 0)
		}
		switch {
		case header.OpCode == ws.OpClose:
			return fault.New(fault.Unavailable, "link to %s: closed by the peer", w.peer)
		case header.OpCode != ws.OpBinary || !header.Fin:
			return fault.New(fault.Corrupt, "link to %s: frame that is not one binary message", w.peer)
		}
		if err := w.receive(payload, ws.HeaderSize(header)); err != nil {
			return err
		}
	}
}

func (w *wire) receive(payload []byte, header int) error {
	var e envelope
	if err := Decode(payload, &e); err != nil {
		return err
	}
	if e.Kind == kindHeartbeat {
		w.s.stats.received(heartbeatChannel, header+len(payload))
		return nil
	}
	w.s.stats.received(e.Channel, header+len(payload))
	w.handle(w, &e)
	return nil
}

func (w *wire) write() error {
	out := bufio.NewWriterSize(w.conn, bufferSize)
	beat := time.NewTicker(w.s.cfg.Heartbeat)
	defer beat.Stop()
	lastUse := time.Now()
	for {
		used, err := w.drain(out)
		if err != nil {
			return err
		}
		if used {
			lastUse = time.Now()
		}
		select {
		case <-w.out.ready:
		case <-beat.C:
			if w.idleAfter > 0 && time.Since(lastUse) > w.idleAfter && !w.awaits() {
				return nil
			}
			if err := w.frame(out, heartbeatChannel, w.s.heartbeat); err != nil {
				return err
			}
			if err := w.flush(out); err != nil {
				return err
			}
		case <-w.stop:
			return nil
		}
	}
}

// drain writes all that waits and flushes once.
func (w *wire) drain(out *bufio.Writer) (bool, error) {
	used := false
	for it := w.out.pop(); it != nil; it = w.out.pop() {
		used = true
		if it.lossy && time.Since(it.queued) > w.s.cfg.Timeout {
			// What a lossy message says, such as how long an upstream still
			// counts as alive, is wrong once it has waited that long.
			w.s.stats.dropped(it.channel)
			continue
		}
		if it.call != nil && !it.call.markSent(w) {
			continue
		}
		if err := w.frame(out, it.channel, it.data); err != nil {
			return used, err
		}
	}
	return used, w.flush(out)
}

// frame writes and counts one message; the peer must take it within the timeout.
func (w *wire) frame(out *bufio.Writer, channel string, data []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.s.cfg.Timeout)); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	f := ws.NewBinaryFrame(data)
	if w.dialer {
		f = ws.MaskFrame(f)
	}
	if err := ws.WriteFrame(out, f); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	w.s.stats.sent(channel, ws.HeaderSize(f.Header)+len(data))
	return nil
}

func (w *wire) flush(out *bufio.Writer) error {
	if out.Buffered() > 0 {
		w.s.stats.writes.Add(1)
	}
	if err := out.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	return nil
}
