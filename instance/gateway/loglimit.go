package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// maxFailureLines is how many failed requests of one code are logged a second.
// All are counted in the metrics.
const maxFailureLines = 10

// failureLog keeps refusals from flooding the log: an overload, or one caller
// that sends nonsense, would else write a line for each. The first lines of each
// second are written, and the next one after that says how many were left out.
type failureLog struct {
	mu    sync.Mutex
	codes map[fault.Code]*lines
}

type lines struct {
	second  int64
	written int
	leftOut int
}

// event returns a line for a failure, or nil, on which all calls do nothing.
func (f *failureLog) event(log zerolog.Logger, now time.Time, err error) *zerolog.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.codes == nil {
		f.codes = map[fault.Code]*lines{}
	}
	code := fault.CodeOf(err)
	l := f.codes[code]
	if l == nil {
		l = &lines{}
		f.codes[code] = l
	}
	if l.second != now.Unix() {
		l.second, l.written = now.Unix(), 0
	}
	if l.written >= maxFailureLines {
		l.leftOut++
		return nil
	}
	l.written++
	ev := log.Warn().Err(err)
	if l.leftOut > 0 {
		ev = ev.Int("left_out", l.leftOut)
		l.leftOut = 0
	}
	return ev
}
