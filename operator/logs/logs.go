// Package logs reads the key=value lines that the processes write, and puts together
// what they say of one request.
package logs

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Line is one line of a process.
type Line struct {
	At     time.Time
	Source string
	Text   string
	fields map[string]string
}

// Field returns the value of a key, or the empty string.
func (l *Line) Field(key string) string { return l.fields[key] }

// Event returns what the line is about.
func (l *Line) Event() string { return l.fields["event"] }

// maxLine bounds a line.
const maxLine = 1 << 20

// Read reads lines. What stands before the first pair of a line, as a collector of
// logs puts it there, is the line's source; without it the source is the given name.
// Lines without a time are passed over.
func Read(r io.Reader, name string) ([]*Line, error) {
	var lines []*Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l := parse(scanner.Text(), name); l != nil {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read the log %s", name)
	}
	return lines, nil
}

func parse(text, source string) *Line {
	fields, prefix, rest := pairs(text)
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return nil
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		source = words[len(words)-1]
	}
	return &Line{At: at, Source: source, Text: rest, fields: fields}
}

// pairs splits a line into its pairs, and returns what stands before the first one
// and the rest.
func pairs(text string) (fields map[string]string, prefix, rest string) {
	fields = map[string]string{}
	for at := 0; at < len(text); {
		word, next := token(text, at)
		if key, value, ok := strings.Cut(word, "="); ok && key != "" {
			if len(fields) == 0 {
				prefix, rest = text[:at], text[at:]
			}
			fields[key] = unquote(value)
		}
		at = next
	}
	return fields, prefix, rest
}

// token returns the word that begins at a place, with spaces inside quotes, and where
// the next one begins.
func token(text string, at int) (word string, next int) {
	quoted := false
	for i := at; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\\' && quoted:
			i++
		case c == '"':
			quoted = !quoted
		case c == ' ' && !quoted:
			return text[at:i], i + 1
		}
	}
	return text[at:], len(text)
}

func unquote(s string) string {
	if len(s) < 2 || s[0] != '"' {
		return s
	}
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(s[1 : len(s)-1])
}

// beliefs are the events by which a process changes what it acts on.
var beliefs = []string{
	"start", "stop", "drain", "reload", "control_lost", "control_regained", "table_in_force", "upstream_state", "upstream_gone",
	"upstream_announced", "upstream_left", "upstreams_silent", "pools", "member_change", "member_joins", "disk_refuses", "log_dropped", "upstreams_ordered",
}

// everywhere are the events that concern requests at all processes: a refusal for want of
// upstreams is explained by what was ordered.
var everywhere = []string{"disk_refuses", "upstreams_ordered"}

// Explain returns the lines of a request, with those by which the processes that
// wrote them, or any process about the same upstreams, changed what they believed
// while it was under way or for as long as context before. They are in order of time.
func Explain(lines []*Line, request string, context time.Duration) []*Line {
	var own []*Line
	for _, l := range lines {
		if l.Field("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	s := scopeOf(own, context)
	out := own
	for _, l := range lines {
		if l.Field("request") == "" && s.holds(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int { return a.At.Compare(b.At) })
	return out
}

// tenures are the events by which the duties change hands.
var tenures = []string{"duties_held", "duties_lost"}

// Window returns the lines about the usage report of a window, with those by which the
// duties changed hands in between, in order of time.
func Window(lines []*Line, window int64) []*Line {
	number := strconv.FormatInt(window, 10)
	var own, out []*Line
	for _, l := range lines {
		if l.Field("window") == number {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b *Line) int { return a.At.Compare(b.At) }
	from, to := slices.MinFunc(own, byTime).At, slices.MaxFunc(own, byTime).At
	out = own
	for _, l := range lines {
		if slices.Contains(tenures, l.Event()) && !l.At.Before(from) && !l.At.After(to) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// scope says which lines matter beside a request's own.
type scope struct {
	from, to  time.Time
	sources   map[string]bool
	upstreams map[string]bool
}

func scopeOf(own []*Line, context time.Duration) *scope {
	s := &scope{from: own[0].At, to: own[0].At, sources: map[string]bool{}, upstreams: map[string]bool{}}
	for _, l := range own {
		begun := l.At
		if took, err := time.ParseDuration(l.Field("took") + "ms"); err == nil {
			begun = begun.Add(-took)
		}
		if begun.Before(s.from) {
			s.from = begun
		}
		if l.At.After(s.to) {
			s.to = l.At
		}
		s.sources[l.Source] = true
		for _, key := range []string{"upstream", "from"} {
			if u := l.Field(key); u != "" {
				s.upstreams[u] = true
			}
		}
	}
	s.from = s.from.Add(-context)
	return s
}

func (s *scope) holds(l *Line) bool {
	if l.At.Before(s.from) || l.At.After(s.to) || !slices.Contains(beliefs, l.Event()) {
		return false
	}
	if u := l.Field("upstream"); u != "" {
		return s.upstreams[u]
	}
	return s.sources[l.Source] || strings.HasPrefix(l.Event(), "member_") || slices.Contains(everywhere, l.Event())
}

// UncleanExit is a process that ended without a word: it started anew, and no line of a stop
// stands before that. What it had under way has no line anywhere.
type UncleanExit struct {
	// Source is the log, Last the time of its last line before, Started when it began anew;
	// zero where its log just ends.
	Source        string
	Last, Started time.Time
}

// silence is how long before the end of all logs one of them must end for its process to
// count as ended: a calm process may write nothing for some seconds.
const silence = 30 * time.Second

// UncleanExits returns the processes that ended so, in order of time. A request that
// no line names may have been at one of them.
func UncleanExits(lines []*Line) []UncleanExit {
	last := map[string]*Line{}
	var ended []UncleanExit
	var end time.Time
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b *Line) int { return a.At.Compare(b.At) })
	for _, l := range ordered {
		if l.Event() == "links_open" {
			// It is written before the start's own line, so it tells nothing of the process before.
			continue
		}
		if before := last[l.Source]; l.Event() == "start" && before != nil && !isStop(before) {
			ended = append(ended, UncleanExit{l.Source, before.At, l.At})
		}
		last[l.Source], end = l, l.At
	}
	for source, l := range last {
		if !isStop(l) && end.Sub(l.At) > silence {
			ended = append(ended, UncleanExit{Source: source, Last: l.At})
		}
	}
	slices.SortStableFunc(ended, func(a, b UncleanExit) int { return a.Last.Compare(b.Last) })
	return ended
}

// isStop reports whether a line may be the last one of a process that was told to stop.
func isStop(l *Line) bool {
	switch l.Event() {
	case "stop", "stopped", "drain", "drain_failed", "start_failed":
		return true
	}
	return false
}
