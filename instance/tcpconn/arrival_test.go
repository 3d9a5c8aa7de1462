package tcpconn_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// Guards against a wait for CPU time that is measured from the accept: a connection, or its request, may
// have waited long before it, and a caller that is slow to send has not.
func TestArrivalIsMeasuredBeforeTheAcceptAndNotFromTheOpening(t *testing.T) {
	l := listen(t)
	early, late := dial(t, l), dial(t, l)
	_, err := early.Write([]byte("x"))
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(150 * time.Millisecond)
	c, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	delay, err := tcpconn.AwaitArrival(c)
	Expect(err).NotTo(HaveOccurred())
	Expect(delay).To(BeNumerically("~", 150*time.Millisecond, 80*time.Millisecond))
	b := make([]byte, 2)
	Expect(tcpconn.PeekArrived(c, b)).To(Equal(1))
	Expect(c.Read(b)).To(Equal(1), "nothing was read before")
	c, err = l.Accept()
	Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(100*time.Millisecond, func() { _, _ = late.Write([]byte("x")) })
	delay, err = tcpconn.AwaitArrival(c)
	Expect(err).NotTo(HaveOccurred())
	Expect(delay).To(BeNumerically("<", 80*time.Millisecond))
}

// Guards against a wait for a request that outlives the deadline of an idle connection.
func TestAwaitArrivalEndsAtTheDeadline(t *testing.T) {
	l := listen(t)
	dial(t, l)
	c, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	Expect(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
	_, err = tcpconn.AwaitArrival(c)
	Expect(err).To(HaveOccurred())
}

// Guards against a refusal that looks like the end of a connection on which a request was read, and
// against one of other connections than those that are to be refused.
func TestRefusedConnectionsAreReset(t *testing.T) {
	l := listen(t)
	refused, kept := dial(t, l), dial(t, l)
	for _, c := range []io.Writer{refused, kept} {
		_, err := c.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
	}
	n := 0
	c, err := l.AcceptUnless(func(tcpconn.Pending) tcpconn.Verdict {
		if n++; n == 1 {
			return tcpconn.RefuseUnread
		}
		return tcpconn.Keep
	})
	Expect(err).NotTo(HaveOccurred())
	_, err = refused.Read(make([]byte, 1))
	Expect(err).To(MatchError(syscall.ECONNRESET))
	Expect(c.Read(make([]byte, 1))).To(Equal(1))
	_, err = c.Write([]byte("y"))
	Expect(err).NotTo(HaveOccurred())
	Expect(kept.Read(make([]byte, 1))).To(Equal(1))
}

// Guards against an answer that is lost because its connection is closed with bytes that were not read.
func TestAnsweredConnectionsDeliverTheAnswer(t *testing.T) {
	l := listen(t)
	answered, kept := dial(t, l), dial(t, l)
	for _, c := range []io.Writer{answered, kept} {
		_, err := c.Write([]byte("xyz"))
		Expect(err).NotTo(HaveOccurred())
	}
	n := 0
	_, err := l.AcceptUnless(func(p tcpconn.Pending) tcpconn.Verdict {
		if n++; n == 1 && p.Answer(3, []byte("no")) {
			return tcpconn.Close
		}
		return tcpconn.Keep
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(io.ReadAll(answered)).To(Equal([]byte("no")))
}

// BenchmarkRefusal measures the time of a refused connection.
func BenchmarkRefusal(b *testing.B) {
	for name, accept := range map[string]func(*tcpconn.Listener, func(tcpconn.Pending) tcpconn.Verdict){
		"by descriptor": func(l *tcpconn.Listener, refuse func(tcpconn.Pending) tcpconn.Verdict) { _, _ = l.AcceptUnless(refuse) },
		"by connection": func(l *tcpconn.Listener, refuse func(tcpconn.Pending) tcpconn.Verdict) {
			for {
				c, _ := l.Accept()
				tcpconn.SinceArrival(c)
				if refuse(tcpconn.Pending{}) == tcpconn.Keep {
					return
				}
				tcpconn.Reset(c)
			}
		},
	} {
		b.Run(name, func(b *testing.B) { benchmarkRefusal(b, accept) })
	}
}

func benchmarkRefusal(b *testing.B, accept func(*tcpconn.Listener, func(tcpconn.Pending) tcpconn.Verdict)) {
	const pending = 200
	l, err := tcpconn.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for n := 0; n < b.N; n += pending {
		b.StopTimer()
		for range pending {
			c, err := dialer.Dial("tcp4", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			_, _ = c.Write([]byte("x"))
			defer func() { _ = c.Close() }()
		}
		left := pending
		b.StartTimer()
		accept(l, func(tcpconn.Pending) tcpconn.Verdict {
			if left--; left > 0 {
				return tcpconn.RefuseUnread
			}
			return tcpconn.Keep
		})
	}
}

var dialer net.Dialer
