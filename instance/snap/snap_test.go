package snap_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
	"github.com/comfreyladder/comfreyladder/instance/snap"
)

func open(t *testing.T, fs disk.FS) *snap.Store {
	t.Helper()
	s, err := snap.Open(fs, "d")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return s
}

func TestLastTwoAreKeptOnRealFiles(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir() + "/x"
	s, err := snap.Open(disk.OS{}, dir)
	g.Expect(err).NotTo(HaveOccurred())
	index, _, err := s.Load()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(index).To(BeZero())
	for i := range uint64(5) {
		g.Expect(s.Save(i+1, []byte{byte(i)})).To(Succeed())
	}
	index, content, err := s.Load()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(index).To(Equal(uint64(5)))
	g.Expect(content).To(Equal([]byte{4}))
	g.Expect(disk.OS{}.List(dir)).To(HaveLen(2))
}

// Guards against an instance that does not start, or starts with a partial state, after
// a power failure at any of the syncs of Save: the file is renamed before its content is
// durable, or the rename itself is not.
func TestCrashAtAnySyncLeavesOldOrNew(t *testing.T) {
	g := NewWithT(t)
	for failAt := range 3 {
		for torn := range 20 {
			fs := disktest.NewMemory()
			s := open(t, fs)
			g.Expect(s.Save(1, []byte("old"))).To(Succeed())
			syncs := 0
			fs.SetSyncFails(func(string) error {
				if syncs++; syncs > failAt {
					return fault.New(fault.Unavailable, "power failed")
				}
				return nil
			})
			saved := s.Save(2, []byte("new"))
			fs.SetSyncFails(nil)
			fs.Crash(torn)
			index, content, err := open(t, fs).Load()
			g.Expect(err).NotTo(HaveOccurred())
			if saved == nil {
				g.Expect(index).To(Equal(uint64(2)), "a snapshot that was reported as saved must exist")
			}
			g.Expect(string(content)).To(Equal(map[uint64]string{1: "old", 2: "new"}[index]))
		}
	}
}

// Guards against a silent fallback from a corrupt newest snapshot to the older one,
// after which the instance applies an outdated configuration, since the log between the
// two was truncated.
func TestCorruptNewestSnapshotIsReported(t *testing.T) {
	g := NewWithT(t)
	for offset := range 15 {
		fs := disktest.NewMemory()
		s := open(t, fs)
		g.Expect(s.Save(1, []byte("old"))).To(Succeed())
		g.Expect(s.Save(2, []byte("new"))).To(Succeed())
		fs.Patch("d/0000000000000002.snap", func(b []byte) []byte { b[offset] ^= 0x10; return b })
		_, _, err := open(t, fs).Load()
		var d *snap.CorruptionError
		g.Expect(errors.As(err, &d)).To(BeTrue())
		g.Expect(d.File).To(Equal("d/0000000000000002.snap"))
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
	}
}
