package engine

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shortestAnswer = 16
	answerSpread   = 200
)

// stream is one request and its answer. Fields below the line are guarded by
// the engine's mutex; the text is never stored, each event follows from its number.
type stream struct {
	id       string
	model    string
	priority int
	order    uint64
	digest   uint64
	tokens   int // of the whole answer
	finish   string
	prompt   int // tokens
	blocks   []block

	prefillLeft int
	cached      int
	admitted    bool
	produced    int
	complete    bool
	cancelled   bool
	readers     int
	lastRead    time.Time
	endedAt     time.Time
	changed     chan struct{} // closed and replaced at each change
}

func (s *stream) ended() bool { return s.complete || s.cancelled }

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// events is how many events the whole stream has: one per token, the one with
// the usage, and the end marker.
func (s *stream) events() int { return s.tokens + 2 }

// ready is how many events can be sent now.
func (s *stream) ready() int {
	if s.complete {
		return s.events()
	}
	return s.produced
}

// Token returns the text of token i (from 1 on) of the answer to a prompt.
func Token(prompt string, i int) string { return token(xxhash.Sum64String(prompt), i) }

func token(digest uint64, i int) string {
	return strconv.FormatUint(digest, 36) + "." + strconv.Itoa(i) + " "
}

// Answer returns the whole answer of n tokens to a prompt (see Prompt). Callers
// verify with it that an answer is whole and their own.
func Answer(prompt string, n int) string {
	var b strings.Builder
	digest := xxhash.Sum64String(prompt)
	for i := 1; i <= n; i++ {
		b.WriteString(token(digest, i))
	}
	return b.String()
}

// chunk is one event of the published streaming format.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

func (s *stream) usage() usage {
	return usage{PromptTokens: s.prompt, CompletionTokens: s.tokens, TotalTokens: s.prompt + s.tokens, CachedTokens: s.cached}
}

// event returns the SSE event with the given number.
func (s *stream) event(n int) []byte {
	if n == s.events() {
		return sse(n, []byte("[DONE]"))
	}
	c := chunk{ID: completionID(s.id), Object: "chat.completion.chunk", Model: s.model}
	choice := chunkChoice{}
	if n <= s.tokens {
		choice.Delta.Content = token(s.digest, n)
	} else {
		choice.FinishReason = &s.finish
		u := s.usage()
		c.Usage = &u
	}
	if n == 1 {
		choice.Delta.Role = "assistant"
	}
	c.Choices = []chunkChoice{choice}
	body, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	return sse(n, body)
}

func sse(n int, data []byte) []byte {
	out := make([]byte, 0, len(data)+24)
	out = append(out, "id: "...)
	out = strconv.AppendInt(out, int64(n), 10)
	out = append(out, "\ndata: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

func completionID(id string) string { return "chatcmpl-" + id }

// completion is the answer to a request that asked for no stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

func (s *stream) completion() completion {
	var text strings.Builder
	for i := 1; i <= s.tokens; i++ {
		text.WriteString(token(s.digest, i))
	}
	return completion{
		ID: completionID(s.id), Object: "chat.completion", Model: s.model, Usage: s.usage(),
		Choices: []completionChoice{{Message: message{Role: "assistant", Content: text.String()}, FinishReason: s.finish}},
	}
}
