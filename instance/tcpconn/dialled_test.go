package tcpconn_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

const (
	// sentLong does not fit into the buffers of a connection; answered, which its peer sends meanwhile, does.
	sentLong, answered = 4 << 20, 64 << 10
	// arrivalTime is how long what was sent may take to arrive.
	arrivalTime = 50 * time.Millisecond
)

// exchange dials a peer that sends an answer and then calls end, and writes to it. It returns what was read and
// how that ended. If readsLater is set, nothing is read before the write has ended.
func exchange(l net.Listener, readsLater bool, end func(c *tcpconn.Conn)) (int, error) {
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, strings.Repeat("a", answered))
		end(c.(*tcpconn.Conn))
		_ = c.Close()
	}()
	c, err := tcpconn.Dial(context.Background(), "tcp4", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, sentLong))
	}()
	if readsLater {
		<-written
	}
	got, err := io.Copy(io.Discard, c)
	Eventually(written).Should(BeClosed(), "a write outlives the end of the input")
	return int(got), err
}

// Guards against a reset that the reader of a connection takes for an orderly end, as the kernel reports it to
// the writer.
func TestResetWhileWritingIsReportedToTheReader(t *testing.T) {
	l := listen(t)
	got, err := exchange(l, true, func(c *tcpconn.Conn) {
		time.Sleep(arrivalTime)
		_ = c.SetLinger(0)
	})
	Expect(err).To(HaveOccurred())
	Expect(got).To(Equal(answered))
	for range 200 {
		_, err := exchange(l, false, func(c *tcpconn.Conn) {
			_, _ = io.CopyN(io.Discard, c, sentLong/2)
			_ = c.SetLinger(0)
		})
		Expect(err).To(HaveOccurred())
	}
}

// Guards against an orderly end that looks like a reset, as bytes were still being written: also if the peer
// reads no more of them, or has reset the connection after its end.
func TestOrderlyEndWhileWritingIsReportedToTheReader(t *testing.T) {
	readsOn := func(c *tcpconn.Conn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	resetsLater := func(c *tcpconn.Conn) {
		_ = c.CloseWrite()
		time.Sleep(arrivalTime)
		_ = c.SetLinger(0)
	}
	for name, c := range map[string]struct {
		readsLater bool
		end        func(c *tcpconn.Conn)
	}{
		"the peer reads on": {false, readsOn}, "the peer reads no more": {false, resetsLater}, "the peer has reset": {true, resetsLater},
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			for range 20 {
				got, err := exchange(l, c.readsLater, c.end)
				Expect(err).NotTo(HaveOccurred())
				Expect(got).To(Equal(answered))
			}
		})
	}
}
