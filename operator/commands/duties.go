package commands

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/duty"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
	"github.com/comfreyladder/comfreyladder/operator/logs"
)

const dutiesHelp = "Asks a member of the control group, or reads the members' logs.\nExamples:\n" +
	"  comfreyladder duties --metrics 10.0.0.7:9464\n" +
	"  comfreyladder duties --metrics 10.0.0.7:9464 --window 353445120\n" +
	"  comfreyladder duties --log core-1.log --log core-2.log --window 353445120"

// Duties is the subcommand "duties".
type Duties struct {
	Printing
	Metrics string   `short:"m" long:"metrics" env:"COMFREYLADDER_METRICS" default:"127.0.0.1:9464" description:"address of the metrics of any member of the control group"`
	Window  int64    `short:"w" long:"window" value-name:"NUMBER" description:"tell of this window only, with the counts of each organisation"`
	Logs    []string `short:"l" long:"log" value-name:"FILE" description:"with --window: read this log in place of asking a member; - is standard input; may be repeated"`
}

// Execute implements flags.Commander.
func (c *Duties) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs(os.Stdout)
	}
	v, err := (&client.Client{Address: c.Metrics}).Duties()
	if err != nil {
		return err
	}
	if c.Window == 0 {
		return c.print(os.Stdout, v, func(w io.Writer) { show.Duties(w, v) })
	}
	i := slices.IndexFunc(v.Windows, func(w duty.WindowView) bool { return w.Window == c.Window })
	if i < 0 {
		return fault.New(fault.NotFound, "%s does not remember window %d: it is not closed yet, or was settled long ago; read the logs with --log", v.Instance, c.Window)
	}
	return c.print(os.Stdout, &v.Windows[i], func(w io.Writer) { show.Window(w, &v.Windows[i]) })
}

// fromLogs prints the members' log lines about a window, in order of time.
func (c *Duties) fromLogs(w io.Writer) error {
	if c.Window == 0 {
		return fault.New(fault.Invalid, "--log needs --window NUMBER: the window that is asked about")
	}
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	found := logs.Window(lines, c.Window)
	if len(found) == 0 {
		return fault.New(fault.NotFound, "no line names the window %d; look at the logs of the other members of the control group", c.Window)
	}
	for _, l := range found {
		fmt.Fprintf(w, "%s %s\n", l.Source, l.Text)
	}
	return nil
}
