package commands

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/admin"
)

// MemberCommand is the subcommand "member".
type MemberCommand struct {
	List   MemberList   `command:"list" description:"list the members of the control group"`
	Remove MemberRemove `command:"remove" description:"remove a member whose disk won't come back; one that is heard is refused"`
}

// MemberList is "member list".
type MemberList struct{ Connection }

// Execute implements flags.Commander.
func (c *MemberList) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	list, err := cl.Members()
	if err != nil {
		return err
	}
	return c.print(os.Stdout, list, func(w io.Writer) { showMembers(w, list) })
}

// MemberRemove is "member remove".
type MemberRemove struct {
	Connection
	Args struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *MemberRemove) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	list, err := cl.RemoveMember(c.Args.ID)
	if err != nil {
		return err
	}
	return c.print(os.Stdout, list, func(w io.Writer) { showMembers(w, list) })
}

func showMembers(w io.Writer, list []admin.Member) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tINSTANCE\tROLE\tSILENT")
	for _, m := range list {
		role := "learner"
		switch {
		case m.Leader:
			role = "leader"
		case m.Voter:
			role = "voter"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.ID, m.Name, role, time.Duration(m.SilentMS)*time.Millisecond)
	}
	_ = t.Flush()
}
