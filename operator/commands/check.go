package commands

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/inifile"
	"github.com/comfreyladder/comfreyladder/instance/intentfile"
	"github.com/comfreyladder/comfreyladder/instance/settings"
)

// Check is the subcommand "check".
type Check struct {
	Connection
	Intent  bool    `long:"intent" description:"the file is an intent"`
	Against string  `long:"against" choice:"current" description:"show what differs from the intent that is in force at --address; needs --intent and --key-file"`
	Strict  bool    `long:"strict" description:"exit with 1 if there are warnings"`
	Args    fileArg `positional-args:"yes"`
}

const checkHelp = "Exit status: 0 without errors, 1 with --strict and warnings, 2 with errors.\n" +
	"Examples:\n  comfreyladder check instance.ini\n  comfreyladder check --intent --strict intent.ini\n" +
	"  comfreyladder check --intent --against current --key-file ops.key intent.ini"

const (
	exitWarnings = 1
	exitErrors   = 2
)

// ExitError is the failure of a command that ends with a status of its own.
type ExitError struct {
	Status int
	cause  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.cause }

// Finding is an error or a warning about an entry of a checked file.
type Finding struct {
	// Line is the line of the entry, zero if it is not in the file.
	Line int `json:"line,omitempty"`
	intent.Problem
}

// Difference is a change with what it means.
type Difference struct {
	intent.Change
	Effects []string `json:"effects"`
}

// CheckResult is what a check has found.
type CheckResult struct {
	File     string    `json:"file"`
	Errors   []Finding `json:"errors"`
	Warnings []Finding `json:"warnings"`
	// Base is the revision that the differences are seen from, if one was asked for.
	Base        uint64       `json:"base,omitempty"`
	Differences []Difference `json:"differences,omitempty"`
}

// Execute implements flags.Commander.
func (c *Check) Execute([]string) error {
	if c.Against != "" && !c.Intent {
		return &ExitError{exitErrors, fault.New(fault.Invalid, "--against needs --intent: settings differ from instance to instance")}
	}
	content, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &ExitError{exitErrors, fault.Wrap(err, fault.Invalid, "read the file")}
	}
	result := &CheckResult{File: c.Args.File}
	doc, err := c.parse(content)
	if result.Errors = locate(content, findErrors(err)); err != nil && len(result.Errors) == 0 {
		return &ExitError{exitErrors, err}
	}
	if doc != nil {
		result.Warnings = locate(content, doc.Lint(time.Now()))
		if err := c.compare(doc, result); err != nil {
			return &ExitError{exitErrors, err}
		}
	}
	if err := c.print(os.Stdout, result, result.show); err != nil {
		return err
	}
	return result.verdict(c.Strict)
}

// parse checks the content by the rules of the daemon. The document is nil for settings and for an
// invalid intent.
func (c *Check) parse(content []byte) (*intent.Document, error) {
	if c.Intent {
		return intentfile.Parse(c.Args.File, content)
	}
	_, err := settings.Load(c.Args.File)
	return nil, err
}

// findErrors returns the entries that an error of a parser names, nil if it names none.
func findErrors(err error) (list []intent.Problem) {
	var problems *intent.ProblemsError
	if errors.As(err, &problems) {
		return problems.Problems
	}
	var faults *inifile.FaultsError
	if errors.As(err, &faults) {
		for _, f := range faults.Faults {
			list = append(list, intent.Problem{Path: strings.Trim(f.Section+"."+f.Key, "."), Detail: fmt.Sprintf("%q: %s", f.Value, f.Expected)})
		}
	}
	return list
}

// compare adds what differs from the intent in force, if that is asked for.
func (c *Check) compare(doc *intent.Document, result *CheckResult) error {
	if c.Against == "" {
		return nil
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	current, err := cl.Intent()
	if err != nil {
		return err
	}
	result.Base = current.Revision
	for _, change := range intent.Diff(current.Document, doc) {
		result.Differences = append(result.Differences, Difference{change, change.Effects()})
	}
	return nil
}

// locate adds the lines of entries, in the order of the file.
func locate(content []byte, problems []intent.Problem) []Finding {
	lines := entryLines(content)
	list := make([]Finding, 0, len(problems))
	for _, p := range problems {
		list = append(list, Finding{lineOf(lines, p.Path), p})
	}
	slices.SortStableFunc(list, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return list
}

// entryLines returns the line of each section and of each key in a section of an INI file.
func entryLines(content []byte) map[string]int {
	lines := map[string]int{}
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if name, is := strings.CutPrefix(text, "["); is {
			section, _, _ = strings.Cut(name, "]")
			section = strings.TrimSpace(section)
			lines[section] = n
			continue
		}
		if key, _, is := strings.Cut(text, "="); is && !strings.HasPrefix(text, ";") && !strings.HasPrefix(text, "#") {
			lines[section+"."+strings.TrimSpace(key)] = n
		}
	}
	return lines
}

// lineOf returns the line of a path, or of the entry that holds it.
func lineOf(lines map[string]int, path string) int {
	for path != "" {
		if n := lines[path]; n > 0 {
			return n
		}
		path = path[:max(0, strings.LastIndex(path, "."))]
	}
	return 0
}

// verdict returns the failure that the exit status tells, nil for none.
func (r *CheckResult) verdict(strict bool) error {
	switch {
	case len(r.Errors) > 0:
		return &ExitError{exitErrors, fault.New(fault.Invalid, "%s: %d errors", r.File, len(r.Errors))}
	case strict && len(r.Warnings) > 0:
		return &ExitError{exitWarnings, fault.New(fault.Invalid, "%s: %d warnings", r.File, len(r.Warnings))}
	}
	return nil
}

func (r *CheckResult) show(w io.Writer) {
	for _, f := range r.Errors {
		fmt.Fprintf(w, "%s:%d: error: %s: %s\n", r.File, f.Line, f.Path, f.Detail)
	}
	for _, f := range r.Warnings {
		fmt.Fprintf(w, "%s:%d: warning: %s: %s\n", r.File, f.Line, f.Path, f.Detail)
	}
	if len(r.Errors)+len(r.Warnings) == 0 {
		fmt.Fprintf(w, "%s: no faults\n", r.File)
	}
	if r.Base == 0 {
		return
	}
	fmt.Fprintf(w, "%d entries differ from revision %d:\n", len(r.Differences), r.Base)
	for _, d := range r.Differences {
		fmt.Fprintf(w, "  %-8s %s: %s\n", d.Kind, d.Path, strings.Join(d.Effects, "; "))
	}
}
