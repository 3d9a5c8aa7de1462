package deployed_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// Steps of stepEndless let an upstream send what has no end.
	stepEndless stepKind = "endless"

	// firstEndless is the first seed with these steps; it leaves the other steps as they would be without them.
	firstEndless = 7000
	// endlessEvery is the mean time between two such steps.
	endlessEvery = 3 * time.Second
)

// soakComment is a comment between events, which is forwarded and is no event.
const soakComment = ": c\n\n"

// soakEndless are the answers of these steps: a beginning, what is repeated, and the pause after each.
var soakEndless = []struct {
	of, first, again string
	pause            time.Duration
}{
	{"interim", "", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n", 0},
	{"line", "", "x", 0},
	{"chunk", "head", "5;" + strings.Repeat("x", 200) + "\r\nxxxxx\r\n", 0},
	{"event", "head", "7\r\ndata: a\r\n", 0},
	{"comments", "head", "5\r\n" + soakComment + "\r\n", 0},
	{"bytewise chunk", "head5;", "x", 50 * time.Millisecond},
	{"bytewise event", "head", "1\r\nx\r\n", 50 * time.Millisecond},
}

// drawEndless draws when which runners send what has no end.
func drawEndless(seed int64, span time.Duration, shape soakShape) (steps []soakStep) {
	rng := rand.New(rand.NewPCG(uint64(seed), 71))
	for at := time.Duration(rng.Int64N(int64(endlessEvery))); at < span; at += time.Duration(rng.ExpFloat64() * float64(endlessEvery)) {
		steps = append(steps, soakStep{
			at: at, kind: stepEndless, target: shape.runners[rng.IntN(len(shape.runners))],
			delay: time.Duration(rng.IntN(len(soakEndless))), lasts: time.Second + time.Duration(rng.Int64N(int64(2*time.Second))),
		})
	}
	return steps
}

// sendEndless lets the present life of the runner send what has no end for a while.
func (r *soakRunner) sendEndless(s soakStep) {
	life := r.current()
	if kind := int(s.delay); life.endless.CompareAndSwap(nil, &kind) {
		time.Sleep(s.lasts)
		life.endless.Store(nil)
	}
}

// answerEndless sends what has no end, if the runner does so now, and checks that it is cut off. It reports
// whether that is the whole answer.
func (l *runnerLife) answerEndless(out http.ResponseWriter, req *http.Request, attempt string) bool {
	kind := l.endless.Load()
	edge := l.r.w.ledger.edgeOf(attempt)
	if kind == nil || edge == nil {
		return false
	}
	c, to, err := out.(http.Hijacker).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = c.Close() }()
	l.r.w.ledger.endless.Store(attempt, true)
	what, begun, sent := soakEndless[*kind], time.Now(), 0
	if rest, ok := strings.CutPrefix(what.first, "head"); ok {
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Seal: seal %s\r\nTransfer-Encoding: chunked\r\n\r\n%s"
		_, _ = fmt.Fprintf(to, head, attempt, attempt, rest)
	}
	// An answer in chunks that is no stream may have any length.
	bounded := what.of == "interim" || what.of == "line" || what.of == "chunk" || req.URL.Path == streamed.path()
	for time.Since(begun) < endlessSpan && sent < 2*mostEndlessBytes {
		n, err := writeAgain(to, what.again, what.pause)
		if sent += n; err != nil {
			break
		}
	}
	if bounded && sent > mostEndlessBytes {
		l.r.w.ledger.fail("%s sent %s %d bytes of %q without end", l.r.id, attempt, sent, what.of)
	}
	return true
}

// writeAgain writes a text often at once, or once with a pause.
func writeAgain(to *bufio.ReadWriter, text string, pause time.Duration) (int, error) {
	if pause == 0 {
		return to.WriteString(strings.Repeat(text, 1+1000/len(text)))
	}
	n, _ := to.WriteString(text)
	err := to.Flush()
	time.Sleep(pause)
	return n, err
}

// Guards against steps that a seed does not bring back, and against other steps that change with them.
func TestTheSameSeedDrawsTheSameEndlessAnswers(t *testing.T) {
	RegisterTestingT(t)
	shape := soakShape{cores: []string{"c1", "c2", "c3"}, edges: []string{"e1", "e2"}, runners: []string{"r1", "r2"}}
	for seed := int64(firstEndless); seed < firstEndless+100; seed++ {
		steps := drawSteps(seed, time.Minute, shape)
		Expect(drawSteps(seed, time.Minute, shape)).To(Equal(steps))
		var others []soakStep
		for _, s := range steps {
			if s.kind != stepEndless {
				others = append(others, s)
			}
		}
		Expect(len(others)).To(BeNumerically("<", len(steps)))
		Expect(others).To(Equal(drawOthers(seed, time.Minute, shape)))
	}
	for _, s := range drawSteps(firstEndless-1, time.Minute, shape) {
		Expect(s.kind).NotTo(Equal(stepEndless))
	}
}
