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
	// logCloseTimeout limits the wait at exit until the last log lines are written.
	logCloseTimeout = 200 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes,
	// since it may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

// maxLinesPerSecond limits, by kind, the log lines that are written with each request.
// Failures may write more than successes.
var maxLinesPerSecond = map[string]int{"request_done": 10, "request_failed": 40, "attempt": 40, "answer_without_end": 10}

// runOnPlatform runs the process that the platform's settings file describes.
func runOnPlatform(opts options) error {
	// Neither a closed log pipe nor a signal during startup may end the process.
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
	events := eventlog.New(os.Stdout, maxLinesPerSecond)
	defer events.Close(logCloseTimeout)
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

// loadScaling loads the operator's autoscaling settings into cfg. The file is also checked if
// the process does no autoscaling.
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

// supervise handles signals and changes of the settings file until the process is told to end
// or fails.
func supervise(p *roles.Process, path string, signals <-chan os.Signal) error {
	last, _ := os.ReadFile(path)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return p.Stop()
			}
			p.Reload("signal")
		case <-poll.C:
			if b, err := os.ReadFile(path); err == nil && !bytes.Equal(b, last) {
				last = b
				p.Reload("file")
			}
		case err := <-p.Fatal():
			return err
		}
	}
}
