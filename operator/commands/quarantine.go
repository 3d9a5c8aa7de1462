package commands

import (
	"io"
	"os"

	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
)

const quarantineHelp = "A request that was under way whenever upstreams crashed is kept from them and answered as final.\nExamples:\n" +
	"  comfreyladder quarantine list --control 10.0.0.7:8229\n" +
	"  comfreyladder quarantine release --control 10.0.0.7:8229 78b290512f684dff68cbae3c6ad92707"

// QuarantineCommand is the subcommand "quarantine".
type QuarantineCommand struct {
	List    QuarantineList    `command:"list" description:"list the requests that are quarantined or suspected"`
	Release QuarantineRelease `command:"release" description:"let a request run again, as after a new version of the engine"`
}

// ControlListener holds the option for the address of a control group member's control listener.
type ControlListener struct {
	Control string `short:"c" long:"control" env:"COMFREYLADDER_CONTROL" default:"127.0.0.1:8229" description:"address at which any member of the control group takes calls"`
}

// QuarantineList is "quarantine list".
type QuarantineList struct {
	Printing
	ControlListener
}

// Execute implements flags.Commander.
func (c *QuarantineList) Execute([]string) error {
	v, err := (&client.Client{Address: c.Control}).Quarantine()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, v, func(w io.Writer) { show.Quarantine(w, v) })
}

// QuarantineRelease is "quarantine release".
type QuarantineRelease struct {
	Printing
	ControlListener
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *QuarantineRelease) Execute([]string) error {
	cl := &client.Client{Address: c.Control}
	if err := cl.ReleaseQuarantine(c.Args.Fingerprint); err != nil {
		return err
	}
	v, err := cl.Quarantine()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, v, func(w io.Writer) { show.Quarantine(w, v) })
}
