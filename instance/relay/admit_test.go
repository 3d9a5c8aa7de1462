package relay_test

import (
	"fmt"
	"testing"

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
	b.service.TakeReport(&serving.Report{Work: serving.Work{Loads: []serving.Load{{ID: "u", Active: 4, Reading: reading, Held: reading}}}})
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
