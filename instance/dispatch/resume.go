package dispatch

import (
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// maxResumes bounds the resumptions of one attempt: an engine that breaks the
// stream again and again would otherwise hold a slot for little progress.
const maxResumes = 3

// resume continues a broken stream on a fresh connection and reports whether it
// did. Resumptions repeat no work, so that they need no budget.
func (a *attempt) resume(cause error) bool {
	if errors.Is(cause, io.EOF) || fault.CodeOf(cause) == fault.Corrupt {
		return false
	}
	for a.resumes < maxResumes && a.ctx.Err() == nil {
		a.resumes++
		last := a.stream.Last()
		s, err := a.d.cfg.Client.Resume(a.ctx, target(a.lease.Grant()), a.id, last)
		if err == nil {
			a.note("attempt %d is resumed after event %d: %v", a.number, last, cause)
			a.d.cfg.Telemetry.Resumed(a.job.Class.Name)
			_ = a.stream.Close()
			a.stream = s
			return true
		}
		switch fault.CodeOf(err) {
		case fault.NotFound:
			// The engine took the request out, by preemption or a restart.
			a.dropped = true
			return false
		case fault.DeadlineExceeded:
			// A fresh connection is silent too: it is the engine.
			return false
		}
	}
	return false
}
