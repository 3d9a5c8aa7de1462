package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
	"github.com/comfreyladder/comfreyladder/instance/logline"
	"github.com/comfreyladder/comfreyladder/instance/roles"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/upstream"
	"github.com/comfreyladder/comfreyladder/platform"
)

const (
	// logClose bounds the wait for the last lines at the end.
	logClose = 200 * time.Millisecond
	// settingsEvery is how often the settings file is looked at: it may change
	// without a signal.
	settingsEvery = 2 * time.Second
)

// rates bounds the lines a second of the kinds that come with each request; failures
// may write more than successes.
var rates = map[string]int{"request_done": 10, "request_failed": 40, "attempt": 40}

// runOnPlatform runs the process that the platform's settings file describes.
func runOnPlatform(opts options) error {
	// A closed log must not end the process, nor a signal that comes while it starts.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := opts.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return err
		}
	}
	load := func() (*roles.Config, error) {
		cfg, err := platform.LoadSettings(path)
		if err != nil {
			return nil, err
		}
		if opts.Metrics > 0 {
			cfg.Metrics = net.JoinHostPort(cfg.IP, strconv.Itoa(opts.Metrics))
		}
		return cfg, loadScaling(cfg, opts.Scaling)
	}
	cfg, err := load()
	if err != nil || opts.Check {
		return err
	}
	events := eventlog.New(os.Stdout, rates)
	defer events.Close(logClose)
	log, err := logline.New(events, "info")
	if err != nil {
		return err
	}
	dialect := &roles.Dialect{Headers: platform.Headers(), Control: platform.Control, Ready: platform.Ready, Reload: load,
		Provider: func(address string, client *upstream.Client) duty.Provider {
			return platform.NewProvider(address, client)
		},
	}
	p, err := roles.New(cfg, dialect, log, events)
	if err != nil {
		return err
	}
	if err := p.Start(context.Background()); err != nil {
		events.Event("start_failed").Err(err).End()
		return err
	}
	return supervise(p, path, signals)
}

// loadScaling fills in an operator's settings of the autoscaling. They are checked also where
// there is none.
func loadScaling(cfg *roles.Config, path string) error {
	if path == "" {
		return nil
	}
	s, err := settings.LoadScaling(path)
	if err != nil || cfg.Duties == nil || cfg.Duties.Scale == nil {
		return err
	}
	cfg.Duties.Scale.Plan, cfg.Duties.Scale.DryRun = s.Plan(), s.DryRun
	return nil
}

// supervise runs until the process is told to end.
func supervise(p *roles.Process, path string, signals <-chan os.Signal) error {
	last, _ := os.ReadFile(path)
	look := time.NewTicker(settingsEvery)
	defer look.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return p.Stop()
			}
			p.Reload("signal")
		case <-look.C:
			if b, err := os.ReadFile(path); err == nil && !bytes.Equal(b, last) {
				last = b
				p.Reload("file")
			}
		case err := <-p.Fatal():
			return err
		}
	}
}
