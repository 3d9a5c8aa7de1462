package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/httpapi"
)

var _ = Describe("Bad input", func() {
	DescribeTable("is answered with a typed error that says that it was not run",
		func(raw string, status int, code string) {
			p := newTestGateway(newEngine(1), defaultLimits(), nil)
			r := p.send(raw)
			Expect(r.StatusCode()).To(Equal(status), "%s", r.Body())
			var body httpapi.ErrorBody
			Expect(json.Unmarshal(r.Body(), &body)).To(Succeed())
			Expect(body.Error.Code).To(Equal(code))
			Expect(body.Error.Message).NotTo(BeEmpty())
			Expect(string(r.Header.Peek("X-Not-Run"))).To(Equal("true"))
			Expect(p.log.lines()).To(BeZero())
		},
		Entry("malformed JSON", request(goodKey, `{"model":`), 400, "invalid_request"),
		Entry("a wrong type", request(goodKey, `{"model":[],"messages":1}`), 400, "invalid_request"),
		Entry("an unknown model", request(goodKey, strings.Replace(chatBody("x", true), `"m"`, `"other"`, 1)), 404, "not_found"),
		Entry("a class of another organisation", request(goodKey, strings.Replace(chatBody("x", true), `{`, `{"service_tier":"urgent",`, 1)), 403, "forbidden"),
		Entry("an unknown class", request(goodKey, strings.Replace(chatBody("x", true), `{`, `{"service_tier":"none",`, 1)), 403, "forbidden"),
		Entry("an unknown key", request("a-key-of-nobody", chatBody("x", true)), 401, "unauthenticated"),
		Entry("an expired key", request(oldKey, chatBody("x", true)), 401, "unauthenticated"),
		Entry("no key", "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", 401, "unauthenticated"),
		Entry("an unknown path", "GET /v2 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+goodKey+"\r\n\r\n", 404, "not_found"),
		Entry("a header that is too large", "GET / HTTP/1.1\r\nHost: x\r\nX: "+strings.Repeat("x", 8000)+"\r\n\r\n", 413, "too_large"),
		Entry("a body that is too large", request(goodKey, strings.Repeat("x", 100_000)), 413, "too_large"),
		Entry("no HTTP at all", "\x16\x03\x01 what\r\n\r\n", 400, "invalid_request"),
	)

	It("does not affect the next request on the connection", func() {
		p := newTestGateway(newEngine(2), defaultLimits(), nil)
		c := p.dial()
		br := bufio.NewReader(c)
		for n := range 3 {
			_, err := io.WriteString(c, request(goodKey, `{"model":`)+request(goodKey, chatBody(fmt.Sprint("own-", n), false)))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer(br).StatusCode()).To(Equal(400))
			r := answer(br)
			Expect(r.StatusCode()).To(Equal(200))
			Expect(string(r.Body())).To(ContainSubstring(fmt.Sprintf("own-%down-%d", n, n)))
		}
	})

	// A caller pipelines its requests. The answers must arrive in order and complete, and
	// none may contain text of another one.
	It("does not include pipelined and chunked requests", func() {
		p := newTestGateway(newEngine(3), defaultLimits(), nil)
		c := p.dial()
		br := bufio.NewReader(c)
		var all strings.Builder
		for n := range 8 {
			body := chatBody(fmt.Sprint("piped-", n, "."), n%2 == 0)
			fmt.Fprintf(&all, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
				goodKey, 10, body[:10], len(body)-10, body[10:])
		}
		_, err := io.WriteString(c, all.String())
		Expect(err).NotTo(HaveOccurred())
		for n := range 8 {
			r := answer(br)
			Expect(r.StatusCode()).To(Equal(200))
			Expect(strings.Count(string(r.Body()), fmt.Sprint("piped-", n, "."))).To(Equal(3))
			Expect(strings.Count(string(r.Body()), "piped-")).To(Equal(3))
			Expect(strings.Contains(string(r.Body()), "[DONE]")).To(Equal(n%2 == 0))
		}
	})

	// Callers send half a request and stall, or send single bytes slowly. The read timeout
	// closes their connections, and other callers are served meanwhile.
	It("that never ends is closed by the read timeout and does not affect other callers", func() {
		limits := defaultLimits()
		limits.ReadTimeout = 300 * time.Millisecond
		p := newTestGateway(newEngine(1), limits, nil)
		var wg sync.WaitGroup
		for n := range 50 {
			c := p.dial()
			wg.Go(func() {
				defer GinkgoRecover()
				whole := request(goodKey, chatBody("slow", true))
				_, _ = io.WriteString(c, whole[:60+n])
				for i := 60 + n; i < len(whole)-1; i++ {
					time.Sleep(10 * time.Millisecond)
					if _, err := io.WriteString(c, whole[i:i+1]); err != nil {
						return
					}
				}
				_, err := io.Copy(io.Discard, c)
				_ = err // the server may close or reset the connection
			})
		}
		for range 20 {
			Expect(p.send(request(goodKey, chatBody("quick", false))).StatusCode()).To(Equal(200))
		}
		wg.Wait()
		Eventually(p.Busy, testTimeout).Should(BeZero())
	})

	// A caller requests a long stream and does not read it. Its connection is closed after
	// the write timeout, its slot is freed, and other callers are served meanwhile.
	It("of a caller that does not read its stream does not affect other callers", func() {
		limits := defaultLimits()
		limits.WriteTimeout = 300 * time.Millisecond
		e := newEngine(40_000)
		p := newTestGateway(e, limits, nil)
		for range 5 {
			_, err := io.WriteString(p.dial(), request(goodKey, chatBody(strings.Repeat("x", 500), true)))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(p.queue.leases, testTimeout).Should(Equal(5))
		Expect(p.send("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + goodKey + "\r\n\r\n").StatusCode()).To(Equal(200))
		Eventually(p.queue.leases, testTimeout).Should(BeZero())
	})

	It("in large numbers does not flood the log", func() {
		e := newEngine(1)
		p := newTestGateway(e, defaultLimits(), nil)
		Expect(e.ln.Close()).To(Succeed()) // each request fails
		c := p.dial()
		br := bufio.NewReader(c)
		for range 500 {
			_, err := io.WriteString(c, request(goodKey, chatBody("x", true)))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer(br).StatusCode()).To(Equal(503))
		}
		Expect(p.log.lines()).To(BeNumerically("<", 250))
	})
})

var _ = Describe("Connections", func() {
	It("above the limit are closed, and those below it are served", func() {
		limits := defaultLimits()
		limits.MaxConnections = 100
		p := newTestGateway(newEngine(1), limits, nil)
		var idle []net.Conn
		for range 99 {
			idle = append(idle, p.dial())
		}
		last := p.dial()
		br := bufio.NewReader(last)
		_, err := io.WriteString(last, request(goodKey, chatBody("x", false)))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(br).StatusCode()).To(Equal(200))
		over := p.dial()
		_, err = over.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(idle[0].Close()).To(Succeed())
		Eventually(func() bool {
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				return false
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.WriteString(c, "GET /livez HTTP/1.1\r\nHost: x\r\n\r\n")
			n, _ := c.Read(make([]byte, 1))
			return n == 1
		}, testTimeout).Should(BeTrue())
	})
})
