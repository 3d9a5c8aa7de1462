package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/operator/load"
)

// resendAfter is the least time between two requests of one call.
const resendAfter = 500 * time.Millisecond

// Call implements load.CallSystem: it sends the call, each time to the next
// instance, until its outcome is known or its resends are used up.
func (m *Remote) Call(ctx context.Context, c *load.Call, arrived time.Time) load.CallOutcome {
	double := make(chan load.CallOutcome, 1)
	if c.Doubled {
		go func() { double <- m.send(ctx, c) }()
	}
	o := load.CallOutcome{}
	for o.Sent = 0; o.Sent <= c.Resends; {
		sent, before := o.Sent+1, o.Verdict
		o = m.send(ctx, c)
		o.Sent = sent
		// A resend that was not run says nothing of what came before it.
		if o.Verdict == load.CallNotRun && before == load.CallUnknown {
			o.Verdict = load.CallUnknown
		}
		if o.Verdict == load.CallDone || o.Verdict == load.CallRejected || !pause(ctx) {
			break
		}
	}
	if c.Doubled {
		o = better(o, <-double)
	}
	o.Total = time.Since(arrived)
	return o
}

// better joins what the two requests of a doubled call were told: the key was
// run if one of them says so, and not run only if both do.
func better(a, b load.CallOutcome) load.CallOutcome {
	a.Sent++
	switch {
	case a.Verdict == load.CallDone:
	case b.Verdict == load.CallDone:
		a.Verdict = load.CallDone
	case a.Verdict == load.CallNotRun && b.Verdict != load.CallNotRun:
		a.Verdict = b.Verdict
	}
	return a
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(resendAfter):
		return true
	case <-ctx.Done():
		return false
	}
}

// send is one request on a connection of its own.
func (m *Remote) send(ctx context.Context, c *load.Call) load.CallOutcome {
	address := m.Addresses[int(m.next.Add(1))%len(m.Addresses)]
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, content, err := m.exchange(ctx, address, c)
	if err != nil {
		if fault.CodeOf(err) == fault.NotRun {
			return load.CallOutcome{Verdict: load.CallNotRun, Detail: err.Error()}
		}
		return load.CallOutcome{Verdict: load.CallUnknown, Detail: err.Error()}
	}
	return judge(resp, content)
}

func (m *Remote) exchange(ctx context.Context, address string, c *load.Call) (*response, []byte, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.NotRun, "no connection")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/services/" + c.Service + c.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Idempotency-Key", c.Key)
	req.SetConnectionClose()
	req.SetBodyString(fmt.Sprintf(`{"visit":%d}`, c.Sequence))
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return nil, nil, fault.Wrap(err, fault.OutcomeUnknown, "send")
	}
	if err := w.Flush(); err != nil {
		return nil, nil, fault.Wrap(err, fault.OutcomeUnknown, "send")
	}
	resp, err := receive(bufio.NewReader(conn))
	if err != nil {
		return nil, nil, err
	}
	content, err := resp.content()
	return resp, content, err
}

// judge reads the outcome from an answer.
func judge(resp *response, content []byte) load.CallOutcome {
	var body struct {
		Error struct {
			Code fault.Code `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal(bytes.TrimSpace(content), &body)
	o := load.CallOutcome{Detail: fmt.Sprintf("status %d %s", resp.head.Status, body.Error.Code)}
	code := body.Error.Code
	switch {
	case resp.head.Status/100 == 2 && resp.head.Status != fasthttp.StatusAccepted:
		o.Verdict = load.CallDone
	case resp.notRun() || code == fault.NotRun || code == fault.Overloaded || code == fault.Draining:
		o.Verdict = load.CallNotRun
	case code == fault.OutcomeUnknown || code == fault.InProgress || resp.head.Status >= 500 || resp.head.Status == fasthttp.StatusAccepted:
		o.Verdict = load.CallUnknown
	default:
		o.Verdict = load.CallRejected
	}
	return o
}
