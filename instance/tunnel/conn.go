package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/gobwas/ws"
)

// Conn is the end of a tunnel at the instance that opened it. It is a net.Conn to the upstream.
type Conn struct {
	net.Conn
	in *bufio.Reader
	// left is how many bytes of the current frame were not read yet.
	left int64
	// ended is set once the upstream has closed the connection in order.
	ended bool
	// retired is set once the other instance has asked not to use the tunnel again.
	retired atomic.Bool
	// by opened the tunnel through the instance named via.
	by  *Service
	via string
}

func (s *Service) newConn(c net.Conn, buffered *bufio.Reader, via string) *Conn {
	t := &Conn{Conn: c, in: bufio.NewReaderSize(c, maxFrame), by: s, via: via}
	if buffered != nil {
		early, _ := buffered.Peek(buffered.Buffered())
		t.in = bufio.NewReaderSize(io.MultiReader(newBytesReader(early), c), maxFrame)
		ws.PutReader(buffered)
	}
	return t
}

// Reusable reports whether the tunnel may carry another request: nothing has arrived that was not
// asked for, the other instance has not asked to end it, and that one is not distrusted.
func (c *Conn) Reusable() bool {
	return !c.retired.Load() && c.left == 0 && c.in.Buffered() == 0 && !c.by.avoided(c.via)
}

// Distrust records that no answer came through the tunnel: the other instance may be cut off without
// knowing it. For a while others are tried first, and none of its tunnels is used again.
func (c *Conn) Distrust() { c.by.distrust(c.via) }

// SyscallConn implements syscall.Conn if the underlying connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// Read implements net.Conn. It fails with io.EOF only after the upstream has closed its connection.
func (c *Conn) Read(p []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		if err := c.nextFrame(); err != nil {
			return 0, brokenBy(err)
		}
	}
	n, err := c.in.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	if n > 0 {
		return n, nil
	}
	return 0, brokenBy(err)
}

// brokenBy turns the end of the tunnel's connection into a reset.
func brokenBy(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &net.OpError{Op: "read", Net: "tunnel", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return err
}

const (
	smallHeader    = 2
	lengthMask     = 0x7f
	opcodeMask     = 0x0f
	twoByteLength  = 126
	longLength     = 127
	twoByteHeader  = 4
	longHeader     = 10
	maxControlSize = 125
)

// nextFrame reads the header of a frame, whole or not at all: a read deadline may pass in between.
func (c *Conn) nextFrame() error {
	b, err := c.in.Peek(smallHeader)
	if err != nil {
		return err
	}
	opcode, size, header := ws.OpCode(b[0]&opcodeMask), int64(b[1]&lengthMask), smallHeader
	switch size {
	case twoByteLength:
		header = twoByteHeader
	case longLength:
		header = longHeader
	}
	if b, err = c.in.Peek(header); err != nil {
		return err
	}
	switch header {
	case twoByteHeader:
		size = int64(binary.BigEndian.Uint16(b[smallHeader:]))
	case longHeader:
		size = int64(binary.BigEndian.Uint64(b[smallHeader:]))
	}
	if opcode == ws.OpBinary {
		_, _ = c.in.Discard(header)
		c.left = size
		return nil
	}
	if size > maxControlSize {
		return syscall.EPROTO
	}
	if _, err = c.in.Peek(header + int(size)); err != nil {
		return err
	}
	_, _ = c.in.Discard(header + int(size))
	switch opcode {
	case ws.OpPing:
		c.retired.Store(true)
	case ws.OpClose:
		c.ended = true
	default:
		return syscall.EPROTO
	}
	return nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	for len(p) > 0 {
		piece := p[:min(len(p), maxFrame)]
		if err := writeFrame(c.Conn, ws.MaskFrame(ws.NewBinaryFrame(piece))); err != nil {
			return n, err
		}
		n += len(piece)
		p = p[len(piece):]
	}
	return n, nil
}

// writeFrame writes a frame at once: its header would otherwise be a segment of its own.
func writeFrame(c net.Conn, f ws.Frame) error {
	b, err := ws.CompileFrame(f)
	if err == nil {
		_, err = c.Write(b)
	}
	return err
}
