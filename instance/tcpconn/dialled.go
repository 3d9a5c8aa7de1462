package tcpconn

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// dialled is a connection to a peer that may end it while bytes are still being written to it. The kernel
// reports a reset once: if a writer meets it, a reader meets the end of the input, as after an orderly close.
// This connection reports it to the reader as well.
type dialled struct {
	Conn
	// writing is held while bytes are written, and guards lost.
	writing sync.Mutex
	// lost is why the connection broke, as reported to a writer.
	lost error
}

// Write implements net.Conn.
func (c *dialled) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && breaks(err) {
		c.lost = err
	}
	return n, err
}

// breaks reports whether a failed write means that the connection broke. After an orderly close by the peer, a
// reset is reported as EPIPE: all that the peer had sent before has arrived.
func breaks(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

// Read implements net.Conn. It fails with io.EOF only after the peer has closed its side in order. Nothing more
// is written to the peer then.
func (c *dialled) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that has met a reset returns it, any other one ends at its deadline.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		err = c.lost
	}
	return n, err
}

// WriteTo implements io.WriterTo. That of net.TCPConn would bypass Read.
func (c *dialled) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// ReadFrom implements io.ReaderFrom. That of net.TCPConn would bypass Write.
func (c *dialled) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }
