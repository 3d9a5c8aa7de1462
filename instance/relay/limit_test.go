package relay_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeLimits notes what upstreams named.
type fakeLimits struct {
	mu    sync.Mutex
	heard []float64
}

func (l *fakeLimits) Heard(_ uint64, _ string, perSecond float64, sent, heard time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !heard.Before(sent) {
		l.heard = append(l.heard, perSecond)
	}
}

func (l *fakeLimits) list() []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]float64(nil), l.heard...)
}

// limited answers with a limit as text.
func limited(c net.Conn, r *received, status int, limit string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Seal: s\r\nX-Limit: %s\r\nContent-Length: 2\r\n\r\nok", status, r.header.Get("X-Id"), limit)
	return err == nil
}

// Guards against a limit that is not heard, and against one that was never named.
func TestLimitIsReadFromEachAnswer(t *testing.T) {
	said := []string{"2.5", "-1", "many", "NaN", "1e300", "0", ""}
	a := startUpstream(t, "a", func(n int, r *received, c net.Conn) bool {
		if n <= len(said) {
			return limited(c, r, 200, said[n-1])
		}
		return echo(n, r, c)
	})
	b := start(t, a)
	c := b.caller()
	for i := range len(said) + 1 {
		r := c.call("POST", "/idem/x", fmt.Sprint("r", i), "x")
		Expect(r.status).To(Equal(200))
	}
	Expect(b.limits.list()).To(Equal([]float64{2.5, 0.05, 0, 0}), "what can't be read says nothing, and none is the least")
}
