package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/kernel"
	"github.com/comfreyladder/comfreyladder/instance/link"
	"github.com/comfreyladder/comfreyladder/instance/order"
)

const (
	// channelOrders is the link channel on which an instance returns its order status.
	channelOrders = "orders.status"
	ordersTimeout = time.Second
)

func (d *Daemon) orders() kernel.Module {
	needs := []string{nameConfig, nameControl, nameSpread, nameMembers, nameRegistry, nameClient, nameLinks}
	return kernel.Module{Name: nameOrders, Needs: needs, New: func(k *kernel.Kernel) (kernel.Service, error) {
		p := &services{}
		for _, get := range []func() error{
			lookupInto(k, nameConfig, &p.config), lookupInto(k, nameControl, &p.control), lookupInto(k, nameSpread, &p.spread), lookupInto(k, nameMembers, &p.members),
			lookupInto(k, nameRegistry, &p.registry), lookupInto(k, nameClient, &p.client), lookupInto(k, nameLinks, &p.links),
		} {
			if err := get(); err != nil {
				return nil, err
			}
		}
		return d.newOrders(p), nil
	}}
}

func (d *Daemon) newOrders(p *services) *order.Service {
	peers := &schedulePeers{d: d, members: p.members}
	s := order.New(order.Config{
		Domain: d.cfg.Instance.FailureDomain, Self: d.cfg.Instance.Name, Members: peers.Members, Propose: p.control.Propose,
		Client: p.client.Client, View: p.registry.View, Newest: func() bool { return p.spread.Lease().Valid }, Log: d.log,
	}, rand.Text())
	p.config.Subscribe(func(v *config.View) { s.SetIntent(v.Document) })
	p.links.Handle(channelOrders, func(context.Context, string, link.Message) (any, error) { return s.Status(), nil })
	return s
}

// ordersStatus returns the status of the instance that issues orders to the
// engines. If that is another instance which does not answer, it returns the
// local status.
func (d *Daemon) ordersStatus(p *services) admin.OrdersStatus {
	st := p.orders.Status()
	if st.Issuer == "" || st.Issuer == d.cfg.Instance.Name {
		return toOrdersStatus(&st)
	}
	ctx, cancel := context.WithTimeout(context.Background(), ordersTimeout)
	defer cancel()
	var theirs order.Status
	if err := p.links.Call(ctx, st.Issuer, channelOrders, struct{}{}, &theirs); err != nil {
		return toOrdersStatus(&st)
	}
	return toOrdersStatus(&theirs)
}

func toOrdersStatus(st *order.Status) admin.OrdersStatus {
	out := admin.OrdersStatus{Issuer: st.Issuer, Fence: st.Fence}
	if st.Fence > 0 {
		out.LeaseUntil = &st.Until
		if clock.Now().Before(st.SettledAt) {
			out.SettledAt = &st.SettledAt
		}
	}
	for _, m := range st.Models {
		out.Models = append(out.Models, admin.ModelStatus(m))
	}
	for _, e := range st.Engines {
		out.Engines = append(out.Engines, admin.EngineOrders{
			Name: e.Name, Condition: string(e.Condition), Wanted: e.Wanted, Held: e.Held, Fence: e.Fence, ChecksFence: e.ChecksFence,
		})
	}
	return out
}
