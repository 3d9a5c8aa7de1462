package consensus

import (
	"path/filepath"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

const (
	identityFile = "identity"
	walDir       = "wal"
	snapDir      = "snap"
)

// Identity identifies a disk. It is written when the disk is initialised, with a
// random member ID, and updated when the disk founds or joins a cluster.
type Identity struct {
	ID   raft.MemberID `codec:"i"`
	Name string        `codec:"n"`
	// Cluster is empty until the disk has founded or joined a cluster.
	Cluster raft.ClusterID `codec:"c"`
	// Founding is the persisted state of the founding protocol, on a founder.
	Founding founding.State `codec:"f"`
}

// Initialise returns the identity of the disk in dir, and creates one with the
// given ID and name if the folder is empty. A wiped disk has no identity and gets a
// new ID: it must not vote under its old ID, whose votes are lost. For the same
// reason, a folder with log or snapshot files but no identity is rejected with
// fault.Corrupt.
func Initialise(fs disk.FS, dir string, fresh raft.MemberID, name string) (Identity, error) {
	var id Identity
	if err := fs.MkdirAll(dir); err != nil {
		return id, fault.Wrap(err, fault.Unavailable, "create folder %s", dir)
	}
	b, err := disk.ReadWithChecksum(fs, filepath.Join(dir, identityFile))
	if err == nil {
		err = id.restore(fs, dir, b)
		return id, err
	}
	if fault.CodeOf(err) != fault.NotFound {
		return id, err
	}
	if err := checkNoLeftovers(fs, dir); err != nil {
		return id, err
	}
	id = Identity{ID: fresh, Name: name}
	return id, id.save(fs, dir)
}

// restore decodes the content of the identity file and makes it durable: save may have been
// interrupted between renaming the file and syncing the folder.
func (i *Identity) restore(fs disk.FS, dir string, content []byte) error {
	if err := control.Unmarshal(content, i); err != nil {
		return err
	}
	if err := fs.SyncDir(dir); err != nil {
		return fault.Wrap(err, fault.Unavailable, "sync %s", dir)
	}
	return nil
}

func checkNoLeftovers(fs disk.FS, dir string) error {
	for _, sub := range []string{walDir, snapDir} {
		names, err := fs.List(filepath.Join(dir, sub))
		if err == nil && len(names) > 0 {
			return fault.New(fault.Corrupt, "%s has files in %s but no identity file; empty it to use it for a new member", dir, sub)
		}
	}
	return nil
}

func (i *Identity) save(fs disk.FS, dir string) error {
	b, err := control.Marshal(i)
	if err != nil {
		return err
	}
	return disk.WriteWithChecksum(fs, filepath.Join(dir, identityFile), b)
}

// Join records that the disk belongs to a cluster. The member then waits until the
// cluster's leader adds it as a learner and sends the log. Join fails with
// fault.Conflict when the disk belongs to another cluster.
func Join(fs disk.FS, dir string, id *Identity, cluster raft.ClusterID) error {
	if id.Cluster == cluster {
		return nil
	}
	if id.Cluster != "" || id.Founding.Phase != founding.Empty || cluster == "" {
		return fault.New(fault.Conflict, "the disk in %s belongs to cluster %q", dir, id.Cluster)
	}
	id.Cluster = cluster
	return id.save(fs, dir)
}

// RecordFounding persists the state of the founding protocol; see
// founding.Ready.State.
func RecordFounding(fs disk.FS, dir string, id *Identity, s founding.State) error {
	if id.Cluster != "" && id.Cluster != s.Charter.Cluster {
		return fault.New(fault.Conflict, "the disk in %s belongs to cluster %q", dir, id.Cluster)
	}
	id.Founding = s
	if s.Phase == founding.Founded {
		id.Cluster = s.Charter.Cluster
	}
	return id.save(fs, dir)
}

// genesis returns the initial hard state and snapshot of a founder, which are the
// same on all founders. A disk that joined a cluster has none.
func (i *Identity) genesis() (raft.HardState, raft.Snapshot) {
	if i.Founding.Phase != founding.Founded {
		return raft.HardState{}, raft.Snapshot{}
	}
	return raft.HardState{Term: raft.FoundingTerm}, raft.Snapshot{Index: 1, Term: raft.FoundingTerm, Members: i.Founding.Charter.Members}
}
