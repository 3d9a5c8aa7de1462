// Package control gives an instance access to the replicated control state. An
// instance with a data folder is a member of the control group: it founds the group
// with others or joins it as a learner, and keeps a replica of the state. One without
// a data folder sends its requests to members. Package instance/spread distributes
// accepted revisions to all instances.
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

// Link channels of this service.
const (
	channelRaft     = "control.raft"
	channelFounding = "control.founding"
	channelJoin     = "control.join"
	channelLeave    = "control.leave"
	channelPropose  = "control.propose"
	channelRead     = "control.read"
	channelInForce  = "control.force"
	channelUnknowns = "control.unknowns"
	channelGroup    = "control.group"
)

// Links is what this service needs of instance/link.
type Links interface {
	Send(to, channel string, msg any) error
	Call(ctx context.Context, to, channel string, req, resp any) error
	Handle(channel string, h link.Handler, options ...link.ChannelOption)
}

// Spread distributes revisions to all instances.
type Spread interface {
	Publish(revision uint64, data []byte) error
	Renew(at time.Time, ttl time.Duration)
	BecomeRoot(ttl time.Duration, first bool)
	InForce(revision uint64) bool
	HasApplied(revision uint64) bool
}

// Config configures a Service.
type Config struct {
	// Name is this instance's name, and Domain its failure domain. Voters are spread over the
	// domains if RepairMembers is set.
	Name, Domain string
	// DataFolder is empty on an instance that holds no control state.
	DataFolder string
	// Disk holds the data folder; nil means the operating system's filesystem.
	Disk disk.FS
	// Founders lists the names of the instances that found the group; empty on an
	// instance that joins.
	Founders []string
	// FoundingIntent becomes revision 1; nil on an instance that does not found.
	FoundingIntent *intent.Document
	Links          Links
	Spread         Spread
	// Members returns the names of instances that may hold control state, the most
	// likely ones first.
	Members func() []string
	// Current returns the configuration in force here; if it is nil, confirms carry
	// the whole document instead of a patch.
	Current func() (*config.View, error)
	// Lease is how long after the last contact with the leader a configuration is
	// treated as the newest.
	Lease time.Duration
	Log   zerolog.Logger
	// OnFatal, if set, is called when a disk failure stops this member for good.
	OnFatal func(error)

	// Bootstrap lets an empty disk found the group together with Founders. Without
	// it, Founders is used only to continue a founding that the disk has begun already.
	Bootstrap bool
	// RepairMembers lets the leader replace members that fell silent, and lets a
	// replaced member join again, without an operator; see core/raft/roster.
	RepairMembers bool
	// Faults is the number of members that may be lost at the same time; zero means one. A
	// group that repairs its membership keeps voters enough for it.
	Faults int
	// RetryDisk keeps the process running when its disk refuses writes: the member
	// stops voting and tries to restart from the disk every diskRetry.
	RetryDisk bool
	// Heartbeat, ElectionTimeout and RestartTimeout are as in raft.Config; zero means raft's
	// defaults, which suit regions that are far apart.
	Heartbeat, ElectionTimeout, RestartTimeout time.Duration
	// OnApplied, if set, is called for each change of the replicated state, from the
	// member's goroutine: it must not block.
	OnApplied func(index uint64)
}

// Service is this instance's access to the control state, with its member of the control
// group if it has a data folder.
type Service struct {
	cfg             Config
	group           atomic.Pointer[consensus.Service]
	founder         atomic.Pointer[consensus.Founder]
	names           atomic.Pointer[map[raft.MemberID]string]
	revisionChanged chan struct{}
	ctx             context.Context
	cancel          context.CancelFunc
	running         sync.WaitGroup
	// clusterID is set before group is.
	clusterID raft.ClusterID
	// lastEncoded caches the result of encoded: the leader needs it at each lease
	// renewal, and encoding a document of 1,600 organisations takes some milliseconds.
	lastEncoded atomic.Pointer[encodedRevision]
	// leaderHint is the member that answered last, on instances without control state.
	leaderHint atomic.Pointer[string]
	// loopsStarted is set once publishLoop and leadLoop run.
	loopsStarted atomic.Bool
	// ledTerm is the last term for which this instance became the root of the
	// distribution tree.
	ledTerm atomic.Uint64
	// unpublished is the last revision that could not be published; only leadLoop uses it.
	unpublished uint64
	// maintaining is held while the leader changes the membership.
	maintaining sync.Mutex
	leaving     leavingMembers
}

// New returns a service that has not been started; it registers its channels.
func New(cfg Config) *Service {
	if cfg.Disk == nil {
		cfg.Disk = disk.OS{}
	}
	s := &Service{cfg: cfg, revisionChanged: make(chan struct{}, 1)}
	s.names.Store(&map[raft.MemberID]string{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	cfg.Links.Handle(channelRaft, s.receiveRaft, link.Lossy())
	cfg.Links.Handle(channelFounding, s.receiveFounding, link.Lossy())
	cfg.Links.Handle(channelJoin, s.receiveJoin)
	cfg.Links.Handle(channelLeave, s.receiveLeave)
	cfg.Links.Handle(channelPropose, s.receivePropose)
	cfg.Links.Handle(channelRead, s.receiveRead)
	cfg.Links.Handle(channelInForce, s.receiveInForce)
	cfg.Links.Handle(channelUnknowns, s.receiveUnknowns, link.Bulk())
	cfg.Links.Handle(channelGroup, s.receiveGroup)
	return s
}

// Start opens the data folder, if there is one. Founding and joining continue in the
// background, since they need other instances, which may start later.
func (s *Service) Start(context.Context) error {
	if s.cfg.DataFolder == "" {
		return nil
	}
	if s.cfg.RetryDisk {
		s.running.Go(s.openWithRetry)
		return nil
	}
	return s.open()
}

func (s *Service) open() error {
	id, err := s.identity()
	if err != nil {
		return err
	}
	if err := s.restoreApplied(); err != nil {
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

// drainTimeout bounds the leadership transfer and the announcement of the stop. Stopping
// without them is safe, but costs the group an election timeout, and a voter until it is
// found silent.
const drainTimeout = 2 * time.Second

// Drain implements kernel.Drainer: before it stops, a leader transfers its leadership, and a
// voter its vote if another member can take it.
func (s *Service) Drain(ctx context.Context) error {
	g := s.group.Load()
	if g == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := g.Drain(ctx); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("control leadership not transferred")
		return nil
	}
	if err := s.announceLeave(ctx, g); err != nil {
		s.cfg.Log.Warn().Err(err).Msg("leader not told that this member stops")
	}
	return nil
}

// Stop stops the founder, the member and all goroutines of the service.
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

// startGroup starts the member of a disk that belongs to a cluster.
func (s *Service) startGroup(id consensus.Identity) error {
	g, err := consensus.New(consensus.Config{
		FS: s.cfg.Disk, Dir: s.cfg.DataFolder, Identity: id, Mux: newMux(), Transport: transport{s},
		Seed: int64(id.ID), OnFatal: s.memberFailed, Heartbeat: s.cfg.Heartbeat, ElectionTimeout: s.cfg.ElectionTimeout,
		RestartTimeout: s.cfg.RestartTimeout, OnRole: s.logRole, OnSlowDisk: s.logSlowDisk,
	})
	if err != nil {
		return err
	}
	g.Watch(s.applied)
	if err := g.Start(s.ctx); err != nil {
		return err
	}
	s.logRestored(g.Status())
	s.clusterID = id.Cluster
	s.group.Store(g)
	s.refreshNames()
	if s.loopsStarted.CompareAndSwap(false, true) {
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
	case s.revisionChanged <- struct{}{}:
	default:
	}
}

// publishLoop publishes each revision that this member applied to the distribution
// tree.
func (s *Service) publishLoop() {
	for {
		select {
		case <-s.revisionChanged:
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

// encodedRevision is a revision with its document in the encoding for distribution.
type encodedRevision struct {
	number uint64
	data   []byte
}

// encoded returns the last revision that this member applied, with its encoded document.
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

// Encode returns a document in the encoding for distribution.
func Encode(doc *intent.Document) ([]byte, error) { return corecontrol.Marshal(doc) }

// Decode decodes a document that was encoded by Encode.
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
