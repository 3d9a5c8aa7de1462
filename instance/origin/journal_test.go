package origin_test

import (
	"context"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/fault"
	core "github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/disk/disktest"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/origin"
)

// addresses tells where instances listen.
type addresses struct{ sync.Map }

func (a *addresses) Address(name string) (string, bool) {
	v, known := a.Load(name)
	if !known {
		return "", false
	}
	return v.(string), true
}

// asker calls a member as an instance does.
type asker struct {
	links  *link.Service
	number uint64
}

func (a *asker) call(channel string, req, resp any) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	Expect(a.links.Call(ctx, "member", channel, req, resp)).To(Succeed())
}

func (a *asker) tell(software string, streams ...core.Key) {
	a.number++
	begun := &origin.Begun{Groups: []origin.Group{{Service: "s", Software: software, Streams: streams}}, Number: a.number, First: a.number == 1, Urgent: true}
	Expect(a.links.Send("member", origin.ChannelBegun, begun)).To(Succeed())
	Eventually(a.received).Should(Equal(a.number))
}

// received returns the number of the last message before which none is missing.
func (a *asker) received() uint64 {
	var resp origin.CheckResponse
	a.call(origin.ChannelCheck, origin.CheckRequest{}, &resp)
	return resp.Number
}

func (a *asker) find(k core.Key) (resp origin.FindResponse) {
	a.call(origin.ChannelFind, &origin.FindRequest{Stream: k, Service: "s"}, &resp)
	return resp
}

// startMember starts a member on a disk.
func startMember(t *testing.T, fs disk.FS) (*asker, func()) {
	RegisterTestingT(t)
	ctx, book := context.Background(), &addresses{}
	start := func(name string) *link.Service {
		links, err := link.New(link.Config{Self: name, Listen: "127.0.0.1:0", AllowUnauthenticated: true, Book: book, Log: zerolog.Nop()})
		Expect(err).NotTo(HaveOccurred())
		return links
	}
	member, other := start("member"), start("edge")
	s := origin.New(origin.Config{
		Replica: func() *consensus.Service { return nil }, Links: member, DataFolder: "data", Disk: fs, Log: zerolog.Nop(),
		OnlySoftware: func(context.Context, string) (string, bool, error) { return "", false, nil },
	})
	for _, service := range []interface{ Start(context.Context) error }{member, other, s} {
		Expect(service.Start(ctx)).To(Succeed())
	}
	book.Store("member", member.Addr().String())
	book.Store("edge", other.Addr().String())
	stop := sync.OnceFunc(func() {
		for _, service := range []interface{ Stop(context.Context) error }{other, member, s} {
			Expect(service.Stop(ctx)).To(Succeed())
		}
	})
	t.Cleanup(stop)
	return &asker{links: other}, stop
}

// Guards against streams that are forgotten when all members are killed, with the instance that carried them.
func TestOriginsOutliveTheProcess(t *testing.T) {
	fs := disktest.NewMemory()
	m, stop := startMember(t, fs)
	m.tell("v1", 1, 2)
	m.tell("v2", 3)
	stop()
	m, stop = startMember(t, fs)
	Eventually(func() string { return m.find(3).Software }).Should(Equal("v2"))
	Expect(m.find(1).Software).To(Equal("v1"))
	Expect(m.find(4).Known).To(BeFalse())
	Expect(m.received()).To(BeZero(), "instances can tell that it has restarted")
	m.tell("v3", 4)
	stop()
	m, _ = startMember(t, fs)
	Eventually(func() string { return m.find(4).Software }).Should(Equal("v3"))
	Expect(m.find(2).Software).To(Equal("v1"))
}

// Guards against a member that stops, or goes without a journal for good, because its journal is damaged.
func TestDamagedJournalIsReplaced(t *testing.T) {
	fs := disktest.NewMemory()
	m, stop := startMember(t, fs)
	m.tell("v1", 1)
	stop()
	dir := filepath.Join("data", "origins")
	names, err := fs.List(dir)
	Expect(err).NotTo(HaveOccurred())
	Expect(fs.Rename(filepath.Join(dir, names[0]), filepath.Join(dir, "x.wal"))).To(Succeed())
	m, stop = startMember(t, fs)
	m.tell("v2", 2)
	Expect(m.find(2).Software).To(Equal("v2"))
	stop()
	m, _ = startMember(t, fs)
	Eventually(func() string { return m.find(2).Software }).Should(Equal("v2"))
}

// Guards against a member whose answers wait for a disk that refuses writes, or that keeps nothing once the disk
// takes writes again.
func TestMemberGoesOnWithoutItsDisk(t *testing.T) {
	fs := disktest.NewMemory()
	m, stop := startMember(t, fs)
	fs.SetSyncFails(func(string) error { return fault.New(fault.Unavailable, "no space left") })
	begun := time.Now()
	m.tell("v1", 1)
	Expect(m.find(1).Software).To(Equal("v1"))
	Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	fs.SetSyncFails(nil)
	Eventually(func() bool {
		m.tell("v2", 2)
		return len(contentOf(fs)) > 0
	}).WithTimeout(5 * time.Second).Should(BeTrue())
	stop()
	m, _ = startMember(t, fs)
	Eventually(func() string { return m.find(2).Software }).Should(Equal("v2"))
}

// contentOf returns what the journal holds.
func contentOf(fs disk.FS) (content []byte) {
	dir := filepath.Join("data", "origins")
	names, _ := fs.List(dir)
	for _, name := range names {
		b, _ := fs.ReadFile(filepath.Join(dir, name))
		content = append(content, b...)
	}
	return content
}

// Guards against a lost message that is not noticed.
func TestMissingMessageIsNoticed(t *testing.T) {
	m, _ := startMember(t, disktest.NewMemory())
	send := func(number uint64, first bool) {
		Expect(m.links.Send("member", origin.ChannelBegun, &origin.Begun{Number: number, First: first})).To(Succeed())
	}
	send(7, false)
	send(8, false)
	Consistently(m.received).WithTimeout(100*time.Millisecond).Should(BeZero(), "the first one is missing")
	send(9, true)
	send(10, false)
	Eventually(m.received).Should(Equal(uint64(10)))
	send(12, false)
	send(13, false)
	Consistently(m.received).WithTimeout(100*time.Millisecond).Should(Equal(uint64(10)), "11 is missing")
	send(14, true)
	Eventually(m.received).Should(Equal(uint64(14)))
}
