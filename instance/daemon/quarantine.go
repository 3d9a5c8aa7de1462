package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"os"
	"time"

	"github.com/comfreyladder/comfreyladder/core/reach"
	"github.com/comfreyladder/comfreyladder/instance/consensus"
	"github.com/comfreyladder/comfreyladder/instance/control"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/member"
	"github.com/comfreyladder/comfreyladder/instance/quarantine"
	"github.com/comfreyladder/comfreyladder/instance/registry"
	"github.com/comfreyladder/comfreyladder/instance/spread"
)

// quarantineList is the service of the replicated list of quarantined requests.
func (d *Daemon) quarantineList() kernel.Module {
	return kernel.Module{Name: nameQuarantineList, Needs: []string{nameLinks}, New: func(k *kernel.Kernel) (kernel.Service, error) {
		links, err := kernel.Lookup[*link.Service](k, nameLinks)
		if err != nil {
			return nil, err
		}
		replica := func() *consensus.Service {
			if c, err := kernel.Lookup[*control.Service](k, nameControl); err == nil {
				return c.Replica()
			}
			return nil
		}
		return quarantine.New(quarantine.Config{Replica: replica, Links: links, Log: d.log}), nil
	}}
}

// guardService observes crashes of upstreams, and holds the list of what is kept from them.
type guardService struct {
	*quarantine.Guard
	recorder *quarantine.Recorder
	follower *quarantine.Follower
	events   *eventlog.Sink
}

// Start implements kernel.Service.
func (g *guardService) Start(ctx context.Context) error {
	if err := g.recorder.Start(ctx); err != nil {
		return err
	}
	return g.follower.Start(ctx)
}

// Drain implements kernel.Service.
func (g *guardService) Drain(context.Context) error { return nil }

// Stop implements kernel.Service.
func (g *guardService) Stop(ctx context.Context) error {
	defer g.events.Close(time.Second)
	if err := g.follower.Stop(ctx); err != nil {
		return err
	}
	return g.recorder.Stop(ctx)
}

func (d *Daemon) guard() kernel.Module {
	needs := []string{nameLinks, nameMembers, nameControl, nameRegistry, nameSpread, nameQuarantineList}
	return kernel.Module{Name: nameGuard, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		var links *link.Service
		var members *member.Service
		var c *control.Service
		var upstreams *registry.Service
		var sp *spread.Service
		var list *quarantine.Service
		err := runLookups(
			lookupInto(k, nameLinks, &links), lookupInto(k, nameMembers, &members), lookupInto(k, nameControl, &c),
			lookupInto(k, nameRegistry, &upstreams), lookupInto(k, nameSpread, &sp), lookupInto(k, nameQuarantineList, &list),
		)
		if err != nil {
			return nil, err
		}
		events := eventlog.New(os.Stdout, nil)
		recorder := quarantine.NewRecorder(quarantine.RecorderConfig{
			Links: quarantine.Proposals{Propose: c.Propose}, Members: func() []string { return []string{nameControl} },
			CutOff: func() bool { return !sp.Lease().Valid }, Log: events,
		})
		return &guardService{
			Guard: quarantine.NewGuard(quarantine.GuardConfig{
				Recorder: recorder, Incarnation: func(name string) (uint64, bool) { return incarnationOf(upstreams, name) },
				Connect: func(ctx context.Context, address string) (net.Conn, error) {
					return d.uplink.Load().DirectChecked(ctx, reach.Target{Address: address})
				}, Log: d.log,
			}),
			recorder: recorder, events: events,
			follower: quarantine.NewFollower(quarantine.FollowerConfig{
				Recorder: recorder, Local: list, Links: links, Members: func() []string { return d.controlMembers(members) },
			}),
		}, nil
	}}
}

// incarnationOf returns a number that all instances have for the current incarnation of an upstream.
func incarnationOf(upstreams *registry.Service, name string) (uint64, bool) {
	u := upstreams.View().Find(name)
	if u == nil {
		return 0, false
	}
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(name), u.Incarnation))
	return binary.BigEndian.Uint64(sum[:]), true
}
