package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
)

// tokenBytes is the length of one made-up word of a prompt; engine and router
// count four bytes as a token.
const tokenBytes = 4

// Request is one request of the load. It is the same for every policy.
type Request struct {
	ID string
	// At is the arrival, from the start of the run.
	At           time.Duration
	Class        *intent.Class
	Organisation string
	Key          string
	Model        string
	System       string
	Question     string
	// Tokens is the length that the answer will have. Only the system that is
	// told everything may look at it.
	Tokens int
}

// Workload returns the requests of one seed in order of arrival. Each class
// draws from a stream of its own, so that a change of one leaves the others.
func Workload(x *Experiment, seed uint64) []*Request {
	var all []*Request
	for i := range x.Traffic {
		all = append(all, x.Traffic[i].requests(x, seed)...)
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (t *Traffic) requests(x *Experiment, seed uint64) []*Request {
	name := uint64(0)
	for _, c := range t.Class {
		name = name*131 + uint64(c)
	}
	rnd := rand.New(rand.NewPCG(seed, name))
	class := x.Class(t.Class)
	var out []*Request
	for at := t.next(rnd, 0, x.Settings.Duration); at < x.Settings.Duration; at = t.next(rnd, at, x.Settings.Duration) {
		r := &Request{At: at, Class: class, Model: t.Model, Organisation: t.organisation(rnd)}
		r.ID = fmt.Sprintf("%s-%d-%d", t.Class, seed, len(out)+1)
		r.Key = x.Key(r.Organisation)
		if t.Shared > 0 {
			r.System = words(r.Organisation+"/"+t.Class+"/"+strconv.Itoa(rnd.IntN(t.Prefixes)), t.Shared)
		}
		r.Question = words(r.ID, t.Prompt.Draw(rnd))
		r.Tokens = t.Tokens.Draw(rnd)
		if class.MaxTokens > 0 {
			r.Tokens = min(r.Tokens, class.MaxTokens)
		}
		out = append(out, r)
	}
	return out
}

// next draws the arrival after a time of a Poisson process whose rate changes
// with the bursts, by thinning one with the highest rate. It returns a time
// past the end when no more comes before it.
func (t *Traffic) next(rnd *rand.Rand, after, end time.Duration) time.Duration {
	peak := t.Rate * t.peakFactor()
	if peak <= 0 {
		return end
	}
	for at := after; ; {
		at += max(1, time.Duration(rnd.ExpFloat64()/peak*float64(time.Second)))
		if at >= end || rnd.Float64()*peak < t.Rate*t.factor(at) {
			return at
		}
	}
}

func (t *Traffic) factor(at time.Duration) float64 {
	f := 1.0
	for _, b := range t.Bursts {
		if at >= b.Start && at < b.Start+b.Length {
			f *= b.Factor
		}
	}
	return f
}

func (t *Traffic) peakFactor() float64 {
	f := 1.0
	for _, b := range t.Bursts {
		f *= max(1, b.Factor)
	}
	return f
}

func (t *Traffic) organisation(rnd *rand.Rand) string {
	sum := 0.0
	for _, p := range t.Organisations {
		sum += p.Share
	}
	left := rnd.Float64() * sum
	for _, p := range t.Organisations {
		left -= p.Share
		if left < 0 {
			return p.Name
		}
	}
	return t.Organisations[len(t.Organisations)-1].Name
}

// words returns text of about n tokens that starts with and depends on a name.
func words(name string, n int) string {
	text := name + " "
	sum := 0
	for _, c := range name {
		sum = sum*31 + int(c)
	}
	word := fmt.Sprintf("%03x ", sum&0xfff)
	return text + strings.Repeat(word, max(0, n-len(text)/tokenBytes))
}

type body struct {
	Model         string        `json:"model"`
	Messages      []bodyMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Priority      int           `json:"priority"`
	ServiceTier   string        `json:"service_tier"`
	StandinTokens int           `json:"standin_tokens"`
}

type bodyMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Body returns the published JSON of the request; priority is for engines.
func (r *Request) Body(priority int) ([]byte, error) {
	b := body{
		Model: r.Model, Stream: true, MaxTokens: r.Class.MaxTokens, Priority: priority,
		ServiceTier: r.Class.Name, StandinTokens: r.Tokens,
	}
	if r.System != "" {
		b.Messages = append(b.Messages, bodyMessage{Role: "system", Content: r.System})
	}
	b.Messages = append(b.Messages, bodyMessage{Role: "user", Content: r.Question})
	out, err := json.Marshal(b)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode request %s", r.ID)
	}
	return out, nil
}

// Prompt returns the text from which the stand-ins' answer follows.
func (r *Request) Prompt() string {
	if r.System == "" {
		return engine.Prompt(r.Question)
	}
	return engine.Prompt(r.System, r.Question)
}
