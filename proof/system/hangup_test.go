package system_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// open sends a streamed model request and reads its answer up to the n-th event;
// the caller goes on, or hangs up by cancel.
func (in *instance) open(class, prompt string, tokens, n int) (hangUp func()) {
	ctx, cancel := context.WithCancel(context.Background())
	body := fmt.Sprintf(`{"model":"m","service_tier":%q,"stream":true,"standin_tokens":%d,"messages":[{"role":"user","content":%q}]}`, class, tokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.callers+"/v1/chat/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+in.site.keys["ward"])
	if n == 0 {
		go func() {
			if resp, err := httpClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		return cancel
	}
	resp, err := httpClient.Do(req) //nolint:bodyclose // what is returned closes it
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	lines := bufio.NewScanner(resp.Body)
	for n > 0 && lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n--
		}
	}
	return func() {
		cancel()
		_ = resp.Body.Close()
	}
}

func (in *instance) count(series string) int {
	n, _ := strconv.Atoi(in.metric(series))
	return n
}

var _ = Describe("A caller that hangs up", func() {
	// A band app closes its connection in the middle of an answer, and another
	// one while its request waits in the queue. The engine would go on for
	// nobody, and with one slot everybody behind would wait for it.
	It("frees its engine at once, and what was generated counts as wasted", func() {
		s := newSiteWith(siteOptions{settings: quickLimits}, 1, "north")
		s.startAll()
		in := s.instances["north-1"]
		e := s.engine("e-one", "north", "--slots", "1")
		s.see("north", 1)
		const endless = 5000 // tokens; more than a minute of work
		running := in.open("urgent", "goes on for long", endless, 5)
		waiting := in.open("urgent", "waits behind it", endless, 0)
		inFlight := func() int64 {
			st, err := in.operator("alice").Status()
			Expect(err).NotTo(HaveOccurred())
			return st.InFlight
		}
		Eventually(inFlight, patience, poll).Should(Equal(int64(2)))
		waiting()
		Eventually(inFlight, patience, poll).Should(Equal(int64(1)))
		running()
		r := in.chat("urgent", "the next one", 5, true)
		Expect(r.judge("the next one", 5)).To(Equal(wholeOwn), "%+v", r)
		c := e.counters()
		Expect(c.Requests).To(Equal(uint64(2)), "the one that waited was never sent")
		Expect(c.Cancelled).To(Equal(uint64(1)))
		Expect(c.Generated).To(BeNumerically("<", endless))
		wasted := in.count(`wasted_tokens_total{class="urgent",cause="caller_hung_up"}`)
		Expect(wasted).To(BeNumerically(">=", 5))
		Expect(wasted).To(BeNumerically("<", endless))
	})
})
