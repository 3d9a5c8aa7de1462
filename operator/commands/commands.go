// Package commands implements the subcommands of comfreyladder.
package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/config"
	"github.com/comfreyladder/comfreyladder/instance/settings"
	"github.com/comfreyladder/comfreyladder/instance/tlsconf"
	"github.com/comfreyladder/comfreyladder/operator/client"
	"github.com/comfreyladder/comfreyladder/operator/tryout"
)

// Connection holds the options of a command that calls the administration API of an instance.
type Connection struct {
	Address string `short:"a" long:"address" env:"COMFREYLADDER_ADDRESS" default:"127.0.0.1:8081" description:"operators' address of any instance"`
	KeyFile string `short:"k" long:"key-file" env:"COMFREYLADDER_KEY_FILE" description:"file with the operator's key"`
	CA      string `long:"ca" env:"COMFREYLADDER_CA" description:"file with the certificate authority of https addresses; empty: the system's"`
	Printing
}

// Printing holds the options for the output format of a command.
type Printing struct {
	JSON bool `long:"json" description:"print JSON"`
}

func (c *Connection) client() (*client.Client, error) {
	if c.KeyFile == "" {
		return nil, fault.New(fault.Invalid, "--key-file FILE is needed: the file with the operator's key")
	}
	key, err := settings.ReadKey(c.KeyFile)
	if err != nil {
		return nil, err
	}
	conf, err := tlsconf.Authority(c.CA)
	if err != nil {
		return nil, err
	}
	return &client.Client{Address: c.Address, Key: key, TLS: conf}, nil
}

func (c *Printing) print(out io.Writer, v any, text func(io.Writer)) error {
	if !c.JSON {
		text(out)
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fault.Wrap(err, fault.Internal, "print JSON")
	}
	return nil
}

type command struct {
	name, short, long string
	data              any
}

// Add adds all subcommands to p.
func Add(p *flags.Parser) error {
	for _, c := range []command{
		{"plan", "show what an intent file would change", "Example:\n  comfreyladder plan --key-file ops.key intent.ini", &Plan{}},
		{"confirm", "put an intent file in force", "Example:\n  comfreyladder confirm --key-file ops.key --number 42 --base 7 intent.ini", &Confirm{}},
		{"status", "show revisions, failure domains, instances and upstreams", "Example:\n  comfreyladder status --key-file ops.key", &Status{}},
		{"explain", "tell what became of a request and why", explainHelp, &Explain{}},
		{"duties", "show who makes the calls to the provider, usage reports and orders of upstreams", dutiesHelp, &Duties{}},
		{"quarantine", "list or release the requests that crash upstreams", quarantineHelp, &QuarantineCommand{}},
		{"drain", "have the instance at --address finish its work and stop", "Example:\n  comfreyladder drain --key-file ops.key --address 10.0.0.7:8081", &Drain{}},
		{"unknown", "list at-most-once calls whose outcome is unknown", "Example:\n  comfreyladder unknown --key-file ops.key", &Unknown{}},
		{"resolve", "say what became of a call whose outcome is unknown", resolveHelp, &Resolve{}},
		{"member", "list or remove members of the control group", "", &MemberCommand{}},
		{"check", "check a settings file or an intent file", checkHelp, &Check{}},
		{"hash-key", "print the digest of a key that is read from standard input", "Example:\n  comfreyladder hash-key < ward.key", &HashKey{}},
		{"demo", "run an instance with stand-ins in this process and show what it does", "", &Demo{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return fault.Wrap(err, fault.Internal, "add command %s", c.name)
		}
	}
	return nil
}

type fileArg struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// HashKey is the subcommand "hash-key".
type HashKey struct{}

// Execute implements flags.Commander.
func (*HashKey) Execute([]string) error {
	data, err := io.ReadAll(os.Stdin)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the key")
	}
	fmt.Println(config.HashKey(strings.TrimSpace(string(data))))
	return nil
}

// Demo is the subcommand "demo".
type Demo struct{}

// Execute implements flags.Commander.
func (*Demo) Execute([]string) error { return tryout.Run(os.Stdout) }
