package gnetconn

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// Write implements net.Conn. It writes to the socket itself: gnet's AsyncWrite
// would cost a wake-up of the event loop for each answer and buffers without
// bound when the peer does not read. While the peer does not read, Write blocks
// until the write deadline, and no byte is kept beyond the kernel's buffers.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	for written < len(p) {
		n, err := c.writeNow(p[written:])
		written += n
		switch {
		case err == nil:
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			n, err = c.writeSlowly(p[written:])
			return written + n, err
		default:
			return written, err
		}
	}
	return written, nil
}

// writeNow makes one non-blocking write. It holds the socket lock meanwhile:
// were the descriptor closed and reused between the check and the write, the
// bytes would reach a stranger, and hangUp takes the same lock before gnet
// closes the descriptor.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.socket.Lock()
	defer c.socket.Unlock()
	if c.gone {
		return 0, c.reason()
	}
	if !c.writeBy.IsZero() && !time.Now().Before(c.writeBy) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := syscall.Write(c.fd, p)
	if err != nil {
		return 0, err
	}
	return n, nil
}

// writeSlowly waits for a full socket in the runtime's poller, on a duplicate
// of the descriptor, because gnet tells nobody when its own outbound buffer
// has drained.
func (c *Conn) writeSlowly(p []byte) (int, error) {
	f, err := c.slowFile()
	if err != nil {
		return 0, err
	}
	n, err := f.Write(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, os.ErrDeadlineExceeded
	case errors.Is(err, os.ErrClosed):
		return n, c.reason()
	case errors.Is(err, io.ErrShortWrite):
		return n, io.ErrShortWrite
	}
	var call *os.PathError
	if errors.As(err, &call) {
		return n, call.Err
	}
	return n, err
}

func (c *Conn) slowFile() (*os.File, error) {
	c.socket.Lock()
	defer c.socket.Unlock()
	if c.gone {
		return nil, c.reason()
	}
	if c.slow != nil {
		return c.slow, nil
	}
	fd, err := c.gc.Dup()
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "connection")
	if err := f.SetWriteDeadline(c.writeBy); err != nil {
		_ = f.Close()
		return nil, err
	}
	c.slow = f
	return f, nil
}

// closeSlow wakes a writer that waits for the peer; it needs the socket lock.
func (c *Conn) closeSlow() {
	if c.slow == nil {
		return
	}
	_ = c.slow.Close()
	c.slow = nil
}
