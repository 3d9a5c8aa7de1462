package control

import (
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// command makes the command of a confirm: with what differs from the base where
// this instance has it, which it nearly always has, as the plan was made on it,
// and else with the whole document.
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
