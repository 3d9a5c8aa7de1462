// Package logs parses the key=value log lines of the processes and selects those that concern
// one request or one usage window.
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

// Line is one parsed log line.
type Line struct {
	Timestamp time.Time
	Source    string
	Text      string
	fields    map[string]string
}

// Field returns the value of a key, or the empty string.
func (l *Line) Field(key string) string { return l.fields[key] }

// Event returns the value of the key "event".
func (l *Line) Event() string { return l.fields["event"] }

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read parses log lines. The last word before the first key=value pair of a line, as log
// collectors prepend it, is the line's source; without such a prefix the source is name.
// Lines without a valid time are skipped.
func Read(r io.Reader, name string) ([]*Line, error) {
	var lines []*Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l := parseLine(scanner.Text(), name); l != nil {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read the log %s", name)
	}
	return lines, nil
}

func parseLine(text, source string) *Line {
	fields, prefix, rest := parsePairs(text)
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return nil
	}
	if words := strings.Fields(prefix); len(words) > 0 {
		source = words[len(words)-1]
	}
	return &Line{Timestamp: at, Source: source, Text: rest, fields: fields}
}

// parsePairs splits a line into its key=value pairs. It also returns the text before the
// first pair as prefix, and the text from the first pair on as rest.
func parsePairs(text string) (fields map[string]string, prefix, rest string) {
	fields = map[string]string{}
	for at := 0; at < len(text); {
		word, next := nextWord(text, at)
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

// nextWord returns the space-separated word that starts at offset at, and the offset of the
// next word. Spaces inside double quotes belong to the word.
func nextWord(text string, at int) (word string, next int) {
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

// stateEvents are the events that record a change of the state on which a process bases its
// decisions.
var stateEvents = []string{
	"start", "stop", "drain", "reload", "control_lost", "control_regained", "table_in_force", "upstream_state", "upstream_gone", "upstreams_changed",
	"upstream_announced", "upstream_left", "upstreams_silent", "pools", "member_change", "member_joins", "disk_refuses", "log_dropped", "upstreams_ordered",
}

// globalEvents are the events that can affect requests at every process: a refusal for lack of
// upstreams, for example, is explained by the orders of upstreams.
var globalEvents = []string{"disk_refuses", "upstreams_ordered"}

// Explain returns the lines of a request and the state changes that may have affected it, in
// order of time: changes logged by the same processes, by any process about the same upstreams,
// and changes of the membership and globalEvents at any process. Changes count from the given
// context before the request's start until its last line.
func Explain(lines []*Line, request string, context time.Duration) []*Line {
	var requestLines []*Line
	for _, l := range lines {
		if l.Field("request") == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	s := scopeOf(requestLines, context)
	out := requestLines
	for _, l := range lines {
		if l.Field("request") == "" && s.includes(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b *Line) int { return a.Timestamp.Compare(b.Timestamp) })
	return out
}

// dutyEvents are the events that record a change of the duty holder.
var dutyEvents = []string{"duties_held", "duties_lost"}

// Window returns the lines about the usage report of a window and the changes of the duty holder
// between the first and the last of them, in order of time.
func Window(lines []*Line, window int64) []*Line {
	number := strconv.FormatInt(window, 10)
	var windowLines, out []*Line
	for _, l := range lines {
		if l.Field("window") == number {
			windowLines = append(windowLines, l)
		}
	}
	if len(windowLines) == 0 {
		return nil
	}
	byTime := func(a, b *Line) int { return a.Timestamp.Compare(b.Timestamp) }
	from, to := slices.MinFunc(windowLines, byTime).Timestamp, slices.MaxFunc(windowLines, byTime).Timestamp
	out = windowLines
	for _, l := range lines {
		if slices.Contains(dutyEvents, l.Event()) && !l.Timestamp.Before(from) && !l.Timestamp.After(to) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// scope selects the lines that may have affected a request beside the request's own lines.
type scope struct {
	from, to  time.Time
	sources   map[string]bool
	upstreams map[string]bool
}

func scopeOf(requestLines []*Line, context time.Duration) *scope {
	s := &scope{from: requestLines[0].Timestamp, to: requestLines[0].Timestamp, sources: map[string]bool{}, upstreams: map[string]bool{}}
	for _, l := range requestLines {
		startedAt := l.Timestamp
		if elapsed, err := time.ParseDuration(l.Field("took") + "ms"); err == nil {
			startedAt = startedAt.Add(-elapsed)
		}
		if startedAt.Before(s.from) {
			s.from = startedAt
		}
		if l.Timestamp.After(s.to) {
			s.to = l.Timestamp
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

func (s *scope) includes(l *Line) bool {
	if l.Timestamp.Before(s.from) || l.Timestamp.After(s.to) || !slices.Contains(stateEvents, l.Event()) {
		return false
	}
	if u := l.Field("upstream"); u != "" {
		return s.upstreams[u]
	}
	return s.sources[l.Source] || strings.HasPrefix(l.Event(), "member_") || slices.Contains(globalEvents, l.Event())
}

// UncleanExit is an exit of a process without a line that announces a stop: either a start
// follows directly, or the log just ends. Requests that were in flight then have no further
// line in any log.
type UncleanExit struct {
	// Source is the log. Last is the time of the last line before the exit. Started is the time
	// of the next start, or zero if the log ends without one.
	Source        string
	Last, Started time.Time
}

// minSilence is the minimum time between the last line of a log and the last line of all logs
// for its process to count as exited: an idle process may log nothing for some seconds.
const minSilence = 30 * time.Second

// UncleanExits returns the exits of processes without a stop, in order of time. A request that
// no line names may have been in flight at one of these processes.
func UncleanExits(lines []*Line) []UncleanExit {
	last := map[string]*Line{}
	var ended []UncleanExit
	var end time.Time
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b *Line) int { return a.Timestamp.Compare(b.Timestamp) })
	for _, l := range ordered {
		if l.Event() == "links_open" {
			// A starting process logs it before its start event, so it isn't a line of the
			// previous process.
			continue
		}
		if before := last[l.Source]; l.Event() == "start" && before != nil && !isStop(before) {
			ended = append(ended, UncleanExit{l.Source, before.Timestamp, l.Timestamp})
		}
		last[l.Source], end = l, l.Timestamp
	}
	for source, l := range last {
		if !isStop(l) && end.Sub(l.Timestamp) > minSilence {
			ended = append(ended, UncleanExit{Source: source, Last: l.Timestamp})
		}
	}
	slices.SortStableFunc(ended, func(a, b UncleanExit) int { return a.Last.Compare(b.Last) })
	return ended
}

// isStop reports whether a line may be the last one of a process that stopped in an orderly way
// or whose start failed.
func isStop(l *Line) bool {
	switch l.Event() {
	case "stop", "stopped", "drain", "drain_failed", "start_failed":
		return true
	}
	return false
}
