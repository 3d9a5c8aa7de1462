package capacity_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/intent"
	"github.com/comfreyladder/comfreyladder/instance/admin"
	"github.com/comfreyladder/comfreyladder/operator/standin/engine"
	"github.com/comfreyladder/comfreyladder/operator/standin/host"
)

const (
	announcePath = "/v1/upstreams/announce"
	ttlMillis    = 3000
	// answerTokens is the mean answer of the letter: 2 million tokens a second
	// over 4,700 requests a second.
	answerTokens = 425
	// engineSpeed shortens the answers' generation, so that few streams are open
	// at once and the generator stays small.
	engineSpeed = 20
	engines     = 12
)

// traffic is what goes on around the daemons while they are measured.
type traffic struct {
	site    *site
	cancel  context.CancelFunc
	running sync.WaitGroup
	served  atomic.Int64
	failed  atomic.Int64
	client  fasthttp.Client
}

func newTraffic(s *site) *traffic {
	return &traffic{site: s, client: fasthttp.Client{MaxConnsPerHost: 64, MaxIdemponentCallAttempts: 1}}
}

func (t *traffic) start(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	for d := range t.site.domains {
		for u := range t.site.upstreams {
			t.running.Go(func() { t.announce(ctx, d, u) })
		}
	}
	if t.site.requests > 0 {
		for n := range engines {
			t.startEngine(b, n)
		}
		t.running.Go(func() { t.request(ctx) })
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.running.Wait()
}

// announce is one upstream: each beat reaches another instance of its domain, as
// through the platform's balancer.
func (t *traffic) announce(ctx context.Context, domain, u int) {
	s := t.site
	beat := announce.Heartbeat{
		Name: fmt.Sprintf("e-%02d-%04d", domain, u), Domain: s.daemons[domain*s.perDomain].domain, Kind: intent.KindEngine,
		Address: "127.0.0.1:9", Models: []string{"reports-70b", "answers-8b", "summary-13b"}, Slots: 64,
		Incarnation: uint64(time.Now().UnixNano()), TTLMillis: ttlMillis,
		Load: &announce.Load{Running: 33, Waiting: 4, TokensPerSecond: 2310.5, KVUsed: 0.61},
	}
	for pause(ctx, rand.N(time.Second)); ctx.Err() == nil; pause(ctx, time.Second) {
		beat.Sequence++
		beat.Load.Running = 30 + rand.IntN(10)
		to := s.daemons[domain*s.perDomain+rand.IntN(s.perDomain)]
		t.post("http://"+to.address(s.callers)+announcePath, s.keys["upstream"], beat)
	}
}

func (t *traffic) post(url, key string, body any) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	data, _ := json.Marshal(body)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	req.SetBodyRaw(data)
	if err := t.client.DoTimeout(req, resp, 2*time.Second); err != nil || resp.StatusCode()/100 != 2 {
		t.failed.Add(1)
	}
}

// startEngine starts an engine that serves requests, in the first domain.
func (t *traffic) startEngine(b *testing.B, n int) {
	var to []string
	for _, d := range t.site.daemons[:t.site.perDomain] {
		to = append(to, d.address(t.site.callers))
	}
	e := engine.New(engine.Config{
		Config: host.Config{Listen: "127.0.0.1:0", Announce: to, Credential: t.site.keys["upstream"]},
		Name:   fmt.Sprint("e-real-", n), Domain: t.site.daemons[0].domain, Models: []string{"m"}, Slots: 64, Speed: engineSpeed, Seed: uint64(n),
	})
	if err := e.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { e.Crash() })
}

// request sends requests at the layout's rate to the instances in turn.
func (t *traffic) request(ctx context.Context) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / t.site.requests))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.running.Go(func() { t.requestOnce(ctx, n) })
		}
	}
}

func (t *traffic) requestOnce(ctx context.Context, n int) {
	s := t.site
	prompt := strings.Repeat(fmt.Sprintf("line %d of a job history; ", n%50), 100)
	body := fmt.Sprintf(`{"model":"m","stream":true,"standin_tokens":%d,"messages":[{"role":"user","content":%q}]}`, answerTokens, prompt)
	to := s.daemons[n%s.perDomain]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.address(s.callers)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.failed.Add(1)
		return
	}
	req.Header.Set("Authorization", "Bearer "+s.keys["ward"])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.failed.Add(1)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	whole := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		whole = whole || lines.Text() == "data: [DONE]"
	}
	if !whole {
		t.failed.Add(1)
		return
	}
	t.served.Add(1)
}

// changer changes the configuration at the layout's rate until ctx ends. It is
// the only operator, so that it knows each revision beforehand and need not wait
// for the answer, which comes when the revision is in force in all domains.
type changer struct {
	entry    *daemon
	revision uint64
	doc      *intent.Document
	sent     map[uint64]time.Time
	// running are confirms whose answers have not come.
	running sync.WaitGroup
}

func newChanger(b *testing.B, entry *daemon) *changer {
	in, err := entry.operator().Intent()
	if err != nil {
		b.Fatal(err)
	}
	return &changer{entry: entry, revision: in.Revision, doc: in.Document, sent: map[uint64]time.Time{}}
}

func (c *changer) run(ctx context.Context, b *testing.B, rate float64) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		doc := *c.doc
		doc.Organisations = slices.Clone(c.doc.Organisations)
		doc.Organisations[rand.IntN(len(doc.Organisations))].Weight = 1 + rand.Float64()
		c.doc = &doc
		req := &admin.ConfirmRequest{Number: c.revision + 1, Base: c.revision, Document: &doc}
		c.revision++
		c.sent[c.revision] = time.Now()
		c.running.Go(func() {
			if _, err := c.entry.operator().Confirm(req); err != nil {
				b.Errorf("change %d: %v", req.Number, err)
			}
		})
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
