package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/serving"
)

// prompt is a request with a prompt of 1,000 tokens, on a route of the engines.
func prompt(path, id string) string {
	return fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: k\r\nX-Left: 1500\r\nX-Tokens: 1000,90\r\nContent-Length: 1\r\n\r\nx", path, id)
}

// In a burst the most urgent requests are turned away while less urgent ones run: what
// waits at the engines, some of it less urgent, counts against all alike. Engines take
// urgent requests first, so what waits there is mostly not before them; the least urgent
// ones are told at once when to come back.
func TestUrgentRequestsAreNotTurnedAwayByWhatWaits(t *testing.T) {
	up := startUpstream(t, "u", echo)
	b := start(t, up)
	b.engines()
	const reading = 60_000 // tokens: 1.2 s at the pace that is taken at first
	b.service.TakeReport(&serving.Report{Work: serving.Work{Loads: []serving.Load{{FirstIndex: up.begun(), Active: 4, QueuedTokens: reading, UsedTokens: reading}}}})
	c := b.caller()
	c.send(prompt("last", "1"))
	r := c.receive()
	Expect(r.status).To(Equal(503))
	Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(up.requests()).To(BeEmpty())
	c.send(prompt("urgent", "2"))
	Expect(c.receive().status).To(Equal(200))
	Expect(up.requests()).To(HaveLen(1))
}

// A prompt's shared parts are read again at each engine that it spills to, though another
// one has read them: the second engine must be told from where to take them over. What a
// caller says of it does not count.
func TestSpilledPromptIsTakenOverFromWhereItWasRead(t *testing.T) {
	ups := []*fakeUpstream{startUpstream(t, "a", echo), startUpstream(t, "b", echo), startUpstream(t, "c", echo)}
	b := start(t, ups...)
	b.engines()
	ask := func(id string) *fakeUpstream {
		c := b.caller()
		c.send(strings.Replace(prompt("urgent", id), "X-Tokens: 1000", "X-Fetch: 127.0.0.1:1\r\nX-Parts: ab:900,cd:100\r\nX-Tokens: 1000", 1))
		Expect(c.receive().status).To(Equal(200))
		for _, u := range ups {
			if got := u.requests(); len(got) > 0 && got[len(got)-1].header.Get("X-Id") == id {
				return u
			}
		}
		return nil
	}
	home := ask("first")
	time.Sleep(1600 * time.Millisecond)
	b.service.TakeReport(&serving.Report{Work: serving.Work{Loads: []serving.Load{{FirstIndex: home.begun(), Active: 4, QueuedTokens: 100_000}}}})
	other := ask("second")
	Expect(other).NotTo(BeIdenticalTo(home))
	Expect(other.requests()[0].header.Get("X-Fetch")).To(Equal(home.listener.Addr().String()))
	Expect(home.requests()[0].header.Get("X-Fetch")).To(BeEmpty())
}
