package consensus_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
)

// Guards against a start that waits for the disk for seconds and does not say so.
func TestSlowFoundingIsReported(t *testing.T) {
	g := NewWithT(t)
	fs := disktest.NewMemory()
	id, err := consensus.Initialise(fs, "data", 1, "a")
	g.Expect(err).NotTo(HaveOccurred())
	fs.SetSyncFails(func(string) error {
		time.Sleep(disk.SlowWrite)
		return nil
	})
	var slow atomic.Int64
	f, err := consensus.NewFounder(consensus.FounderConfig{
		FS: fs, Dir: "data", Identity: id, Founders: []string{"a"}, Cluster: raft.ClusterID("c"),
		Send:       func(string, founding.Message) {},
		OnSlowDisk: func(took time.Duration) { slow.Store(int64(took)) },
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	g.Expect(f.Start(ctx)).To(Succeed())
	_, err = f.Wait(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Stop(ctx)).To(Succeed())
	g.Expect(time.Duration(slow.Load())).To(BeNumerically(">=", disk.SlowWrite))
}
