package control

import (
	"path/filepath"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// actedFile holds the revision that this instance acts on.
const actedFile = "acted"

type acted struct {
	Revision uint64 `codec:"r"`
	Content  []byte `codec:"c"`
}

// Remember makes a revision durable before this instance acts on it; without a
// data folder it does nothing. A member that restarts replays its log from the
// last snapshot on, and what it finds there first can be thousands of revisions
// old. Were it not for this file, it would act on all of them anew, and one that
// is cut off would stay with the first. A failed write is fatal.
func (s *Service) Remember(revision uint64, content []byte) error {
	if s.cfg.DataFolder == "" {
		return nil
	}
	b, err := corecontrol.Marshal(&acted{Revision: revision, Content: content})
	if err != nil {
		return err
	}
	if err := disk.WriteSealed(s.cfg.Disk, s.actedPath(), b); err != nil {
		s.fatal(err)
		return err
	}
	return nil
}

// recall puts the revision in force that this instance acted on before. Older
// ones are refused by the tree from then on.
func (s *Service) recall() error {
	if s.cfg.Spread == nil {
		return nil
	}
	b, err := disk.ReadSealed(s.cfg.Disk, s.actedPath())
	if fault.CodeOf(err) == fault.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	var a acted
	if err := corecontrol.Unmarshal(b, &a); err != nil {
		return err
	}
	return s.cfg.Spread.Publish(a.Revision, a.Content)
}

func (s *Service) actedPath() string { return filepath.Join(s.cfg.DataFolder, actedFile) }
