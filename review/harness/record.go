package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	codeHeld      = 0
	codeBroken    = 1
	codeCannotRun = 2
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	check(err)
	return &record{f: f, began: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the terminal.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cleanup runs before the program ends.
var cleanup = func() {}

func check(err error) {
	if err != nil {
		couldNotRun(err.Error())
	}
}

func couldNotRun(why string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	cleanup()
	os.Exit(codeCannotRun)
}
