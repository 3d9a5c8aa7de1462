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

// What a user would see: an instance that lost power while it took a snapshot
// does not start, or starts with half a state. What happens: power fails at one
// of the syncs of Save. Cause: the new file takes its name before its content is
// durable, or the name itself is not.
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
				g.Expect(index).To(Equal(uint64(2)), "what was reported saved must be there")
			}
			g.Expect(string(content)).To(Equal(map[uint64]string{1: "old", 2: "new"}[index]))
		}
	}
}

// What a user would see: after a restart an instance acts on an older
// configuration. What happens: the newest snapshot is damaged, the older one is
// loaded, and the log between them was truncated. Cause: a silent fall-back.
func TestDamagedNewestIsNotPassedOver(t *testing.T) {
	g := NewWithT(t)
	for offset := range 15 {
		fs := disktest.NewMemory()
		s := open(t, fs)
		g.Expect(s.Save(1, []byte("old"))).To(Succeed())
		g.Expect(s.Save(2, []byte("new"))).To(Succeed())
		fs.Patch("d/0000000000000002.snap", func(b []byte) []byte { b[offset] ^= 0x10; return b })
		_, _, err := open(t, fs).Load()
		var d *snap.DamageError
		g.Expect(errors.As(err, &d)).To(BeTrue())
		g.Expect(d.File).To(Equal("d/0000000000000002.snap"))
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Corrupt))
	}
}
