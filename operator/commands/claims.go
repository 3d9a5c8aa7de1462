package commands

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/comfreyladder/comfreyladder/core/claim"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// Unknown is the subcommand "unknown".
type Unknown struct{ Connection }

// Execute implements flags.Commander.
func (c *Unknown) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	list, err := cl.Unknowns()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, list, func(w io.Writer) { showUnknowns(w, list) })
}

func showUnknowns(w io.Writer, list []admin.UnknownCall) {
	if len(list) == 0 {
		fmt.Fprintln(w, "No outcome is unknown.")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SINCE\tORGANISATION\tSERVICE\tKEY\tREQUEST\tUPSTREAM\tINSTANCE")
	for _, u := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", u.At.Format(time.RFC3339), u.Organisation, u.Service, u.Key, u.Request, u.Upstream, u.Instance)
	}
	_ = t.Flush()
}

const resolveHelp = `Look the call up at the service, by the request ID that "unknown" shows, before you resolve it.
A resend by the caller is answered by your word from then on. After "not-run" the next resend
runs the call: say it only with proof that it did not run and never will; else it may run twice.

Example:
  comfreyladder resolve --key-file ops.key --as done ward booking 4711`

// Resolve is the subcommand "resolve".
type Resolve struct {
	Connection
	As       string `long:"as" required:"yes" choice:"done" choice:"not-run" choice:"rejected" description:"what became of the call"`
	HasProof bool   `long:"i-have-proof" description:"needed with --as not-run: you have proof that the call did not run and never will"`
	Args     struct {
		Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
		Service      string `positional-arg-name:"SERVICE" required:"yes"`
		Key          string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

var outcomes = map[string]claim.Outcome{"done": claim.Done, "not-run": claim.NotRun, "rejected": claim.Rejected}

// Execute implements flags.Commander.
func (c *Resolve) Execute([]string) error {
	if c.As == "not-run" && !c.HasProof {
		return fault.New(fault.Invalid, "after not-run a resend runs the call; without proof that it did not run, it may run twice: add --i-have-proof")
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	r := &admin.Resolution{Organisation: c.Args.Organisation, Service: c.Args.Service, Key: c.Args.Key, As: outcomes[c.As]}
	if err := cl.Resolve(r); err != nil {
		return err
	}
	return c.print(os.Stdout, r, func(w io.Writer) { fmt.Fprintf(w, "Resolved as %s.\n", c.As) })
}
