package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/fault"
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

// prefix is the prompt up to the end of one of its messages.
type prefix struct {
	hash   uint64 // xxhash of the contents so far, joined by newlines
	tokens int    // of this last message alone
}

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

func newStream(id string, r *request) *stream {
	s := &stream{id: id, model: r.Model, priority: r.Priority, finish: "stop", changed: make(chan struct{})}
	digest := xxhash.New()
	for i, m := range r.Messages {
		if i > 0 {
			_, _ = digest.WriteString("\n")
		}
		_, _ = digest.WriteString(m.Content)
		n := len(strings.Fields(m.Content))
		s.prompt += n
		s.prefixes = append(s.prefixes, prefix{hash: digest.Sum64(), tokens: n})
	}
	s.digest = digest.Sum64()
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
