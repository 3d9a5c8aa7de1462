package commands

import (
	"io"
	"os"

	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
)

const quarantineHelp = "A request that was under way whenever upstreams crashed is kept from them and answered as final. So are all requests with a\n" +
	"part of a prompt that was; PARTS names such parts.\nExamples:\n" +
	"  comfreyladder quarantine list --control 10.0.0.7:8229\n" +
	"  comfreyladder quarantine list --control 10.0.0.7:8081 --key-file ops.key\n" +
	"  comfreyladder quarantine release --control 10.0.0.7:8229 78b290512f684dff68cbae3c6ad92707"

// QuarantineCommand is the subcommand "quarantine".
type QuarantineCommand struct {
	List    QuarantineList    `command:"list" description:"list the requests and parts of prompts that are quarantined or suspected"`
	Release QuarantineRelease `command:"release" description:"let a request, or requests with a part, run again, as after a new version of the engine"`
}

// ControlListener holds the options for calls of a member of the control group.
type ControlListener struct {
	Control string `short:"c" long:"control" env:"COMFREYLADDER_CONTROL" default:"127.0.0.1:8229" description:"address at which any member of the control group takes operators' calls"`
	KeyFile string `short:"k" long:"key-file" env:"COMFREYLADDER_KEY_FILE" description:"file with the operator's key, if the member asks for one"`
}

func (c *ControlListener) client() (*client.Client, error) {
	if c.KeyFile == "" {
		return &client.Client{Address: c.Control}, nil
	}
	key, err := settings.ReadKey(c.KeyFile)
	if err != nil {
		return nil, err
	}
	return &client.Client{Address: c.Control, Key: key}, nil
}

// QuarantineList is "quarantine list".
type QuarantineList struct {
	Printing
	ControlListener
}

// Execute implements flags.Commander.
func (c *QuarantineList) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	v, err := cl.Quarantine()
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
	cl, err := c.client()
	if err != nil {
		return err
	}
	if err := cl.ReleaseQuarantine(c.Args.Fingerprint); err != nil {
		return err
	}
	v, err := cl.Quarantine()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, v, func(w io.Writer) { show.Quarantine(w, v) })
}
