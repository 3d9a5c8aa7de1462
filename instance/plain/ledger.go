package plain

import (
	"context"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

// MachineName is the name of the claims' state machine in the control group.
const MachineName = "claims"

// Ledger commits commands on claims. When Submit fails, the command may or may not take
// effect, now or later. Commands may be submitted repeatedly.
type Ledger interface {
	Submit(ctx context.Context, c *claim.Command) (claim.Result, error)
}

// ProposeFunc commits data in the control group's log for the named state machine and
// returns the result of that state machine.
type ProposeFunc func(ctx context.Context, machine string, data []byte) ([]byte, error)

// Submit implements Ledger on top of the control group.
func (f ProposeFunc) Submit(ctx context.Context, c *claim.Command) (claim.Result, error) {
	var r claim.Result
	data, err := claim.Encode(c)
	if err != nil {
		return r, err
	}
	out, err := f(ctx, MachineName, data)
	if err != nil {
		return r, err
	}
	if err := claim.Decode(out, &r); err != nil {
		return r, err
	}
	if r.Verdict == claim.Malformed {
		return r, fault.New(fault.Internal, "the claims' state machine rejected a %s command as malformed", c.Op)
	}
	return r, nil
}
