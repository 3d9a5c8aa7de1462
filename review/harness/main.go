// Command harness runs the cases of this review. It starts the project's daemon with the command of the
// deploy file, and stands in for requesters, runners and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool){
	"restarted-version": restartedVersion,
	"forgotten-version": forgottenVersion,
	"truncated-answer":  truncatedAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(codeCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		couldNotRun("interrupted")
	}()
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	cleanup()
	if broken {
		rec.say("the rule was broken")
		os.Exit(codeBroken)
	}
	rec.say("the rule held")
}
