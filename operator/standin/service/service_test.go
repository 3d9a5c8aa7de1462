package service_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

const limit = 20 * time.Second

func TestService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "service")
}

func TestMain(m *testing.M) {
	// The rest ends by itself: fasthttp's worker pools sleep for some seconds
	// before they look whether they were stopped.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func start(c service.Config) *service.Service {
	s := service.New(c)
	Expect(s.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

// call returns the status, or 0 when the connection was cut.
func call(s *service.Service, method, path, id, key string) (status int, notRun bool) {
	conn, err := net.Dial("tcp", s.Address())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(2 * limit))).To(Succeed())
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.Address() + path)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	req.SetConnectionClose()
	req.SetBodyString(`{"visit":"tuesday"}`)
	w := bufio.NewWriter(conn)
	Expect(req.Write(w)).To(Succeed())
	Expect(w.Flush()).To(Succeed())
	if resp.Read(bufio.NewReader(conn)) != nil {
		return 0, false
	}
	return resp.StatusCode(), string(resp.Header.Peek("X-Not-Run")) == "true"
}

var _ = Describe("Service", func() {
	It("counts each run of a call as an effect", func() {
		s := start(service.Config{})
		for _, id := range []string{"r1", "r2"} {
			status, _ := call(s, "POST", "/bookings", id, "k")
			Expect(status).To(Equal(201))
		}
		c := s.Book().Counts()
		Expect(c.Effects).To(Equal(2))
		Expect(c.ByKey).To(Equal(map[string]int{"k": 2}))
		Expect(c.ByRequest).To(Equal(map[string]int{"r1": 1, "r2": 1}))
		status, _ := call(s, "GET", "/bookings/b-1", "", "")
		Expect(status).To(Equal(200))
	})

	It("has the effect when only the answer is lost, and can be asked", func() {
		s := start(service.Config{Faults: service.Faults{DropAnswer: true}})
		status, _ := call(s, "POST", "/bookings", "r1", "k")
		Expect(status).To(BeZero())
		Expect(s.Book().Counts().Effects).To(Equal(1))
		status, _ = call(s, "GET", "/operations/r1", "", "")
		Expect(status).To(Equal(200))
		status, _ = call(s, "GET", "/operations/r2", "", "")
		Expect(status).To(Equal(404))
	})

	It("has no effect when it refuses or dies before", func() {
		s := start(service.Config{Faults: service.Faults{Refuse: true}})
		status, notRun := call(s, "POST", "/bookings", "r1", "k")
		Expect(status).To(Equal(503))
		Expect(notRun).To(BeTrue())
		s.SetFaults(service.Faults{DieBefore: true})
		status, _ = call(s, "POST", "/bookings", "r1", "k")
		Expect(status).To(BeZero())
		Expect(s.Book().Counts().Effects).To(BeZero())
	})

	It("says that a call still runs", func() {
		s := start(service.Config{Faults: service.Faults{DelayMillis: limit.Milliseconds()}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			call(s, "POST", "/bookings", "r1", "k")
		}()
		Eventually(func() int { st, _ := call(s, "GET", "/operations/k", "", ""); return st }, limit).Should(Equal(202))
		s.Crash()
		Eventually(done, limit).Should(BeClosed())
		Expect(s.Book().Counts().Effects).To(BeZero())
	})
})
