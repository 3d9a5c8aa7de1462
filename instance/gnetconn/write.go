package gnetconn

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// Write implements net.Conn. It writes to the socket directly: gnet's AsyncWrite would wake the
// event loop for each response, and buffers without limit when the peer does not read. While the
// peer does not read, Write blocks until the write deadline, and no byte is buffered beyond the
// kernel's buffers.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for written < len(p) {
		n, err := c.writeNonblocking(p[written:])
		written += n
		switch {
		case err == nil:
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			n, err = c.writeBlocking(p[written:])
			return written + n, err
		default:
			return written, err
		}
	}
	return written, nil
}

// writeNonblocking makes one non-blocking write. It holds fdMu, which hangUp takes before gnet
// closes the descriptor: if the descriptor were closed and reused between the check and the write,
// the bytes would reach another connection.
func (c *Conn) writeNonblocking(p []byte) (int, error) {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	if c.fdClosed {
		return 0, c.writeError()
	}
	if !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := syscall.Write(c.fd, p)
	if err != nil {
		return 0, err
	}
	return n, nil
}

// writeBlocking waits for space in a full socket with the runtime's poller, on a duplicate of the
// descriptor, because gnet gives no notice when its own outbound buffer has drained.
func (c *Conn) writeBlocking(p []byte) (int, error) {
	f, err := c.openPollFile()
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
		return n, c.writeError()
	case errors.Is(err, io.ErrShortWrite):
		return n, io.ErrShortWrite
	}
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		return n, pathErr.Err
	}
	return n, err
}

func (c *Conn) openPollFile() (*os.File, error) {
	c.fdMu.Lock()
	defer c.fdMu.Unlock()
	if c.fdClosed {
		return nil, c.writeError()
	}
	if c.pollFile != nil {
		return c.pollFile, nil
	}
	fd, err := c.gc.Dup()
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "connection")
	if err := f.SetWriteDeadline(c.writeDeadline); err != nil {
		_ = f.Close()
		return nil, err
	}
	c.pollFile = f
	return f, nil
}

// closePollFile unblocks a writer that waits for the peer; the caller holds fdMu.
func (c *Conn) closePollFile() {
	if c.pollFile == nil {
		return
	}
	_ = c.pollFile.Close()
	c.pollFile = nil
}
