package control

import (
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// command returns the command of a confirm. It holds a patch against the base if this
// instance has the base, which is usual, since the plan was made on it; otherwise it
// holds the whole document.
func (s *Service) command(operator string, req *admin.ConfirmRequest) *revision.Confirm {
	c := &revision.Confirm{Operator: operator, Number: req.Number, Base: req.Base}
	if s.cfg.Current != nil {
		if v, err := s.cfg.Current(); err == nil && v.Revision == req.Base {
			if p, err := revision.NewPatch(v.Document, req.Document); err == nil {
				c.Patch = p
				return c
			}
		}
	}
	c.Document = *req.Document
	return c
}
