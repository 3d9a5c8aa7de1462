// Package control runs this instance's part in the control state. An instance
// with a data folder is a member of the control group: it founds it with others
// or joins it as a learner, and keeps the replicated state. One without asks
// members. Accepted revisions go to all instances by instance/spread.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/claim"
	corecontrol "github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/control/fence"
	"github.com/comfreyladder/comfreyladder/core/control/quarantine"
	"github.com/comfreyladder/comfreyladder/core/control/revision"
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/core/control/usage"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/core/raft"
	"github.com/comfreyladder/comfreyladder/core/raft/founding"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/plain"
)

// Channels of this service.
const (
	channelRaft     = "control.raft"
	channelFounding = "control.founding"
	channelJoin     = "control.join"
	channelPropose  = "control.propose"
	channelRead     = "control.read"
	channelForce    = "control.force"
	channelUnknowns = "control.unknowns"
	channelGroup    = "control.group"
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Spread carries revisions to all instances.
type Spread interface {
	Publish(revision uint64, data []byte) error
	Renew(at time.Time, ttl time.Duration)
	TakeOver(ttl time.Duration, first bool)
	InForce(revision uint64) bool
	Acts(revision uint64) bool
}

// Config of a Service.
type Config struct {
	// Name is this instance's name.
	Name string
	// DataFolder is empty on an instance that only follows.
	DataFolder string
	// Disk holds the data folder; nil means the machine's filesystem.
	Disk disk.FS
	// Founders lists the names of the instances that found the group; empty on
	// one that joins.
	Founders []string
	// FoundingIntent becomes revision 1; nil on an instance that doesn't found.
	FoundingIntent *intent.Document
	Links          Links
	Spread         Spread
	// Members returns the names of instances that may hold control state, the
	// likely ones first.
	Members func() []string
	// Current returns the configuration in force here; nil means that confirms
	// travel with whole documents.
	Current func() (*config.View, error)
	// Lease is how long a configuration counts as the newest after the last
	// contact with the leader.
	Lease time.Duration
	Log   zerolog.Logger
	// OnFatal is told once when the disk failed and this member had to stop.
	OnFatal func(error)

	// Bootstrap lets an empty disk found the group together with Founders. Without
	// it, Founders only takes part in a founding that the disk has begun already.
	Bootstrap bool
	// MendMembers lets the leader replace members that fell silent, and lets a
	// member that was replaced join again, without an operator; see core/raft/roster.
	MendMembers bool
	// WaitOutDisk keeps the process when its disk refuses writes: the member stops
	// to vote, and starts again from the disk every diskRetry.
	WaitOutDisk bool
	// Heartbeat, ElectionTimeout and RestartTimeout are those of the raft member; zero means
	// raft's defaults, which suit regions that are far apart.
	Heartbeat, ElectionTimeout, RestartTimeout time.Duration
	// OnApplied, if set, is called for each change of the replicated state, from the
	// member's goroutine: it must not block.
	OnApplied func(index uint64)
}

// Service is this instance's part in the control state.
type Service struct {
	cfg     Config
	group   atomic.Pointer[consensus.Service]
	founder atomic.Pointer[consensus.Founder]
	names   atomic.Pointer[map[raft.MemberID]string]
	changed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// clusterID is set before group is.
	clusterID raft.ClusterID
	// lastEncoded is what encoded returned last: the leader asks for it at each
	// renewal, and a document of 1,600 organisations takes some milliseconds.
	lastEncoded atomic.Pointer[encodedRevision]
	// leaderHint is who answered last for the group, for instances that follow.
	leaderHint atomic.Pointer[string]
	// loops says that the goroutines beside the member run.
	loops atomic.Bool
	// ledTerm is the last term in which this instance became the tree's root.
	ledTerm atomic.Uint64
}

// New returns a service that is not started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.Disk == nil {
		cfg.Disk = disk.OS{}
	}
	s := &Service{cfg: cfg, changed: make(chan struct{}, 1)}
	s.names.Store(&map[raft.MemberID]string{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	cfg.Links.Handle(channelRaft, s.receiveRaft, link.Lossy())
	cfg.Links.Handle(channelFounding, s.receiveFounding, link.Lossy())
	cfg.Links.Handle(channelJoin, s.receiveJoin)
	cfg.Links.Handle(channelPropose, s.receivePropose)
	cfg.Links.Handle(channelRead, s.receiveRead)
	cfg.Links.Handle(channelForce, s.receiveForce)
	cfg.Links.Handle(channelUnknowns, s.receiveUnknowns, link.Bulk())
	cfg.Links.Handle(channelGroup, s.receiveGroup)
	return s
}

// Start opens the disk, if there is one, and goes on in the background: a
// founding or joining needs other instances, which may start later.
func (s *Service) Start(context.Context) error {
	if s.cfg.DataFolder == "" {
		return nil
	}
	if s.cfg.WaitOutDisk {
		s.running.Go(s.openPatiently)
		return nil
	}
	return s.open()
}

func (s *Service) open() error {
	id, err := s.identity()
	if err != nil {
		return err
	}
	if err := s.recall(); err != nil {
		return err
	}
	if id.Cluster != "" {
		if err := s.startGroup(id); err != nil {
			return err
		}
	}
	if len(s.cfg.Founders) > 0 && (s.cfg.Bootstrap || id.Founding.Phase != founding.Empty) {
		return s.startFounder(id)
	}
	if id.Cluster == "" {
		s.running.Go(func() { s.join(id) })
	}
	return nil
}

// drainTimeout bounds a hand-over; a stop without one is safe, and costs the
// group an election timeout.
const drainTimeout = 2 * time.Second

// Drain implements kernel.Drainer: a leader hands over before it ends.
func (s *Service) Drain(ctx context.Context) error {
	g := s.group.Load()
	if g == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := g.Drain(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("control leadership not handed over")
	}
	return nil
}

// Stop ends all work of the service.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	var err error
	if f := s.founder.Load(); f != nil {
		err = f.Stop(ctx)
	}
	if g := s.group.Load(); g != nil {
		if stopErr := g.Stop(ctx); stopErr != nil {
			err = stopErr
		}
	}
	s.running.Wait()
	return err
}

// startGroup starts the member of a disk whose cluster is known.
func (s *Service) startGroup(id consensus.Identity) error {
	g, err := consensus.New(consensus.Config{
		FS: s.cfg.Disk, Dir: s.cfg.DataFolder, Identity: id, Mux: newMux(), Transport: transport{s},
		Seed: int64(id.ID), OnFatal: s.failed, Heartbeat: s.cfg.Heartbeat, ElectionTimeout: s.cfg.ElectionTimeout,
		RestartTimeout: s.cfg.RestartTimeout, OnRole: s.logRole, OnSlowDisk: s.logSlowDisk,
	})
	if err != nil {
		return err
	}
	g.Watch(s.applied)
	if err := g.Start(s.ctx); err != nil {
		return err
	}
	s.clusterID = id.Cluster
	s.group.Store(g)
	s.refreshNames()
	if s.loops.CompareAndSwap(false, true) {
		s.running.Go(s.publishLoop)
		s.running.Go(s.leadLoop)
	}
	s.wake()
	return nil
}

func newMux() *corecontrol.Mux {
	return corecontrol.NewMux(map[string]corecontrol.Machine{
		revision.Name:     revision.New(),
		fence.Name:        fence.New(),
		serving.Name:      serving.New(),
		usage.Name:        usage.New(),
		quarantine.Name:   quarantine.New(),
		plain.MachineName: claim.New(claim.DefaultLimits),
	})
}

func (s *Service) fatal(err error) {
	s.cfg.Log.Error().Err(err).Msg("control member stopped: its disk can no longer be trusted")
	if s.cfg.OnFatal != nil {
		s.cfg.OnFatal(err)
	}
}

// applied is called for each applied entry, from the member's goroutine.
func (s *Service) applied(index uint64, e corecontrol.Entry) {
	if e.Machine == "" || e.Machine == revision.Name {
		s.wake()
	}
	if s.cfg.OnApplied != nil {
		s.cfg.OnApplied(index)
	}
}

func (s *Service) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// publishLoop puts each revision that this member applied on its way.
func (s *Service) publishLoop() {
	for {
		select {
		case <-s.changed:
		case <-s.ctx.Done():
			return
		}
		number, data, err := s.encoded()
		if err == nil && number > 0 && s.cfg.Spread != nil {
			err = s.cfg.Spread.Publish(number, data)
		}
		if err != nil && fault.CodeOf(err) != fault.Conflict {
			s.cfg.Log.Error().Err(err).Uint64("revision", number).Msg("revision not published")
		}
	}
}

// encodedRevision is a revision in the form in which it is spread.
type encodedRevision struct {
	number uint64
	data   []byte
}

// encoded returns the revision that this member applied last.
func (s *Service) encoded() (number uint64, data []byte, err error) {
	s.group.Load().View(func(_ uint64, m *corecontrol.Mux) {
		var doc *intent.Document
		number, doc = m.Machine(revision.Name).(*revision.Machine).Current()
		if last := s.lastEncoded.Load(); last != nil && last.number == number {
			data = last.data
			return
		}
		if data, err = Encode(doc); err == nil {
			s.lastEncoded.Store(&encodedRevision{number, data})
		}
	})
	return number, data, err
}

// Encode returns a document in the form in which it is spread.
func Encode(doc *intent.Document) ([]byte, error) { return corecontrol.Marshal(doc) }

// Decode reads what Encode made.
func Decode(data []byte) (*intent.Document, error) {
	doc := &intent.Document{}
	return doc, corecontrol.Unmarshal(data, doc)
}

func newMemberID() raft.MemberID {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return raft.MemberID(binary.LittleEndian.Uint64(b[:]) | 1)
}

func newClusterID() raft.ClusterID {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return raft.ClusterID(hex.EncodeToString(b[:]))
}
