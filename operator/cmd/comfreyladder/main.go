// Command comfreyladder is the command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/operator/commands"
	"github.com/comfreyladder/comfreyladder/operator/load"
	"github.com/comfreyladder/comfreyladder/operator/load/bench"
	"github.com/comfreyladder/comfreyladder/operator/router"
	"github.com/comfreyladder/comfreyladder/operator/standin/cli"
)

func main() {
	p := flags.NewNamedParser("comfreyladder", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Plans and confirms intents, shows status, and tries the router out.\n" +
		"Shell completion: complete -C 'GO_FLAGS_COMPLETION=1 comfreyladder' comfreyladder"
	for _, add := range []func(*flags.Parser) error{commands.Add, cli.AddCommands, addBench} {
		if err := add(p); err != nil {
			fail(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		fail(err)
	}
}

func addBench(p *flags.Parser) error {
	return bench.AddCommands(p, map[string]load.Maker{"router": router.New})
}

func fail(err error) {
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	fmt.Fprintln(os.Stderr, "comfreyladder:", err)
	status := 1
	var exit *commands.ExitError
	if errors.As(err, &exit) {
		status = exit.Status
	}
	os.Exit(status)
}
