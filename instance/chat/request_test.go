package chat_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/chat"
)

const messagesField = `"messages":[{"role":"user","content":"how steep is the dish"}]`

func TestInvalidRequestsAreRejected(t *testing.T) {
	g := NewWithT(t)
	for _, body := range []string{
		``, `{`, `[]`, `null`, `{"model":"m"}`, `{"model":7,` + messagesField + `}`, `{"model":"",` + messagesField + `}`,
		`{"model":"` + strings.Repeat("m", 200) + `",` + messagesField + `}`, `{"model":"m","messages":[]}`,
		`{"model":"m","messages":[{"content":"x"}]}`, `{"model":"m","messages":[{"role":"user","content":7}]}`,
		`{"model":"m","max_tokens":-1,` + messagesField + `}`, `{"model":"m","max_tokens":99999999999999999999,` + messagesField + `}`,
		`{"model":"m","n":2,` + messagesField + `}`, `{"model":"m","stream":"yes",` + messagesField + `}`,
		strings.Repeat(`{"a":`, 100_000),
	} {
		_, err := chat.ParseRequest([]byte(body))
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Invalid), "%.80s", body)
	}
}

// Guards against a caller's "PRIORITY" or "Stream" that overrides the router's field in an engine
// that ignores the case of field names: a low-priority request would overtake urgent ones.
func TestCallerCannotOverrideRouterFields(t *testing.T) {
	g := NewWithT(t)
	r, err := chat.ParseRequest([]byte(`{"model":"m","PRIORITY":-9,"priority":-8,"Stream":false,"MAX_tokens":9000,"top_p":0.5,` + messagesField + `}`))
	g.Expect(err).NotTo(HaveOccurred())
	body, err := r.Upstream(3, 50)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(MatchJSON(`{"model":"m","priority":3,"stream":true,"stream_options":{"include_usage":true},"max_tokens":50,"top_p":0.5,` + messagesField + `}`))
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m",` + messagesField + `}`))
	f.Add([]byte(`{"model":"m","stream":true,"n":1,"a\"b":[1, 2],` + messagesField + `}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := chat.ParseRequest(body)
		if err != nil {
			if fault.CodeOf(err) != fault.Invalid {
				t.Fatalf("%v", err)
			}
			return
		}
		out, err := r.Upstream(2, 10)
		if err != nil {
			t.Fatal(err)
		}
		var sent struct {
			Model    string `json:"model"`
			Stream   bool   `json:"stream"`
			Priority int    `json:"priority"`
		}
		exact := map[string]json.RawMessage{}
		if json.Unmarshal(out, &exact) != nil || json.Unmarshal(out, &sent) != nil || !sent.Stream || sent.Priority != 2 {
			t.Fatalf("%q became %q", body, out)
		}
	})
}
