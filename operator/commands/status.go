package commands

import (
	"fmt"
	"io"
	"os"

	"github.com/comfreyladder/comfreyladder/operator/commands/show"
)

// Status is the subcommand "status".
type Status struct{ Connection }

// Execute implements flags.Commander.
func (c *Status) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	s, err := cl.Status()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, s, func(w io.Writer) { show.Status(w, s) })
}

// Drain is the subcommand "drain".
type Drain struct{ Connection }

// Execute implements flags.Commander.
func (c *Drain) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	s, err := cl.Drain()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, s, func(w io.Writer) {
		fmt.Fprintf(w, "%s drains; %d requests are in flight.\n", s.Instance, s.InFlight)
	})
}
