package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"time"

	coremember "github.com/comfreyladder/comfreyladder/core/member"
	"github.com/comfreyladder/comfreyladder/core/tree"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/spread"
	"github.com/comfreyladder/comfreyladder/instance/tlsconf"
)

// addressBook falls back to the founders' addresses in the settings for instances
// that membership does not know yet.
type addressBook struct {
	*member.Book
	founders map[string]string
}

// Address implements link.AddressBook.
func (b *addressBook) Address(instance string) (string, bool) {
	if addr, ok := b.Book.Address(instance); ok {
		return addr, true
	}
	addr, ok := b.founders[instance]
	return addr, ok
}

func (d *Daemon) addresses() *addressBook {
	b := &addressBook{Book: member.NewBook(d.cfg.Control.Seeds), founders: map[string]string{}}
	for _, text := range d.cfg.Control.Founders {
		if f, err := settings.ParseFounder(text); err == nil {
			b.founders[f.Name] = f.Address
		}
	}
	return b
}

func (d *Daemon) links() kernel.Module {
	return kernel.Module{Name: nameLinks, New: func(*kernel.Kernel) (kernel.Service, error) {
		key, err := d.peerKey()
		if err != nil {
			return nil, err
		}
		server, err := tlsconf.Server(d.cfg.TLS)
		if err != nil {
			return nil, err
		}
		client, err := tlsconf.Peer(d.cfg.TLS)
		if err != nil {
			return nil, err
		}
		return link.New(link.Config{
			Self: d.cfg.Instance.Name, Listen: d.cfg.Listen.Peers, Credential: key, AcceptedHashes: [][sha256.Size]byte{sha256.Sum256([]byte(key))},
			Book: d.book, ServerTLS: server, ClientTLS: client, Log: d.log,
		})
	}}
}

// peerKey returns the credential that instances share. Without a key file the
// instance runs on its own and uses a random key that no other instance has.
func (d *Daemon) peerKey() (string, error) {
	if d.cfg.Control.PeerKeyFile == "" {
		return rand.Text(), nil
	}
	return settings.ReadKey(d.cfg.Control.PeerKeyFile)
}

func (d *Daemon) members() kernel.Module {
	return kernel.Module{Name: nameMembers, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		return member.New(member.Config{
			Self: coremember.Info{
				Name: d.cfg.Instance.Name, Domain: d.cfg.Instance.FailureDomain, Address: d.cfg.Listen.Peers,
				Incarnation: uint64(time.Now().UnixNano()), Declared: coremember.Alive, Data: d.cfg.Instance.DataFolder != "",
			},
			Seeds: d.cfg.Control.Seeds, Book: d.book.Book, Links: links, Log: d.log, OnSuperseded: d.superseded,
		}), nil
	}}
}

func (d *Daemon) spread() kernel.Module {
	return kernel.Module{Name: nameSpread, Needs: []string{nameLinks, nameMembers, nameConfig}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var conf *config.Service
		err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameConfig, &conf))
		if err != nil {
			return nil, err
		}
		s := spread.New(spread.Config{
			Links: links, Layout: func() spread.Layout { return d.layout(k, members) }, MinRevision: members.RevisionSeen, Log: d.log,
			Interval: min(spread.DefaultInterval, d.cfg.Control.Lease/leaseRequestsPerLease),
		})
		s.Subscribe(func(revision uint64, data []byte) error { return d.applyRevision(k, conf, members, revision, data) })
		return s, nil
	}}
}

// leaseRequestsPerLease is how often an instance asks its parent for a lease
// within one lease duration. At this rate a leaf of a full domain, three levels
// below the leader, still receives a lease that lasts until its next request.
const leaseRequestsPerLease = 5

func (d *Daemon) applyRevision(k *kernel.Kernel, conf *config.Service, members *member.Service, revision uint64, data []byte) error {
	doc, err := control.Decode(data)
	if err == nil {
		err = saveApplied(k, revision, data)
	}
	if err != nil {
		d.log.Error().Err(err).Uint64("revision", revision).Msg("failed to apply revision")
		return err
	}
	if conf.Apply(revision, doc) {
		members.SetRevision(revision)
	}
	return nil
}

func saveApplied(k *kernel.Kernel, revision uint64, data []byte) error {
	c, err := kernel.Lookup[*control.Service](k, nameControl)
	if err != nil {
		return err
	}
	return c.SaveApplied(revision, data)
}

func (d *Daemon) layout(k *kernel.Kernel, members *member.Service) spread.Layout {
	l := spread.Layout{Self: tree.Instance{Name: d.cfg.Instance.Name, Domain: d.cfg.Instance.FailureDomain, Data: d.cfg.Instance.DataFolder != ""}}
	if c, err := kernel.Lookup[*control.Service](k, nameControl); err == nil {
		l.Root = c.Leader()
	}
	for _, m := range members.Members() {
		if m.Status < coremember.Dead {
			l.Live = append(l.Live, tree.Instance{Name: m.Name, Domain: m.Domain, Data: m.Data})
		}
	}
	return l
}

func (d *Daemon) control() kernel.Module {
	needs := []string{nameLinks, nameMembers, nameSpread, nameConfig, nameQuarantineList}
	return kernel.Module{Name: nameControl, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var sp *spread.Service
		err := runLookups(lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameSpread, &sp))
		if err != nil {
			return nil, err
		}
		conf, err := kernel.Lookup[*config.Service](k, nameConfig)
		if err != nil {
			return nil, err
		}
		list, err := kernel.Lookup[*quarantine.Service](k, nameQuarantineList)
		if err != nil {
			return nil, err
		}
		cfg := control.Config{
			Current: conf.Current, OnApplied: list.Applied,
			Name: d.cfg.Instance.Name, DataFolder: d.cfg.Instance.DataFolder, Links: links, Spread: sp,
			Members: func() []string { return d.controlMembers(members) },
			Lease:   d.cfg.Control.Lease, Log: d.log, OnFatal: d.reportFatal,
		}
		if cfg.Founders = d.founderNames(); len(cfg.Founders) > 0 {
			cfg.Bootstrap = true
			if cfg.FoundingIntent, err = intentfile.Load(d.cfg.Control.FoundingIntent); err != nil {
				return nil, err
			}
		}
		return control.New(cfg), nil
	}}
}

func (d *Daemon) founderNames() (names []string) {
	for _, text := range d.cfg.Control.Founders {
		if f, err := settings.ParseFounder(text); err == nil {
			names = append(names, f.Name)
		}
	}
	return names
}

// controlMembers returns the instances that may hold control state: known ones
// with a data folder by name, then the seeds by address, which is all that is
// known of them at startup.
func (d *Daemon) controlMembers(members *member.Service) (names []string) {
	for _, m := range members.Members() {
		if m.Data && m.Name != d.cfg.Instance.Name && m.Status < coremember.Dead {
			names = append(names, m.Name)
		}
	}
	for _, seed := range d.cfg.Control.Seeds {
		if seed != d.cfg.Listen.Peers {
			names = append(names, seed)
		}
	}
	return names
}

// superseded ends this process because a newer one runs under the same name.
func (d *Daemon) superseded() { d.reportFatal(errSuperseded) }

// reportFatal reports a fatal error; while one is pending, later ones are discarded.
func (d *Daemon) reportFatal(err error) {
	select {
	case d.fatal <- err:
	default:
	}
}

// livePeers returns the names of the other instances of this failure domain that
// are alive, suspected or draining.
func (d *Daemon) livePeers(members *member.Service) (names []string) {
	for _, m := range members.Members() {
		if m.Domain == d.cfg.Instance.FailureDomain && m.Name != d.cfg.Instance.Name && m.Status < coremember.Dead {
			names = append(names, m.Name)
		}
	}
	return names
}

// schedulePeers adapts membership and links to schedule.Peers.
type schedulePeers struct {
	*link.Service
	d       *Daemon
	members *member.Service
}

// Self implements schedule.Peers.
func (p *schedulePeers) Self() string { return p.d.cfg.Instance.Name }

// Members implements schedule.Peers.
func (p *schedulePeers) Members() (names []string) {
	for _, m := range p.members.Members() {
		if m.Domain == p.d.cfg.Instance.FailureDomain && m.Usable() {
			names = append(names, m.Name)
		}
	}
	return names
}

// Handle implements schedule.Peers.
func (p *schedulePeers) Handle(channel string, h scheduleHandler) {
	p.Service.Handle(channel, func(ctx context.Context, from string, m link.Message) (any, error) {
		h(ctx, from, m)
		return nil, nil
	})
}
