package control

import (
	"context"
	"strconv"
	"time"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

// foundingOperator and number 0 identify the founding intent. They cannot collide with
// those of operators, from whom number 0 is rejected.
const foundingOperator = "founding"

// Latest implements admin.Control.
func (s *Service) Latest(ctx context.Context) (*config.View, error) {
	number, doc, err := s.latest(ctx)
	if err != nil {
		return nil, err
	}
	return config.NewView(number, doc), nil
}

// Confirm implements admin.Control. It returns once the revision is durable and each
// failure domain either has applied it or has been out of contact for so long that its
// configuration lease has expired, so that it knows that it is cut off.
func (s *Service) Confirm(ctx context.Context, operator string, req *admin.ConfirmRequest) (*admin.Confirmation, error) {
	if req.Number == 0 {
		return nil, fault.New(fault.Invalid, "number: the number of your intent is required and must be at least 1")
	}
	a, err := s.propose(ctx, s.command(operator, req))
	if err != nil {
		return nil, err
	}
	if err := a.Err(); err != nil {
		return nil, explain(a, err)
	}
	s.awaitInForce(ctx, a.Record.Revision)
	return &admin.Confirmation{
		Revision: a.Record.Revision, Number: a.Record.Number, Operator: a.Record.Operator, At: time.Unix(0, a.Record.At).UTC(),
	}, nil
}

func (s *Service) propose(ctx context.Context, c *revision.Confirm) (*revision.Answer, error) {
	data, err := corecontrol.Marshal(c)
	if err != nil {
		return nil, err
	}
	result, err := s.Propose(ctx, revision.Name, data)
	if err != nil {
		return nil, err
	}
	a := &revision.Answer{}
	return a, corecontrol.Unmarshal(result, a)
}

// explain adds to a rejection the changes since the plan's base, with their operators.
func explain(a *revision.Answer, err error) error {
	f := fault.From(err)
	detail := f.Detail
	for _, m := range a.Moved {
		changes, decodeErr := m.Changes()
		if decodeErr != nil {
			continue
		}
		for _, c := range changes {
			detail += "; revision " + strconv.FormatUint(m.Record.Revision, 10) + " by " + m.Record.Operator + " " + string(c.Kind) + " " + c.Path
		}
	}
	out := *f
	out.Detail = detail
	return &out
}

// proposeFoundingIntent proposes the founding intent while the group has no revision.
func (s *Service) proposeFoundingIntent(g *consensus.Service) {
	if s.cfg.FoundingIntent == nil {
		return
	}
	if number, _, err := s.encoded(); err != nil || number > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	a, err := s.propose(ctx, &revision.Confirm{Operator: foundingOperator, Document: *s.cfg.FoundingIntent})
	if err == nil {
		err = a.Err()
	}
	if err != nil && g.Status().Leader == g.Status().ID {
		s.cfg.Log.Warn().Err(err).Msg("founding intent not accepted yet")
	}
}
