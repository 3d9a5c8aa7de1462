package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// maxFailuresPerSecond is how many failed requests are logged per second and code. All
// failures are counted in the metrics.
const maxFailuresPerSecond = 10

// failureLog limits the rate of logged failures. An overload, or one caller that sends
// invalid requests, would otherwise log a line for each request. The first failures of each
// second are logged, and the next logged line contains the number of omitted ones.
type failureLog struct {
	mu    sync.Mutex
	codes map[fault.Code]*logWindow
}

type logWindow struct {
	second  int64
	written int
	omitted int
}

// event returns a log event for a failure, or nil if it is omitted. The methods of a nil
// event do nothing.
func (f *failureLog) event(log zerolog.Logger, now time.Time, err error) *zerolog.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.codes == nil {
		f.codes = map[fault.Code]*logWindow{}
	}
	code := fault.CodeOf(err)
	l := f.codes[code]
	if l == nil {
		l = &logWindow{}
		f.codes[code] = l
	}
	if l.second != now.Unix() {
		l.second, l.written = now.Unix(), 0
	}
	if l.written >= maxFailuresPerSecond {
		l.omitted++
		return nil
	}
	l.written++
	ev := log.Warn().Err(err)
	if l.omitted > 0 {
		ev = ev.Int("left_out", l.omitted)
		l.omitted = 0
	}
	return ev
}
