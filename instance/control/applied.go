package control

import (
	"path/filepath"

	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// appliedRevisionFile is the name of the file with the last revision that this instance applied.
const appliedRevisionFile = "acted"

type appliedRevision struct {
	Revision uint64 `codec:"r"`
	Content  []byte `codec:"c"`
}

// SaveApplied makes a revision durable before this instance applies it; without a data
// folder it does nothing. A restarted member replays its log from the last snapshot
// on, and the first revisions in it can be thousands of revisions old. Without this
// file the member would apply all of them again, and one that is cut off would remain
// on the first. A failed write is fatal.
func (s *Service) SaveApplied(revision uint64, content []byte) error {
	if s.cfg.DataFolder == "" {
		return nil
	}
	b, err := corecontrol.Marshal(&appliedRevision{Revision: revision, Content: content})
	if err != nil {
		return err
	}
	if err := disk.WriteWithChecksum(s.cfg.Disk, s.appliedRevisionPath(), b); err != nil {
		s.fatal(err)
		return err
	}
	return nil
}

// restoreApplied publishes the revision that this instance had applied before its restart, so
// that the distribution tree rejects older ones from then on.
func (s *Service) restoreApplied() error {
	if s.cfg.Spread == nil {
		return nil
	}
	b, err := disk.ReadWithChecksum(s.cfg.Disk, s.appliedRevisionPath())
	if fault.CodeOf(err) == fault.NotFound {
		return nil
	}
	if err != nil {
		return err
	}
	var a appliedRevision
	if err := corecontrol.Unmarshal(b, &a); err != nil {
		return err
	}
	return s.cfg.Spread.Publish(a.Revision, a.Content)
}

func (s *Service) appliedRevisionPath() string {
	return filepath.Join(s.cfg.DataFolder, appliedRevisionFile)
}
