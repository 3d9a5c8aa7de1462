package engine

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/prefix"
)

// request is the part of the published body that the stand-in reads.
type request struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority"`
	// StandinTokens is the length that the answer would have, which a router
	// must not look at; zero means one that follows from the prompt.
	StandinTokens int `json:"standin_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// block is the prompt up to the end of one of its blocks (core/prefix).
type block struct {
	hash   uint64
	tokens int // of this last block alone
}

// bytesPerToken is the usual ratio for English; the router estimates with it too.
const bytesPerToken = 4

func parse(body []byte) (*request, error) {
	var r request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "body is no completion request")
	}
	if r.Model == "" || len(r.Messages) == 0 {
		return nil, fault.New(fault.Invalid, "model and messages are needed")
	}
	return &r, nil
}

// Prompt returns the text of a prompt, from which prefixes and answers follow:
// the contents of all messages, each with a newline after it.
func Prompt(contents ...string) string {
	var b strings.Builder
	for _, c := range contents {
		b.WriteString(c)
		b.WriteByte('\n')
	}
	return b.String()
}

func newStream(id string, r *request) *stream {
	s := &stream{id: id, model: r.Model, priority: r.Priority, finish: "stop", changed: make(chan struct{})}
	contents := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		contents[i] = m.Content
	}
	text := Prompt(contents...)
	s.digest = xxhash.Sum64String(text)
	s.prompt = len(text)/bytesPerToken + 1
	hashes := prefix.Hashes([]byte(text))
	slices.Reverse(hashes)
	for _, h := range hashes {
		s.blocks = append(s.blocks, block{hash: h, tokens: prefix.BlockBytes / bytesPerToken})
	}
	s.tokens = r.StandinTokens
	if s.tokens <= 0 {
		s.tokens = shortestAnswer + int(s.digest%answerSpread)
	}
	if r.MaxTokens > 0 && s.tokens > r.MaxTokens {
		s.tokens = r.MaxTokens
		s.finish = "length"
	}
	return s
}
