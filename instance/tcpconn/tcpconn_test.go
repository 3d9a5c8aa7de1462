package tcpconn_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

func listen(t *testing.T) *tcpconn.Listener {
	t.Helper()
	RegisterTestingT(t)
	l, err := tcpconn.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a close that resets connections which are not accepted yet.
func TestPendingConnectionsAreAcceptedBeforeClose(t *testing.T) {
	const pending = 20
	l := listen(t)
	clients := make([]net.Conn, pending)
	for i := range clients {
		clients[i] = dial(t, l)
	}
	l.CloseWhenEmpty()
	for range pending {
		c, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
	}
	_, err := l.Accept()
	Expect(err).To(MatchError(net.ErrClosed))
	for _, c := range clients {
		_, err := io.ReadFull(c, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	}
	_, err = net.Dial("tcp4", l.Addr().String())
	Expect(err).To(HaveOccurred())
}

// Guards against a close that waits for another connection.
func TestEmptyListenerClosesImmediately(t *testing.T) {
	l := listen(t)
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	l.CloseWhenEmpty()
	Eventually(ended).Should(Receive(MatchError(net.ErrClosed)))
}

// Guards against a read that fails by its deadline although bytes arrived before the call.
func TestReadPastDeadlineReturnsReceivedBytes(t *testing.T) {
	l := listen(t)
	client := dial(t, l)
	c, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
	b := make([]byte, 8)
	_, err = c.Read(b)
	Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	_, err = client.Write([]byte("late"))
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() string {
		n, _ := c.Read(b)
		return string(b[:n])
	}).Should(Equal("late"))
	_ = client.Close()
	Eventually(func() error {
		_, err := c.Read(b)
		return err
	}).Should(MatchError(io.EOF))
}
