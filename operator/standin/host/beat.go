package host

import (
	"bufio"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/comfreyladder/comfreyladder/core/announce"
	"github.com/comfreyladder/comfreyladder/core/fault"
)

const (
	announcePath = "/v1/upstreams/announce"
	beatTimeout  = time.Second
	// beatTTL is three beats: one lost beat does not end an upstream.
	beatTTL = 3 * time.Second
)

func (h *Host) announceLoop() {
	if len(h.config.Announce) == 0 {
		return
	}
	tick := time.NewTicker(h.config.Interval)
	defer tick.Stop()
	for {
		h.announceOnce()
		select {
		case <-h.beats:
			return
		case <-tick.C:
		}
	}
}

func (h *Host) announceOnce() {
	h.mu.Lock()
	mute := h.mute
	h.mu.Unlock()
	if mute {
		return
	}
	b := h.fill(h.beat())
	_ = h.post(h.pick(), b)
}

// leave tells every address, since the beat loop has ended and a leave that is
// lost costs callers a late failure.
func (h *Host) leave() {
	for range h.config.Announce {
		b := h.fill(h.beat())
		b.Leave = true
		_ = h.post(h.pick(), b)
	}
}

func (h *Host) fill(b announce.Heartbeat) announce.Heartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	b.Address = h.listener.Addr().String()
	b.Incarnation = h.config.Incarnation
	b.Sequence = h.sequence
	b.TTLMillis = beatTTL.Milliseconds()
	return b
}

func (h *Host) pick() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	a := h.config.Announce[(h.next-1)%len(h.config.Announce)]
	return strings.TrimSuffix(strings.TrimPrefix(a, "http://"), "/")
}

// post sends one beat on a connection of its own, as a balancer would spread them.
func (h *Host) post(address string, b announce.Heartbeat) error {
	body, err := json.Marshal(b)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "encode beat")
	}
	conn, err := net.DialTimeout("tcp", address, beatTimeout)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "dial %s", address)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(beatTimeout))
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + announcePath)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+h.config.Credential)
	req.SetConnectionClose()
	req.SetBody(body)
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return fault.Wrap(err, fault.Unavailable, "send beat")
	}
	if err := w.Flush(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "send beat")
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err != nil {
		return fault.Wrap(err, fault.Unavailable, "read answer to beat")
	}
	if resp.StatusCode()/100 != 2 {
		return fault.New(fault.Unavailable, "beat refused with status %d", resp.StatusCode())
	}
	return nil
}
