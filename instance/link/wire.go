package link

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gobwas/ws"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// bufferSize is the size in bytes of a connection's read and write buffers. Most messages have a
// few hundred bytes, and a voter has a hundred connections.
const bufferSize = 4 << 10

// connection is one WebSocket connection: a writer that drains the send queue and sends
// heartbeats, and a reader that passes envelopes to handle.
type connection struct {
	service *Service
	peer    string
	conn    net.Conn
	in      *bufio.Reader
	// messageEnd is by when the message that is being read must have arrived; zero between messages.
	messageEnd time.Time
	dialer     bool // this side dialled, so it masks its frames (RFC 6455, section 5.3)
	sendQueue  *queue
	handle     func(*connection, *envelope)
	// idleAfter closes the connection once nothing but heartbeats was written for this long and no
	// call is pending; zero disables it.
	idleAfter       time.Duration
	hasPendingCalls func() bool // set together with idleAfter
	stop            chan struct{}
	stopOnce        sync.Once
}

// acceptorHeartbeatFactor multiplies the heartbeat interval of the accepting side. Instances dial
// each other in both directions, so the accepting side of a link sends little but responses; at
// the dialling side's interval its heartbeats were a third of a failure domain's messages.
const acceptorHeartbeatFactor = 2

// heartbeatInterval returns how long this side may send nothing before it sends a heartbeat.
func (w *connection) heartbeatInterval() time.Duration {
	if w.dialer {
		return w.service.cfg.Heartbeat
	}
	return acceptorHeartbeatFactor * w.service.cfg.Heartbeat
}

// readTimeout returns after how much silence of the other side the connection is closed. It allows
// for the longer heartbeat interval of the accepting side, so that both sides tolerate the same
// delay of a heartbeat.
func (w *connection) readTimeout() time.Duration {
	if w.dialer {
		return w.service.cfg.Timeout + (acceptorHeartbeatFactor-1)*w.service.cfg.Heartbeat
	}
	return w.service.cfg.Timeout
}

func (w *connection) close() {
	w.stopOnce.Do(func() {
		close(w.stop)
		_ = w.conn.Close()
	})
}

// run serves the connection until either side ends it, and returns the cause.
func (w *connection) run() error {
	written := make(chan error, 1)
	go func() {
		written <- w.writeLoop()
		w.close()
	}()
	err := w.readLoop()
	w.close()
	if writeErr := <-written; writeErr != nil {
		return writeErr
	}
	return err
}

// deadlineReader sets a new read deadline before each read. When a router or NAT between the two
// ends loses the connection's state, the connection stays open without an error on either side;
// the deadline closes it, because a live peer sends heartbeats. A message that has begun has a
// deadline of its own, which further bytes do not renew.
type deadlineReader struct{ conn *connection }

func (h deadlineReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(h.conn.readTimeout())
	if end := h.conn.messageEnd; !end.IsZero() && end.Before(deadline) {
		deadline = end
	}
	if err := h.conn.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	h.conn.service.stats.reads.Add(1)
	return h.conn.conn.Read(p)
}

func (w *connection) readLoop() error {
	for {
		header, payload, err := w.readMessage()
		if err != nil {
			return err
		}
		switch {
		case header.OpCode == ws.OpClose:
			return fault.New(fault.Unavailable, "link to %s: closed by the peer", w.peer)
		case header.OpCode != ws.OpBinary || !header.Fin:
			return fault.New(fault.Corrupt, "link to %s: frame is not an unfragmented binary message", w.peer)
		}
		if err := w.receive(payload, ws.HeaderSize(header)); err != nil {
			return err
		}
	}
}

// readMessage waits for the next message and reads it within the time that its length allows. It fails
// with fault.DeadlineExceeded if the message has begun but did not end in time.
func (w *connection) readMessage() (ws.Header, []byte, error) {
	w.messageEnd = time.Time{}
	if _, err := w.in.Peek(1); err != nil {
		return ws.Header{}, nil, fault.Wrap(err, fault.Unavailable, "link to %s: read", w.peer)
	}
	begun := time.Now()
	w.messageEnd = begun.Add(w.messageTime(0))
	header, err := ws.ReadHeader(w.in)
	if err != nil {
		return header, nil, w.incomplete(err, header.Length, 0)
	}
	if header.Length > int64(w.service.cfg.MaxMessage) {
		return header, nil, fault.New(fault.TooLarge, "link to %s: message of %d bytes exceeds the limit of %d", w.peer, header.Length, w.service.cfg.MaxMessage)
	}
	w.messageEnd = begun.Add(w.messageTime(header.Length))
	payload := make([]byte, header.Length)
	if n, err := io.ReadFull(w.in, payload); err != nil {
		return header, nil, w.incomplete(err, header.Length, n)
	}
	if header.Masked {
		ws.Cipher(payload, header.Mask, 0)
	}
	return header, payload, nil
}

// messageTime returns the time within which a message of a length must arrive once it has begun.
func (w *connection) messageTime(length int64) time.Duration {
	return w.service.cfg.MessageTimeout + time.Duration(length)*time.Second/minMessageRate
}

// incomplete returns the error of a message that ended early, and reports one that exceeded its time.
func (w *connection) incomplete(err error, length int64, read int) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) || time.Now().Before(w.messageEnd) {
		return fault.Wrap(err, fault.Unavailable, "link to %s: read", w.peer)
	}
	w.service.stats.overdueMessages.Add(1)
	w.service.log.Warn().Str("event", "message_without_end").Str("peer", w.peer).Int64("bytes", length).Int("arrived", read).
		Dur("limit", w.messageTime(length)).Msg("a message did not end in time, link closed")
	return fault.Wrap(err, fault.DeadlineExceeded, "link to %s: %d of the %d bytes of a message arrived in time", w.peer, read, length)
}

func (w *connection) receive(payload []byte, headerSize int) error {
	var e envelope
	if err := Decode(payload, &e); err != nil {
		return err
	}
	if e.Kind == kindHeartbeat {
		w.service.stats.received(heartbeatChannel, headerSize+len(payload))
		return nil
	}
	w.service.stats.received(e.Channel, headerSize+len(payload))
	w.handle(w, &e)
	return nil
}

// writeLoop sends queued messages until the connection ends. It sends a heartbeat only when
// nothing else was written for the heartbeat interval, as any message shows the peer that this
// side is alive: unconditional heartbeats to 20 peers, four a second with each, were a fifth of
// the segments of a failure domain.
func (w *connection) writeLoop() error {
	out := bufio.NewWriterSize(w.conn, bufferSize)
	w.sendQueue.setHasWriter(true)
	defer w.sendQueue.setHasWriter(false)
	timer := time.NewTimer(w.heartbeatInterval())
	defer timer.Stop()
	lastUse := time.Now()
	for {
		wrote, err := w.writeQueued(out)
		if err != nil {
			return err
		}
		if wrote {
			lastUse = time.Now()
			timer.Reset(w.heartbeatInterval())
		}
		select {
		case <-w.sendQueue.ready:
		case <-timer.C:
			if w.sendQueue.hasMessages() {
				continue
			}
			if w.idleAfter > 0 && time.Since(lastUse) > w.idleAfter && !w.hasPendingCalls() {
				return nil
			}
			if err := w.writeHeartbeat(out); err != nil {
				return err
			}
			timer.Reset(w.heartbeatInterval())
		case <-w.stop:
			return nil
		}
	}
}

func (w *connection) writeHeartbeat(out *bufio.Writer) error {
	if err := w.writeFrame(out, heartbeatChannel, w.service.heartbeat); err != nil {
		return err
	}
	return w.flush(out)
}

// writeQueued writes all queued messages and flushes once. It reports whether it wrote any.
func (w *connection) writeQueued(out *bufio.Writer) (bool, error) {
	wrote := false
	for it := w.sendQueue.pop(); it != nil; it = w.sendQueue.pop() {
		if it.lossy && time.Since(it.queued) > w.service.cfg.Timeout {
			// The content, such as how long an upstream still counts as alive,
			// is out of date after this wait.
			w.service.stats.dropped(it.channel)
			continue
		}
		if it.call != nil && !it.call.markSent(w) {
			continue
		}
		if err := w.writeFrame(out, it.channel, it.data); err != nil {
			return wrote, err
		}
		wrote = true
	}
	return wrote, w.flush(out)
}

// writeFrame writes and counts one message, with a write deadline of Config.Timeout.
func (w *connection) writeFrame(out *bufio.Writer, channel string, data []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.service.cfg.Timeout)); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	f := ws.NewBinaryFrame(data)
	if w.dialer {
		f = ws.MaskFrame(f)
	}
	if err := ws.WriteFrame(out, f); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	w.service.stats.sent(channel, ws.HeaderSize(f.Header)+len(data))
	return nil
}

func (w *connection) flush(out *bufio.Writer) error {
	if out.Buffered() > 0 {
		w.service.stats.writes.Add(1)
	}
	if err := out.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "link to %s: write", w.peer)
	}
	return nil
}
