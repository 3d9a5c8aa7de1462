package chat_test

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/instance/chat"
)

var chunks = []string{
	`{"id":"chatcmpl-a-1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"tok}en "},"finish_reason":null}]}`,
	`{"id": "chatcmpl-a-1", "choices": [ { "delta" : {"content": "x\"]y"} } ], "usage": null }`,
	`{"choices":[],"usage":{"total_tokens":3},"id":"chatcmpl-a-1"}`,
	`{"id":"chatcmpl-a-1","choices":[{"delta":{"content":""}}]}`,
	`{"id":"chatcmpl-a-1","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"{}"}}]}}]}`,
	`{"error":{"message":"gone"}}`,
	`{"id":"chatcmpl-a-1","error":null,"choices":[{"delta":{"refusal":"no"}}]}`,
	`{"id":"chatcmpl-\u0061-1","choices":[]}`,
}

func TestSummaryMatchesTheDecodedChunk(t *testing.T) {
	g := NewWithT(t)
	for _, text := range chunks {
		head, err := chat.SummarizeChunk([]byte(text))
		g.Expect(err).NotTo(HaveOccurred(), text)
		c, err := chat.ParseChunk([]byte(text))
		g.Expect(err).NotTo(HaveOccurred(), text)
		g.Expect(string(head.ID)).To(Equal(c.ID), text)
		g.Expect(head.Failed).To(Equal(bool(c.Failed)), text)
		g.Expect(head.Tokens).To(Equal(c.Tokens()), text)
		g.Expect(head.UsageOnly).To(Equal(c.UsageOnly()), text)
	}
}

// A chunk's ID determines which request its response belongs to. Whatever an engine sends, a
// successful scan must find the same ID as a decoder.
func FuzzScanChunk(f *testing.F) {
	for _, text := range chunks {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, ok := chat.ScanChunk(data)
		exact := map[string]json.RawMessage{}
		if !ok || json.Unmarshal(data, &exact) != nil {
			return
		}
		var id string
		_ = json.Unmarshal(exact["id"], &id)
		if string(head.ID) != id && utf8.Valid(head.ID) {
			t.Fatalf("%q: %q, not %q", data, head.ID, id)
		}
	})
}
