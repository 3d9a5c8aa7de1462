package control

import (
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

const (
	// diskRetry is the pause between attempts to restart a member from its disk after
	// the disk refused a write.
	diskRetry = 500 * time.Millisecond
	// leaderlessTimeout is how long a member may know no leader before it asks to join
	// again: the group may have replaced it while it was cut off.
	leaderlessTimeout = 1500 * time.Millisecond
)

// memberFailed handles a fatal error of the member. With RetryDisk, a full or failing disk
// is treated as temporary and does not end the process, whose other work continues. The
// member no longer votes or acknowledges, and its last writes are used only after the log
// was opened, verified and synced again. Corrupt data is fatal in any case.
func (s *Service) memberFailed(err error) {
	if !s.cfg.RetryDisk || fault.CodeOf(err) == fault.Corrupt {
		s.fatal(err)
		return
	}
	s.cfg.Log.Error().Err(err).Str("event", "disk_refuses").Dur("retry_in", diskRetry).Msg("control member stopped until its disk accepts writes again")
	s.running.Go(func() {
		for s.sleep(diskRetry) {
			again, err := s.reopenMember()
			if err == nil {
				s.cfg.Log.Info().Str("event", "disk_regained").Uint64("member", uint64(again.ID)).Msg("control member started again")
				return
			}
		}
	})
}

func (s *Service) reopenMember() (consensus.Identity, error) {
	id, err := s.identity()
	if err != nil {
		return id, err
	}
	if id.Cluster == "" {
		s.join(id)
		return id, nil
	}
	return id, s.startGroup(id)
}

func (s *Service) identity() (id consensus.Identity, err error) {
	err = disk.ReportSlow(s.logSlowDisk, func() error {
		id, err = consensus.Initialise(s.cfg.Disk, s.cfg.DataFolder, newMemberID(), s.cfg.Name)
		return err
	})
	return id, err
}

// openWithRetry retries open until it succeeds or the service stops.
func (s *Service) openWithRetry() {
	for {
		err := s.open()
		if err == nil {
			return
		}
		s.cfg.Log.Error().Err(err).Str("event", "disk_refuses").Dur("retry_in", diskRetry).Msg("data folder not usable yet")
		if !s.sleep(diskRetry) {
			return
		}
	}
}

// Replica returns the member of the control group that runs here, or nil.
func (s *Service) Replica() *consensus.Service { return s.group.Load() }

// rejoin asks the group to add this member again when it has known no leader for a
// while. A group with automatic repair may have replaced a member that was cut off;
// since nobody answers a removed member, it cannot find out by itself. It returns the
// time from which leaderlessTimeout counts, or zero while a leader is known.
func (s *Service) rejoin(g *consensus.Service, since time.Time) time.Time {
	if !s.cfg.RepairMembers || g.Status().Leader != 0 {
		return time.Time{}
	}
	if since.IsZero() {
		return time.Now()
	}
	if time.Since(since) < leaderlessTimeout {
		return since
	}
	s.askToJoin(g.Identity())
	return time.Now()
}
