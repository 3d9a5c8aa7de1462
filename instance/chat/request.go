// Package chat reads and writes the public chat completions format: the caller's request, the
// chunks of an engine's stream, and the complete response built from them.
package chat

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	// bytesPerToken is used to estimate the length of a prompt; engines count exactly.
	bytesPerToken = 4
	maxMessages   = 4096
	maxModelName  = 128
)

// Request is a caller's request with the fields that the router uses. All other fields are
// forwarded unchanged.
type Request struct {
	Model        string
	ServiceTier  string
	Stream       bool
	IncludeUsage bool
	// MaxTokens is 0 if the caller set no limit.
	MaxTokens int
	// Contents holds the text of each message, for prefix hashes and the token estimate.
	Contents []string
	fields   map[string]json.RawMessage
	bodySize int
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

// ParseRequest parses and checks a request body. It fails with fault.Invalid and names the field.
func ParseRequest(body []byte) (*Request, error) {
	r := &Request{bodySize: len(body)}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the body is not a JSON object")
	}
	if err := r.parseScalars(); err != nil {
		return nil, err
	}
	return r, r.parseMessages()
}

func (r *Request) parseScalars() error {
	var options streamOptions
	var maxCompletionTokens int
	var choices int
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &r.Model}, {"service_tier", &r.ServiceTier}, {"stream", &r.Stream},
		{"max_tokens", &r.MaxTokens}, {"max_completion_tokens", &maxCompletionTokens},
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
	lowest := min(r.MaxTokens, maxCompletionTokens)
	r.MaxTokens = max(r.MaxTokens, maxCompletionTokens)
	switch {
	case r.Model == "" || len(r.Model) > maxModelName:
		return fault.New(fault.Invalid, "model: must have 1 to %d characters", maxModelName)
	case lowest < 0:
		return fault.New(fault.Invalid, "max_tokens: %d is negative", lowest)
	case choices > 1, choices < 0:
		return fault.New(fault.Invalid, "n: only one choice per request is supported")
	}
	return nil
}

func (r *Request) parseMessages() error {
	var list []message
	raw, ok := r.fields["messages"]
	if !ok || json.Unmarshal(raw, &list) != nil || len(list) == 0 || len(list) > maxMessages {
		return fault.New(fault.Invalid, "messages: must be a list of 1 to %d messages", maxMessages)
	}
	for i, m := range list {
		if m.Role == "" {
			return fault.New(fault.Invalid, "messages[%d].role is required", i)
		}
		text, err := contentText(m.Content)
		if err != nil {
			return fault.Wrap(err, fault.Invalid, "messages[%d].content is neither a string nor a list of parts", i)
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

// PromptText returns the contents of the messages, each followed by a newline, as engines do to
// identify cached prefixes.
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

// routerFields lists the fields that the router sets itself or does not forward. They are removed
// in any letter case: many engines ignore the case of field names, so that a caller's "PRIORITY"
// would override the scheduler's.
var routerFields = []string{"stream", "stream_options", "priority", "service_tier", "max_tokens", "max_completion_tokens"}

// Upstream returns the request body for an engine: always streamed, with usage, the scheduler's
// priority and, if maxTokens is above zero, that limit.
func (r *Request) Upstream(priority, maxTokens int) ([]byte, error) {
	out := make([]byte, 0, r.bodySize+bodyMargin)
	out = append(out, `{"stream":true,"stream_options":{"include_usage":true},"priority":`...)
	out = strconv.AppendInt(out, int64(priority), 10)
	if maxTokens > 0 {
		out = append(out, `,"max_tokens":`...)
		out = strconv.AppendInt(out, int64(maxTokens), 10)
	}
	for name, value := range r.fields {
		if isRouterField(name) {
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

// bodyMargin is an upper bound of the bytes that the router adds to a body.
const bodyMargin = 128

func isRouterField(name string) bool {
	for _, d := range routerFields {
		if strings.EqualFold(d, name) {
			return true
		}
	}
	return false
}
