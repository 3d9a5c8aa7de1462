// Package bench is the subcommand "bench": it runs an experiment's policies one
// after the other on the same load and writes the report.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/baseline"
	"github.com/comfreyladder/comfreyladder/operator/load/caller"
	"github.com/comfreyladder/comfreyladder/operator/load/fleet"
)

// Makers returns the policies that this package knows. The program adds its own,
// such as the router in one process.
func Makers() map[string]load.Maker {
	return map[string]load.Maker{
		"fifo":   baseline.NewFIFO,
		"strict": baseline.NewStrict,
		"known":  baseline.NewKnown,
		"remote": func(x *load.Experiment, _ uint64) load.System { return caller.NewRemote(x.Settings.Targets) },
	}
}

// AddCommands adds "bench run" to p. More policies can be given by name.
func AddCommands(p *flags.Parser, more map[string]load.Maker) error {
	group, err := p.AddCommand("bench", "offer a load and measure what becomes of it", "", &struct{}{})
	if err != nil {
		return fault.Wrap(err, fault.Internal, "add command bench")
	}
	run := &Run{Makers: Makers(), Out: os.Stdout, Progress: os.Stderr}
	for name, m := range more {
		run.Makers[name] = m
	}
	long := "Runs the experiment of an INI file (see docs/BENCH.md). Example: comfreyladder bench run bagmati.ini --out results"
	if _, err := group.AddCommand("run", "run an experiment", long, run); err != nil {
		return fault.Wrap(err, fault.Internal, "add command bench run")
	}
	return nil
}

// Run is the subcommand "bench run".
type Run struct {
	Dir      string   `long:"out" default:"bench-results" description:"folder for the JSON report and the plots"`
	Policies []string `long:"policy" description:"run only this policy; may be repeated"`
	Seeds    []uint64 `long:"seed" description:"run only this seed; may be repeated"`
	Targets  []string `long:"target" description:"address of a running instance for the policy remote; may be repeated"`
	Calm     bool     `long:"no-faults" description:"leave out the experiment's faults"`
	Quiet    bool     `long:"quiet" description:"no progress"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`

	Makers   map[string]load.Maker `no-flag:"yes"`
	Out      io.Writer             `no-flag:"yes"`
	Progress io.Writer             `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *Run) Execute(_ []string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return c.Do(ctx)
}

// Do runs the experiment and writes table, JSON and plots.
func (c *Run) Do(ctx context.Context) error {
	x, err := load.Load(c.Args.File)
	if err != nil {
		return err
	}
	if len(c.Targets) > 0 {
		x.Settings.Targets = c.Targets
	}
	if c.Calm {
		x.Faults = nil
	}
	policies, err := c.policies(x)
	if err != nil {
		return err
	}
	var results []*load.Result
	for _, seed := range c.seeds(x) {
		for _, policy := range policies {
			r, err := c.one(ctx, x, policy, seed)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	return c.write(x, results)
}

// policies checks all names before anything runs.
func (c *Run) policies(x *load.Experiment) ([]string, error) {
	list := x.Settings.Policies
	if len(c.Policies) > 0 {
		list = c.Policies
	}
	var unknown []string
	for _, p := range list {
		if c.Makers[p] == nil {
			unknown = append(unknown, p)
		}
	}
	if len(unknown) > 0 {
		var known []string
		for p := range c.Makers {
			known = append(known, p)
		}
		slices.Sort(known)
		return nil, fault.New(fault.Invalid, "policies %s are unknown, known are %s", strings.Join(unknown, ", "), strings.Join(known, ", "))
	}
	return list, nil
}

func (c *Run) seeds(x *load.Experiment) []uint64 {
	if len(c.Seeds) > 0 {
		return c.Seeds
	}
	var out []uint64
	for _, s := range x.Settings.Seeds {
		if n, err := strconv.ParseUint(s, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	return out
}

func (c *Run) one(ctx context.Context, x *load.Experiment, policy string, seed uint64) (*load.Result, error) {
	run := &load.Run{Experiment: x, Policy: policy, Seed: seed, System: c.Makers[policy](x, seed)}
	if !c.Quiet {
		run.Progress = c.Progress
	}
	if x.Settings.Fleet == "own" {
		run.StartFleet = func(ctx context.Context, announce load.Announce) (load.Fleet, error) {
			f, err := fleet.Start(ctx, x, seed, announce)
			if err != nil {
				return nil, err
			}
			return f, nil
		}
	}
	return run.Do(ctx)
}

func (c *Run) write(x *load.Experiment, results []*load.Result) error {
	report := load.Summarize(x, results)
	if err := report.WriteTable(c.Out); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fault.Wrap(err, fault.Unavailable, "create %s", c.Dir)
	}
	base := filepath.Join(c.Dir, x.Settings.Name)
	f, err := os.Create(base + ".json")
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "create report")
	}
	if err := report.WriteJSON(f); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write report")
	}
	for _, suffix := range []string{".png", ".svg"} {
		if err := load.WritePlot(x, results, base+suffix); err != nil {
			return err
		}
	}
	if err := writeMissed(results, base+"-missed.txt"); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Out, "written: %[1]s.json %[1]s.png %[1]s.svg\n", base)
	return nil
}

// writeMissed tells of requests that missed their level what became of them.
func writeMissed(results []*load.Result, path string) error {
	b := &strings.Builder{}
	for _, r := range results {
		for _, m := range r.Missed {
			o := &m.Record.Outcome
			fmt.Fprintf(b, "%s seed %d: %s at %v: %s, first token %v, between %v, total %v, %d of %d tokens %s\n",
				r.Policy, r.Seed, m.Record.Request.ID, m.Record.Request.At.Round(time.Millisecond), o.Verdict,
				o.FirstToken.Round(time.Millisecond), o.Between.Round(time.Millisecond/10), o.Total.Round(time.Millisecond),
				o.Tokens, m.Record.Request.Tokens, o.Detail)
			for _, e := range m.Events {
				fmt.Fprintf(b, "    %s\n", e)
			}
		}
	}
	if b.Len() == 0 {
		return nil
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", path)
	}
	return nil
}
