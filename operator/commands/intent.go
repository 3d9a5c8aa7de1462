package commands

import (
	"fmt"
	"io"
	"os"

	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/operator/commands/show"
)

// Plan is the subcommand "plan".
type Plan struct {
	Connection
	Args fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Plan) Execute([]string) error {
	doc, err := intentfile.Load(c.Args.File)
	if err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	p, err := cl.Plan(doc)
	if err != nil {
		return err
	}
	return c.print(os.Stdout, p, func(w io.Writer) { show.Plan(w, p) })
}

// Confirm is the subcommand "confirm".
type Confirm struct {
	Connection
	Number uint64  `short:"n" long:"number" required:"yes" description:"your own number of this intent; resend with the same one after a lost answer"`
	Base   uint64  `short:"b" long:"base" required:"yes" description:"the revision that the plan was made from"`
	Args   fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *Confirm) Execute([]string) error {
	doc, err := intentfile.Load(c.Args.File)
	if err != nil {
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	confirmation, err := cl.Confirm(&admin.ConfirmRequest{Number: c.Number, Base: c.Base, Document: doc})
	if err != nil {
		return err
	}
	return c.print(os.Stdout, confirmation, func(w io.Writer) {
		fmt.Fprintf(w, "Accepted as revision %d (intent %d of %s).\n", confirmation.Revision, confirmation.Number, confirmation.Operator)
	})
}
