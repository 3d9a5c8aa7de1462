package chat

import (
	"encoding/json"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Chunk is one event of a stream, with the fields that the router needs.
type Chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
	// Failed says that the event reports a failure in place of a chunk.
	Failed failureMark `json:"error"`
}

// failureMark is set by any value but null.
type failureMark bool

// UnmarshalJSON implements json.Unmarshaler.
func (f *failureMark) UnmarshalJSON(data []byte) error {
	*f = string(data) != "null"
	return nil
}

// ChunkChoice is the part of a chunk that extends one choice.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta extends a message.
type Delta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	Refusal   string     `json:"refusal,omitempty"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a call of a tool; in a delta it extends the call at its index.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function ToolFunction `json:"function"`
}

// ToolFunction is the function of a ToolCall.
type ToolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completion is a whole answer.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

// CompletionChoice is one choice of a whole answer.
type CompletionChoice struct {
	Index        int     `json:"index"`
	Message      Delta   `json:"message"`
	FinishReason *string `json:"finish_reason"`
}

// ParseChunk decodes the data of one event.
func ParseChunk(data []byte) (*Chunk, error) {
	c := &Chunk{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fault.Wrap(err, fault.Corrupt, "an event of the upstream's stream is not a chunk")
	}
	return c, nil
}

// Tokens estimates how many tokens the chunk carries: engines send one a chunk.
func (c *Chunk) Tokens() int {
	for _, ch := range c.Choices {
		if ch.Delta.Content != "" || ch.Delta.Refusal != "" || len(ch.Delta.ToolCalls) > 0 {
			return 1
		}
	}
	return 0
}

// UsageOnly reports whether the chunk carries nothing but the token counts.
func (c *Chunk) UsageOnly() bool { return len(c.Choices) == 0 && c.Usage != nil }

// Assembler puts a whole answer together from chunks.
type Assembler struct {
	out     Completion
	text    strings.Builder
	refusal strings.Builder
	calls   []ToolCall
	role    string
	finish  *string
}

// Add takes the next chunk.
func (a *Assembler) Add(c *Chunk) {
	if c.Usage != nil {
		a.out.Usage = c.Usage
	}
	if a.out.Model == "" {
		a.out.Model = c.Model
		a.out.Created = c.Created
	}
	for _, ch := range c.Choices {
		a.choice(ch)
	}
}

func (a *Assembler) choice(ch ChunkChoice) {
	if ch.Delta.Role != "" {
		a.role = ch.Delta.Role
	}
	a.text.WriteString(ch.Delta.Content)
	a.refusal.WriteString(ch.Delta.Refusal)
	for _, t := range ch.Delta.ToolCalls {
		a.toolCall(t)
	}
	if ch.FinishReason != nil {
		a.finish = ch.FinishReason
	}
}

func (a *Assembler) toolCall(t ToolCall) {
	for i := range a.calls {
		if a.calls[i].Index == t.Index {
			a.calls[i].Function.Name += t.Function.Name
			a.calls[i].Function.Arguments += t.Function.Arguments
			return
		}
	}
	a.calls = append(a.calls, t)
}

// Whole returns the answer under the given ID.
func (a *Assembler) Whole(id string) *Completion {
	a.out.ID = id
	a.out.Object = "chat.completion"
	role := a.role
	if role == "" {
		role = "assistant"
	}
	a.out.Choices = []CompletionChoice{{
		Message:      Delta{Role: role, Content: a.text.String(), Refusal: a.refusal.String(), ToolCalls: a.calls},
		FinishReason: a.finish,
	}}
	return &a.out
}
