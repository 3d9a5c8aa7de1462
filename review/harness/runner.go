package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a runner of a service. It may crash and start again at its address.
type runner struct {
	s             *site
	id, service   string
	address, zone string
	slots         int
	serve         func(r *life, w http.ResponseWriter, q *http.Request)

	mu   sync.Mutex
	life *life
}

// life is one lifetime of a runner.
type life struct {
	*runner
	version  string
	born     int64
	sequence atomic.Int64
	// late is how long its first liveness report is under way.
	late   time.Duration
	server *http.Server
	conns  sync.Map
	ended  chan struct{}
}

func (s *site) newRunner(id, service, zone string, host, slots int) *runner {
	l, err := net.Listen("tcp4", s.ip(host)+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return &runner{s: s, id: id, service: service, address: l.Addr().String(), zone: zone, slots: slots}
}

// start begins a lifetime.
func (r *runner) start(version string, late time.Duration) *life {
	l := &life{runner: r, version: version, born: time.Now().UnixMilli(), late: late, ended: make(chan struct{})}
	var listener net.Listener
	await("the address of a runner is taken", 5*time.Second, func() bool {
		var err error
		listener, err = net.Listen("tcp4", r.address)
		return err == nil
	})
	l.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/healthz" {
				w.Header().Set("Instance-Id", r.id)
				return
			}
			if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			r.serve(l, w, q)
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				l.conns.Store(c, true)
			case http.StateClosed, http.StateHijacked:
				l.conns.Delete(c)
			}
		},
	}
	go func() { _ = l.server.Serve(listener) }()
	r.mu.Lock()
	r.life = l
	r.mu.Unlock()
	go l.beat()
	return l
}

// crash ends the lifetime without a word: all channels are reset.
func (r *runner) crash() {
	r.mu.Lock()
	l := r.life
	r.mu.Unlock()
	close(l.ended)
	l.conns.Range(func(c, _ any) bool {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return true
	})
	_ = l.server.Close()
}

// beat reports every 1.2 s.
func (l *life) beat() {
	for i := 0; ; i++ {
		go l.report("ready", i)
		select {
		case <-l.ended:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// report sends a liveness report to one core after the other until one acknowledges it.
func (l *life) report(state string, first int) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"warmup-left-ms":0,"phase":"both","model-list":[{"name":"m","version":1,"adapter-list":[]}],"sequence":%d,"born":%d}`,
		l.service, l.address, l.zone, l.version, l.slots, state, l.sequence.Add(1), l.born)
	if first == 0 {
		time.Sleep(l.late)
	}
	for i := range l.s.cores {
		core := l.s.cores[(first+i)%len(l.s.cores)]
		status, _ := call("PUT", "http://"+core.at(l.s.control)+"/instances/"+l.id, body)
		if status/100 == 2 {
			return
		}
	}
}
