package chat

import (
	"encoding/json"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Chunk is one event of a stream, with the fields that the router uses.
type Chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Failed is set if the event reports an error instead of a chunk.
	Failed errorFlag `json:"error"`
}

// errorFlag is decoded as true from any value but null.
type errorFlag bool

// UnmarshalJSON implements json.Unmarshaler.
func (f *errorFlag) UnmarshalJSON(data []byte) error {
	*f = string(data) != "null"
	return nil
}

// ChunkChoice is the part of a chunk that extends one choice.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is an addition to a message.
type Delta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a tool call; in a delta it extends the call with the same index.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function ToolFunction `json:"function"`
}

// ToolFunction is the function that a ToolCall names, with its arguments.
type ToolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// Usage is the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completion is a complete response.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// CompletionChoice is one choice of a complete response.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Delta   `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

// ParseChunk decodes the data of one event.
func ParseChunk(data []byte) (*Chunk, error) {
	c := &Chunk{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "an event of the upstream's stream is not a valid chunk")
	}
	return c, nil
}

// Tokens estimates the number of tokens in the chunk: engines send one per chunk.
func (c *Chunk) Tokens() int {
	for _, ch := range c.Choices {
		if ch.Delta.Content != "" || ch.Delta.Refusal != "" || len(ch.Delta.ToolCalls) > 0 {
			return 1
		}
	}
	return 0
}

// UsageOnly reports whether the chunk contains only the token counts.
func (c *Chunk) UsageOnly() bool { return len(c.Choices) == 0 && c.Usage != nil }

// Assembler builds a complete response from chunks.
type Assembler struct {
	completion   Completion
	content      strings.Builder
	refusal      strings.Builder
	toolCalls    []ToolCall
	role         string
	finishReason *string
}

// Add appends the next chunk.
func (a *Assembler) Add(c *Chunk) {
	if c.Usage != nil {
		a.completion.Usage = c.Usage
	}
	if a.completion.Model == "" {
		a.completion.Model = c.Model
		a.completion.Created = c.Created
	}
	for _, ch := range c.Choices {
		a.addChoice(ch)
	}
}

func (a *Assembler) addChoice(ch ChunkChoice) {
	if ch.Delta.Role != "" {
		a.role = ch.Delta.Role
	}
	a.content.WriteString(ch.Delta.Content)
	a.refusal.WriteString(ch.Delta.Refusal)
	for _, t := range ch.Delta.ToolCalls {
		a.addToolCall(t)
	}
	if ch.FinishReason != nil {
		a.finishReason = ch.FinishReason
	}
}

func (a *Assembler) addToolCall(t ToolCall) {
	for i := range a.toolCalls {
		if a.toolCalls[i].Index == t.Index {
			a.toolCalls[i].Function.Name += t.Function.Name
			a.toolCalls[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	a.toolCalls = append(a.toolCalls, t)
}

// Completion returns the complete response with the given ID.
func (a *Assembler) Completion(id string) *Completion {
	a.completion.ID = id
	a.completion.Object = "chat.completion"
	role := a.role
	if role == "" {
		role = "assistant"
	}
	a.completion.Choices = []CompletionChoice{{
		Message:      Delta{Role: role, Content: a.content.String(), Refusal: a.refusal.String(), ToolCalls: a.toolCalls},
		FinishReason: a.finishReason,
	}}
	return &a.completion
}
