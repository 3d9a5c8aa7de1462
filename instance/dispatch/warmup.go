package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
)

const (
	// permitPoll is the time between two looks for a permit while all engines of a model are cold.
	permitPoll = 20 * time.Millisecond
	// permitDemandPolls is the number of looks after which a permit is requested again: the leader drops
	// a request that it could not serve for 150 ms.
	permitDemandPolls = 10
	// minPermitWait is the least time for which a request waits for a permit: an exchange with the leader
	// takes up to 0.2 s.
	minPermitWait = 250 * time.Millisecond
	// permitWaitShare is the part of a request's objective for which it waits: a longer wait before a
	// rejection costs its caller more than an early one.
	permitWaitShare = 8
)

// permitWait returns for how long a request waits while all engines of its model are cold.
func (j *Job) permitWait() time.Duration {
	objective := j.Class.FirstToken
	if objective == 0 {
		objective = j.Class.Total
	}
	return max(minPermitWait, objective/permitWaitShare)
}

// acquirePermitted acquires a lease for an engine that is warm, or for which this instance has a permit.
// Cold engines without a permit are excluded. If all engines are, the request waits for a permit, at most for
// permitWait, and is then refused like one that every engine has refused.
func (a *attempt) acquirePermitted(t sched.Ticket) (Lease, error) {
	w, tier := a.d.cfg.WarmUp, a.job.Class.Tier
	if !w.Limits() {
		return a.d.cfg.Queue.Acquire(a.ctx, t)
	}
	excluded, id := t.Excluded, t.ID
	var lost []string
	returned := 0
	until := time.Now().Add(a.job.permitWait())
	for n := 0; ; n++ {
		withheld, all := w.Withhold(t.Model, tier, excluded, n%permitDemandPolls == 0)
		if all && time.Now().Before(until) && clock.Sleep(a.ctx, permitPoll) {
			lost = nil
			continue
		}
		t.Excluded = slices.Concat(excluded, withheld, lost)
		lease, err := a.d.cfg.Queue.Acquire(a.ctx, t)
		if err != nil {
			return nil, err
		}
		name := lease.Grant().Upstream
		permit, ok := w.Use(name, tier)
		if ok {
			a.permit = permit
			return lease, nil
		}
		// Another request has used the permit, or the engine became cold while this one was queued.
		a.trace("the grant of %s is returned: it is cold and there is no permit", name)
		lease.Done(sched.Outcome{Unused: true})
		lost, returned = append(lost, name), returned+1
		// The scheduler may learn of the new ticket before the end of the old one, so the ID differs.
		t.ID = fmt.Sprintf("%s.%d", id, returned)
	}
}

// permitted fails if the request may not be sent now. Once it has passed, only a continuation of the request
// can follow, which needs no permit for a cold engine.
func (a *attempt) permitted() error {
	if a.job.Permit != nil {
		if err := a.job.Permit(); err != nil {
			return err
		}
	}
	if a.passed {
		return nil
	}
	err := a.permit.Check()
	a.passed = err == nil
	return err
}

// statusMisdirected is the status with which an engine answers a request that is not for it. It does not
// count as a request to a cold engine.
const statusMisdirected = 421

// returnPermit returns the permit of a failed attempt if the engine did not take the request.
func (a *attempt) returnPermit(err error) {
	var failed *upstream.AttemptError
	if errors.As(err, &failed) && (failed.Evidence == upstream.NotSent || failed.Status == statusMisdirected) {
		a.permit.Return()
	}
}
