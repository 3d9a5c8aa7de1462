package control

import (
	"context"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
)

const (
	// diskRetry is the pause before a member whose disk refused a write is started
	// again from what the disk holds.
	diskRetry = 500 * time.Millisecond
	// leaderless is for how long a member may know no leader before it asks to join
	// again: its group may have replaced it while it was cut off.
	leaderless = 3 * time.Second
)

// failed handles a member that had to stop. A full or refusing disk passes; the
// process must not end for it, since the machine's other work goes on. The member
// has stopped to vote and to acknowledge, and what it wrote last counts only once
// the log was opened, checked and synced anew.
func (s *Service) failed(err error) {
	if !s.cfg.WaitOutDisk || fault.CodeOf(err) == fault.Corrupt {
		s.fatal(err)
		return
	}
	s.cfg.Log.Error().Err(err).Str("event", "disk_refuses").Dur("retry_in", diskRetry).Msg("control member stopped until its disk writes again")
	s.running.Go(func() {
		for s.pause(diskRetry) {
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

func (s *Service) identity() (consensus.Identity, error) {
	return consensus.Initialise(s.cfg.Disk, s.cfg.DataFolder, newMemberID(), s.cfg.Name)
}

// openPatiently opens the disk as soon as it can be used.
func (s *Service) openPatiently() {
	for {
		err := s.open()
		if err == nil {
			return
		}
		s.cfg.Log.Error().Err(err).Str("event", "disk_refuses").Dur("retry_in", diskRetry).Msg("the data folder can't be used yet")
		if !s.pause(diskRetry) {
			return
		}
	}
}

// Replica returns the member of the control group that runs here, or nil.
func (s *Service) Replica() *consensus.Service { return s.group.Load() }

// rejoin asks the group to take this member in again when it has known no leader
// for a while. A group that mends itself may have replaced a member that was cut
// off; nobody answers a member that was removed, and so it does not find out by
// itself.
func (s *Service) rejoin(g *consensus.Service, since time.Time) time.Time {
	if !s.cfg.MendMembers || g.Status().Leader != 0 {
		return time.Time{}
	}
	if since.IsZero() {
		return time.Now()
	}
	if time.Since(since) < leaderless {
		return since
	}
	id := g.Identity()
	for _, name := range s.cfg.Members() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		err := s.cfg.Links.Call(ctx, name, channelJoin, joinRequest{ID: id.ID, Name: id.Name}, &joinAnswer{})
		cancel()
		if err == nil {
			break
		}
	}
	return time.Now()
}
