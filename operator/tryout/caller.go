package tryout

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/chat"
	"github.com/comfreyladder/comfreyladder/instance/gateway"
	"github.com/comfreyladder/comfreyladder/instance/httpapi"
)

// answerTokens is the max_tokens of the demo's question.
const answerTokens = 24

type answer struct {
	id           string
	tokens       int
	first, total time.Duration
}

type chatBody struct {
	Model       string        `json:"model"`
	ServiceTier string        `json:"service_tier"`
	Stream      bool          `json:"stream"`
	MaxTokens   int           `json:"max_tokens"`
	Messages    []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamAnswer sends the scenario's question and calls show with the content of each chunk of the
// answer.
func (st *environment) streamAnswer(s scenario, show func(string)) (*answer, error) {
	start := time.Now()
	resp, err := st.post(gateway.PathChat, chatBody{
		Model: s.model, ServiceTier: s.class, Stream: true, MaxTokens: answerTokens,
		Messages: []chatMessage{{Role: "user", Content: s.question}},
	}, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return nil, fault.New(fault.Internal, "the question was answered with %d: %s", resp.StatusCode, body)
	}
	out := &answer{id: resp.Header.Get(httpapi.HeaderRequestID)}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			out.total = time.Since(start)
			return out, nil
		}
		c, err := chat.ParseChunk(data)
		if err != nil {
			return nil, err
		}
		if out.first == 0 {
			out.first = time.Since(start)
		}
		out.tokens += c.Tokens()
		for _, ch := range c.Choices {
			show(ch.Delta.Content)
		}
	}
	return nil, fault.New(fault.StreamBroken, "the answer ended without its end marker")
}

// callService calls the scenario's plain service, with the same idempotency key each time.
func (st *environment) callService(s scenario) (int, string, error) {
	resp, err := st.post(gateway.PathServices+s.service+"/bookings", map[string]string{"customer": "4711"}, "demo-booking-1")
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", fault.Wrap(err, fault.Unavailable, "read the answer")
	}
	return resp.StatusCode, string(bytes.TrimSpace(body)), nil
}

func (st *environment) post(path string, body any, key string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode")
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+st.daemon.CallerAddress()+path, bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "make a request")
	}
	req.Header.Set("Authorization", "Bearer "+st.organisationKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(httpapi.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "call the instance")
	}
	return resp, nil
}
