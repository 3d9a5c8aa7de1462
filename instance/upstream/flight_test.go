package upstream

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/clock"
)

// Guards against orders sent too late: the process is paused while it dials, after it has
// checked the time limit. When it resumes after the limit, no byte may be sent.
var _ = Describe("a request with NotAfter", func() {
	var far net.Conn
	var near *conn

	BeforeEach(func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		raw, err := net.Dial("tcp", ln.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		far, err = ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		near = newConn(raw, newPool(Config{}.withDefaults()), ln.Addr().String())
		DeferCleanup(func() {
			_ = raw.Close()
			_ = far.Close()
		})
	})

	request := func() *fasthttp.Request {
		req := &fasthttp.Request{}
		req.Header.SetHost("far")
		return req
	}

	It("is not sent after that time", func() {
		near.notAfter = clock.Now().Add(-time.Millisecond)
		left, err := near.send(request(), time.Minute)
		Expect(left).To(BeFalse())
		Expect(fault.CodeOf(err)).To(Equal(fault.DeadlineExceeded))
		Expect(near.raw.Close()).To(Succeed())
		got, _ := io.ReadAll(far)
		Expect(got).To(BeEmpty())
	})

	It("sets the kernel's timeout to that time, for an unreachable upstream", func() {
		near.notAfter = clock.Now().Add(40 * time.Second)
		left, err := near.send(request(), time.Minute)
		Expect(left).To(BeTrue())
		Expect(err).NotTo(HaveOccurred())
		sys, err := near.raw.Conn.(lingerer).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		millis := 0
		Expect(sys.Control(func(fd uintptr) { millis, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) })).To(Succeed())
		Expect(err).NotTo(HaveOccurred())
		Expect(millis).To(And(BeNumerically(">", 0), BeNumerically("<=", 40_000)))
	})

	It("ends at that time and keeps no connection", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		c := New(Config{})
		defer c.Close(context.Background())
		_, err = c.Do(context.Background(), Target{Name: "far", Address: ln.Addr().String()},
			Call{RequestID: "r", Method: "POST", Path: "/", NotAfter: clock.Now().Add(200 * time.Millisecond)})
		Expect(EvidenceOf(err)).To(Equal(Unknown))
		Expect(fault.CodeOf(err)).To(Equal(fault.DeadlineExceeded))
		Expect(c.pool.hosts).To(BeEmpty())
	})
})
