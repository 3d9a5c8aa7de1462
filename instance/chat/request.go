// Package chat reads and writes the published chat completions format: the
// caller's request, the chunks of an engine's stream, and the whole answer that
// is put together from them.
package chat

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	// bytesPerToken estimates the prompt's tokens; engines count exactly.
	bytesPerToken = 4
	maxMessages   = 4096
	maxModelName  = 128
)

// Request is a caller's request with the fields that the router needs. All
// other fields are passed on as they came.
type Request struct {
	Model        string
	ServiceTier  string
	Stream       bool
	IncludeUsage bool
	// MaxTokens is 0 when the caller set no bound.
	MaxTokens int
	// Contents holds the text of each message, for prefix hashes and the estimate.
	Contents []string
	fields   map[string]json.RawMessage
	size     int
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// ParseRequest checks a request body. Failures have code Invalid and name the
// field.
func ParseRequest(body []byte) (*Request, error) {
	r := &Request{size: len(body)}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body is not a JSON object")
	}
	if err := r.scalars(); err != nil {
		return nil, err
	}
	return r, r.messages()
}

func (r *Request) scalars() error {
	var options streamOptions
	var completion int
	var choices int
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &r.Model}, {"service_tier", &r.ServiceTier}, {"stream", &r.Stream},
		{"max_tokens", &r.MaxTokens}, {"max_completion_tokens", &completion},
		{"stream_options", &options}, {"n", &choices},
	} {
		raw, ok := r.fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return fault.Wrap(err, fault.Invalid, "%s has the wrong type", f.name)
		}
	}
	r.IncludeUsage = options.IncludeUsage
	least := min(r.MaxTokens, completion)
	r.MaxTokens = max(r.MaxTokens, completion)
	switch {
	case r.Model == "" || len(r.Model) > maxModelName:
		return fault.New(fault.Invalid, "model: 1 to %d characters are needed", maxModelName)
	case least < 0:
		return fault.New(fault.Invalid, "max_tokens: %d is negative", least)
	case choices > 1, choices < 0:
		return fault.New(fault.Invalid, "n: one choice per request is served")
	}
	return nil
}

func (r *Request) messages() error {
	var list []message
	raw, ok := r.fields["messages"]
	if !ok || json.Unmarshal(raw, &list) != nil || len(list) == 0 || len(list) > maxMessages {
		return fault.New(fault.Invalid, "messages: a list of 1 to %d messages is needed", maxMessages)
	}
	for i, m := range list {
		if m.Role == "" {
			return fault.New(fault.Invalid, "messages[%d].role is needed", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "messages[%d].content is neither text nor a list of parts", i)
		}
		r.Contents = append(r.Contents, text)
	}
	return nil
}

func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fault.Wrap(err, fault.Invalid, "content")
	}
	var text strings.Builder
	for _, p := range parts {
		text.WriteString(p.Text)
	}
	return text.String(), nil
}

// PromptText returns the contents of the messages, each with a newline after it,
// as engines do when they name cached prefixes.
func (r *Request) PromptText() []byte {
	var text strings.Builder
	for _, c := range r.Contents {
		text.WriteString(c)
		text.WriteByte('\n')
	}
	return []byte(text.String())
}

// PromptTokens estimates the prompt's length in tokens.
func (r *Request) PromptTokens() int {
	n := 0
	for _, text := range r.Contents {
		n += len(text)
	}
	return n/bytesPerToken + 1
}

// decided lists the fields that the router sets itself or keeps to itself. They
// are left out in any case of letters: many engines read field names without
// regard to it, and a caller's "PRIORITY" would overrule the scheduler's.
var decided = []string{"stream", "stream_options", "priority", "service_tier", "max_tokens", "max_completion_tokens"}

// Upstream returns the body for an engine: always streamed, with usage, the
// scheduler's priority and a bound on the answer.
func (r *Request) Upstream(priority, maxTokens int) ([]byte, error) {
	out := make([]byte, 0, r.size+bodyMargin)
	out = append(out, `{"stream":true,"stream_options":{"include_usage":true},"priority":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	if maxTokens > 0 {
		out = append(out, `,"max_tokens":`...)
		out = strconv.AppendInt(out, int64(maxTokens), 10)
	}
	for name, value := range r.fields {
		if isDecided(name) {
			continue
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "encode the upstream request")
		}
		out = append(out, ',')
		out = append(out, key...)
		out = append(out, ':')
		out = append(out, value...)
	}
	return append(out, '}'), nil
}

// bodyMargin is what the router adds to a body at most.
const bodyMargin = 128

func isDecided(name string) bool {
	for _, d := range decided {
		if strings.EqualFold(d, name) {
			return true
		}
	}
	return false
}
