// Command comfreyladderd runs an entry instance as a daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/daemon"
	"github.com/comfreyladder/comfreyladder/instance/logline"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/platform"
)

type options struct {
	Settings string `short:"s" long:"settings" value-name:"FILE" description:"the settings file (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Platform bool   `long:"platform" description:"run as a member of the users' platform, which gives the path of the settings file; see docs/PLATFORM.md"`
	Metrics  int    `long:"metrics-port" value-name:"PORT" description:"with --platform: port of the metrics listener"`
	Scaling  string `long:"scaling" value-name:"FILE" description:"with --platform: autoscaling settings file (INI); the defaults apply without it"`
	Describe bool   `long:"help-settings" description:"print all settings with their defaults and exit; with --platform those of the platform's settings file"`
}

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	var opts options
	p := flags.NewParser(&opts, flags.Default)
	p.LongDescription = "Runs one entry instance of the router until it receives SIGTERM or SIGINT or an operator asks it to drain, then drains and stops.\n" +
		"A second signal stops it immediately. Example:\n  comfreyladderd --settings operator/samples/bagmati/lalitpur-hall-1.ini"
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyladderd:", err)
		os.Exit(exitFailure)
	}
}

func run(opts options) error {
	switch {
	case opts.Describe && opts.Platform:
		platform.DescribeSettings(os.Stdout)
		fmt.Println("\nSettings of the --scaling file with their defaults:")
		settings.DescribeScaling(os.Stdout)
		return nil
	case opts.Describe:
		settings.Describe(os.Stdout)
		return nil
	}
	if opts.Platform {
		return runOnPlatform(opts)
	}
	if opts.Settings == "" {
		return fault.New(fault.Invalid, "--settings FILE is required; see --help")
	}
	cfg, err := settings.Load(opts.Settings)
	if err != nil || opts.Check {
		return err
	}
	log, err := logline.New(os.Stderr, cfg.Log.Level)
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, log.With().Str("instance", cfg.Instance.Name).Logger())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(context.Background()); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-d.DrainRequested():
	case err := <-d.Fatal():
		// Stops without draining, which may lose requests in flight. Continuing
		// to serve would be worse: the disk may lose acknowledged writes, or two
		// processes run under one name.
		_ = d.Kill(context.Background())
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancel()
	}()
	defer cancel()
	return d.Stop(ctx)
}
