package caller

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// Settle is how long a remote system gets to hear of the stand-ins before the
// load begins: three beats.
const Settle = 3 * time.Second

// Remote is a load.System of running instances, to which callers go round-robin
// as behind a balancer.
type Remote struct {
	Addresses []string
	next      atomic.Uint64
	run       string
}

// NewRemote returns a System that sends to the given addresses.
func NewRemote(addresses []string) *Remote {
	return &Remote{Addresses: addresses, run: strconv.FormatInt(time.Now().UnixNano(), 36)}
}

// Start implements load.System.
func (m *Remote) Start(_ context.Context) (load.Announce, error) {
	if len(m.Addresses) == 0 {
		return nil, fault.New(fault.Invalid, "the policy remote needs targets in [experiment]")
	}
	return load.Announce{"": m.Addresses}, nil
}

// Attach implements load.System.
func (m *Remote) Attach(ctx context.Context, _ []*engine.Engine) error {
	select {
	case <-time.After(Settle):
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Canceled, "wait for announcements")
	}
}

// Serve implements load.System.
func (m *Remote) Serve(ctx context.Context, r *load.Request, arrived time.Time) load.Outcome {
	n := m.next.Add(1)
	address := m.Addresses[int(n)%len(m.Addresses)]
	return Do(ctx, Call{Address: address, Request: r, Arrived: arrived, ID: r.ID + "-" + m.run})
}

// Stop implements load.System.
func (m *Remote) Stop(_ context.Context) error { return nil }
