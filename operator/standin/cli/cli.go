// Package cli holds the subcommands that run stand-ins as processes of their own.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
	"github.com/comfreyladder/comfreyladder/operator/standin/service"
)

// AddCommands adds "standin engine" and "standin service" to p.
func AddCommands(p *flags.Parser) error {
	group, err := p.AddCommand("standin", "run a stand-in of an upstream",
		"Stand-ins speak the upstreams' protocols without real engines. They end at SIGTERM or SIGINT, after a leave.", &struct{}{})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "add command standin")
	}
	if _, err := group.AddCommand("engine", "run a stand-in of a model engine", "", &Engine{Out: os.Stdout}); err != nil {
		return fault.Wrap(err, fault.Internal, "add command standin engine")
	}
	if _, err := group.AddCommand("service", "run a stand-in of a plain service", "", &Service{Out: os.Stdout}); err != nil {
		return fault.Wrap(err, fault.Internal, "add command standin service")
	}
	return nil
}

// Common holds the options that both kinds share.
type Common struct {
	Name       string        `long:"name" required:"yes" description:"name of the upstream"`
	Domain     string        `long:"domain" required:"yes" description:"failure domain"`
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"IP number and port"`
	Announce   []string      `long:"announce" description:"address of an instance; may be repeated, beats go round-robin"`
	Credential string        `long:"credential" env:"COMFREYLADDER_UPSTREAM_KEY" description:"bearer credential of the beats"`
	Grace      time.Duration `long:"grace" default:"30s" description:"how long work in flight may take after SIGTERM"`
}

func (c Common) host() host.Config {
	return host.Config{Listen: c.Listen, Announce: c.Announce, Credential: c.Credential}
}

// Engine is the subcommand "standin engine".
type Engine struct {
	Common
	Models      []string      `long:"model" description:"model that is loaded at the start; may be repeated; none: any is served"`
	Slots       int           `long:"slots" default:"16" description:"limit of the batch"`
	QueueLimit  int           `long:"queue-limit" description:"limit of the waiting queue; 0: none"`
	Speed       float64       `long:"speed" default:"1" description:"all work is faster by this factor"`
	CacheTokens int           `long:"cache-tokens" description:"memory of the prefix cache; 0: the default"`
	EventDelay  time.Duration `long:"event-delay" default:"1s" description:"how late cache events are published"`
	EventLoss   float64       `long:"event-loss" description:"share of cache events that is lost"`
	ReportLag   time.Duration `long:"report-lag" description:"how old load reports are"`
	Straggler   float64       `long:"straggler" default:"1" description:"slows all work by this factor"`
	LoadTime    time.Duration `long:"load-time" default:"20s" description:"time to load one model's weights"`
	ChecksFence bool          `long:"checks-fence" description:"refuse orders with an old fencing number"`
	Seed        uint64        `long:"seed" description:"seed of losses and crossings"`
	// Out gets one line with the address once the stand-in serves.
	Out io.Writer `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *Engine) Execute(_ []string) error {
	e := engine.New(engine.Config{
		Config: c.host(), Name: c.Name, Domain: c.Domain, Models: c.Models,
		Slots: c.Slots, QueueLimit: c.QueueLimit, Speed: c.Speed, CacheTokens: c.CacheTokens,
		EventDelay: c.EventDelay, EventLoss: c.EventLoss, LoadTime: c.LoadTime,
		ChecksFence: c.ChecksFence, Seed: c.Seed,
		Faults: engine.Faults{Straggler: c.Straggler, ReportLagMillis: c.ReportLag.Milliseconds()},
	})
	return run(c.Out, c.Common, e)
}

// Service is the subcommand "standin service".
type Service struct {
	Common
	Service string        `long:"service" default:"booking" description:"name of the plain service"`
	Delay   time.Duration `long:"delay" description:"time before the effect of a call"`
	// Out gets one line with the address once the stand-in serves.
	Out io.Writer `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *Service) Execute(_ []string) error {
	s := service.New(service.Config{
		Config: c.host(), Name: c.Name, Domain: c.Domain, Service: c.Service,
		Faults: service.Faults{DelayMillis: c.Delay.Milliseconds()},
	})
	return run(c.Out, c.Common, s)
}

// upstream is what the two kinds have in common.
type upstream interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	Address() string
}

// run serves until a signal comes, then leaves and lets work in flight end.
func run(out io.Writer, c Common, u upstream) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := u.Start(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "name=%s address=%s\n", c.Name, u.Address())
	<-ctx.Done()
	grace, stop := context.WithTimeout(context.Background(), c.Grace)
	defer stop()
	return u.Stop(grace)
}
