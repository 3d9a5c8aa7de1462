package commands

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
	"github.com/comfreyladder/comfreyladder/operator/logs"
)

const explainHelp = "Asks the instance that served the request, or reads the processes' logs.\nExamples:\n" +
	"  comfreyladder explain --key-file ops.key REQUEST-ID\n" +
	"  comfreyladder explain --log edge-1.log --log core-1.log REQUEST-ID\n" +
	"  collect-logs | comfreyladder explain --log - REQUEST-ID"

// Explain is the subcommand "explain".
type Explain struct {
	Connection
	Logs    []string      `short:"l" long:"log" value-name:"FILE" description:"read this log in place of asking an instance; - is standard input; may be repeated"`
	Context time.Duration `long:"context" default:"3s" description:"with --log: how long before the request changes of what the processes believed are shown"`
	Args    struct {
		ID string `positional-arg-name:"REQUEST-ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Explain) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(os.Stdout)
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	e, err := cl.Explain(c.Args.ID)
	if err != nil {
		return err
	}
	return c.print(os.Stdout, e, func(w io.Writer) { show.Explanation(w, e) })
}

// fromLogs prints the request's lines in all logs and the state changes around it, in order of
// time. It marks the request's own lines with ">".
func (c *Explain) fromLogs(w io.Writer) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	found := logs.Explain(lines, c.Args.ID, c.Context)
	if len(found) == 0 {
		printUncleanExits(w, logs.UncleanExits(lines))
		return fault.New(fault.NotFound, "no line names the request %q; look for event=log_dropped, or at the logs of other instances", c.Args.ID)
	}
	for _, l := range found {
		mark := " "
		if l.Field("request") == c.Args.ID {
			mark = ">"
		}
		fmt.Fprintf(w, "%s %s %s\n", mark, l.Source, l.Text)
	}
	return nil
}

// readLogs parses the named logs and returns their lines, one log after the other.
func readLogs(names []string) (lines []*logs.Line, err error) {
	for _, name := range names {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

// printUncleanExits prints the processes that exited without logging a stop.
func printUncleanExits(w io.Writer, ended []logs.UncleanExit) {
	for _, e := range ended {
		restart := "has not started since"
		if !e.Started.IsZero() {
			restart = "started anew at " + e.Started.Format(time.RFC3339Nano)
		}
		fmt.Fprintf(w, "! %s ended after %s without a stop and %s: what it had under way then has no line\n", e.Source, e.Last.Format(time.RFC3339Nano), restart)
	}
}

func readLog(name string) ([]*logs.Line, error) {
	if name == "-" {
		return logs.Read(os.Stdin, "stdin")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "open the log")
	}
	defer func() { _ = f.Close() }()
	return logs.Read(f, filepath.Base(name))
}
