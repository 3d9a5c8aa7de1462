package dispatch

import (
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

// maxResumes bounds the resumptions of one attempt. Otherwise an engine that breaks the
// stream repeatedly would occupy a slot for little progress.
const maxResumes = 3

// resume continues a broken stream on a new connection and reports whether it succeeded.
// Resumptions repeat no work and therefore need no budget.
func (a *attempt) resume(cause error) bool {
	if errors.Is(cause, io.EOF) || fault.CodeOf(cause) == fault.Corrupt {
		return false
	}
	for a.resumes < maxResumes && a.ctx.Err() == nil {
		a.resumes++
		last := a.stream.Last()
		s, err := a.d.cfg.Client.Resume(a.ctx, target(a.lease.Grant()), a.id, last, upstream.Permit(a.job.Permit))
		if err == nil {
			a.trace("attempt %d is resumed after event %d: %v", a.number, last, cause)
			a.d.cfg.Telemetry.RecordResume(a.job.Class.Name)
			_ = a.stream.Close()
			a.stream = s
			return true
		}
		if upstream.WithheldIn(err) {
			return false
		}
		switch fault.CodeOf(err) {
		case fault.NotFound:
			// The engine has removed the request, by preemption or a restart.
			a.removed = true
			return false
		case fault.DeadlineExceeded:
			// A new connection timed out as well, so the engine itself does not respond.
			return false
		}
	}
	return false
}
