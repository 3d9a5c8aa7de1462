package relay

import (
	"bufio"
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/comfreyladder/comfreyladder/core/drain"
	"github.com/comfreyladder/comfreyladder/core/overload"
	"github.com/comfreyladder/comfreyladder/instance/http1"
	"github.com/comfreyladder/comfreyladder/instance/tcpconn"
)

// overloadTick is the time between two ticks of the overload's controller.
const overloadTick = 50 * time.Millisecond

// maxPeekedHead is how much of a request is looked at to find its route before it is read, in bytes.
const maxPeekedHead = 1 << 10

// overloadGuard leaves connections unread while this instance has too little CPU time. It is idle unless
// Config.ShedOverload is set.
type overloadGuard struct {
	mu         sync.Mutex
	controller *overload.Controller
	// active is set while the instance is overloaded.
	active atomic.Bool
	// shed counts the connections that were not served since the overload began, at begunAt.
	shed atomic.Int64
	// decided counts the connections that were decided on in the current interval, shedLately those of them
	// that were not served. full is set if the latter were many in the last interval, which ended at countedAt.
	decided, shedLately atomic.Int64
	full                atomic.Bool
	countedAt           time.Time
	begunAt             time.Time
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// watchOverload ticks until the service stops.
func (s *Service) watchOverload() {
	t := time.NewTicker(overloadTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.tickOverload(time.Now())
		case <-s.stop:
			return
		}
	}
}

func (s *Service) tickOverload(now time.Time) {
	g := &s.overload
	g.mu.Lock()
	change, suspended := g.controller.Tick(now, cpuTime())
	mean := g.controller.Mean()
	g.mu.Unlock()
	if suspended {
		s.set.GetOrCreateCounter("relay_suspensions_total").Inc()
	}
	g.count(now)
	switch change {
	case overload.Began:
		g.begunAt = now
		g.shed.Store(0)
		g.active.Store(true)
		s.cfg.Log.Event("overload_began").MS("lag", mean).Int("in_flight", s.inFlight.Load()).End()
	case overload.Ended:
		g.active.Store(false)
		s.cfg.Log.Event("overload_ended").MS("took", now.Sub(g.begunAt)).Int("shed", g.shed.Load()).End()
	}
}

// fullShare is the share of the connections not served from which on others should not send callers here.
const fullShare = 0.25

// count determines whether the instance is full, once in an interval.
func (g *overloadGuard) count(now time.Time) {
	if now.Sub(g.countedAt) < overload.Interval {
		return
	}
	g.countedAt = now
	decided, shed := g.decided.Swap(0), g.shedLately.Swap(0)
	g.full.Store(g.active.Load() && decided > 0 && float64(shed) >= fullShare*float64(decided))
}

// observeLag records the lag of a new connection or of a response.
func (s *Service) observeLag(lag time.Duration) {
	g := &s.overload
	g.mu.Lock()
	g.controller.Observe(lag)
	g.mu.Unlock()
}

// observeResponse records the lag of a response on a connection to an upstream.
func (s *Service) observeResponse(nc net.Conn) {
	if !s.cfg.ShedOverload {
		return
	}
	if lag, ok := tcpconn.SinceArrival(nc); ok {
		s.observeLag(lag)
	}
}

// acceptConn accepts a connection. While this instance is overloaded, it leaves others unread or rejects
// their requests.
func (s *Service) acceptConn() (net.Conn, error) {
	if !s.sheds() {
		return s.listener.Accept()
	}
	rejects := s.mostOverloaded()
	return s.listener.AcceptUnless(func(p tcpconn.Pending) tcpconn.Verdict {
		lag, ok := p.SinceArrival()
		switch {
		case !ok || !s.shedsAt(lag, p.PeekArrived):
			return tcpconn.Keep
		case !rejects:
			s.countShed("unread")
			return tcpconn.RefuseUnread
		case s.rejectArrived(p):
			s.countShed("rejected")
			return tcpconn.Close
		}
		return tcpconn.Keep
	})
}

// rejectArrived rejects a request that has arrived whole, without the cost of a connection's goroutines.
func (s *Service) rejectArrived(p tcpconn.Pending) bool {
	var buf [maxPeekedHead]byte
	var head http1.Head
	n := p.PeekArrived(buf[:])
	err := head.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:n])), maxPeekedHead)
	if err != nil || head.Framing != http1.NoBody || head.Size() != n {
		return false
	}
	return p.Answer(n, s.appendRefusal(nil, head.Get(s.cfg.Headers.RequestID), errOverloaded, true))
}

// sheds reports whether connections may have to be left unread. A draining instance serves all: its callers
// may have no other one.
func (s *Service) sheds() bool { return s.overload.active.Load() && s.phase() == drain.Serving }

// shedsAt decides whether a new connection with a lag is not served. peek copies what has arrived on it.
func (s *Service) shedsAt(lag time.Duration, peek func([]byte) int) bool {
	return s.controllerSheds(lag, 1) && s.controllerSheds(lag, s.arrivedRank(peek))
}

func (s *Service) controllerSheds(lag time.Duration, rank float64) bool {
	g := &s.overload
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Sheds(lag, rank)
}

func (s *Service) countShed(how string) {
	s.overload.shed.Add(1)
	s.overload.shedLately.Add(1)
	s.overload.decided.Add(1)
	s.set.GetOrCreateCounter(`relay_overload_connections_total{result="` + how + `"}`).Inc()
}

// arrivedRank returns the rank of the request that has arrived on a connection, from 0 for the most urgent
// routes to 1. One whose route is not known has rank 1, and so has each if there is only one priority.
func (s *Service) arrivedRank(peek func([]byte) int) float64 {
	v := s.cfg.State.View()
	if v.Routes == nil || v.Routes.Priorities() < 2 {
		return 1
	}
	var buf [maxPeekedHead]byte
	var head http1.Head
	n := peek(buf[:])
	if err := head.ReadRequest(bufio.NewReader(bytes.NewReader(buf[:n])), maxPeekedHead); err != nil {
		return 1
	}
	if r := v.Routes.Route(string(head.Get("Host")), string(head.Target)); r != nil {
		return v.Routes.Rank(r)
	}
	return 1
}

// overloadedShare is the share of overloaded instances from which on a caller whose connection is left
// unread would probably find another one that does the same.
const overloadedShare = 0.5

// mostOverloaded reports whether most instances are overloaded. They then reject requests in place of
// leaving them unread, so that callers don't go from one to the next.
func (s *Service) mostOverloaded() bool {
	all := s.cfg.State.View().Forwarders
	return all < 2 || float64(1+s.fleet.othersOverloaded(time.Now())) > overloadedShare*float64(all)
}

// errOverloaded rejects a request that was read for this purpose only.
var errOverloaded = &refusal{503, "not run: most instances have too little CPU time", overloadRetry}

// overloadRetry is when a request may be retried that was rejected for an overload of most instances.
const overloadRetry = 300 * time.Millisecond

// leftUnread waits for the first bytes on a new connection and reports whether it was closed unread.
func (c *conn) leftUnread() bool {
	if !c.s.cfg.ShedOverload {
		return false
	}
	lag, err := tcpconn.AwaitArrival(c.nc)
	if err != nil {
		return false
	}
	s := c.s
	s.observeLag(lag)
	if !s.sheds() {
		return false
	}
	if !s.shedsAt(lag, func(b []byte) int { return tcpconn.PeekArrived(c.nc, b) }) {
		s.overload.decided.Add(1)
		return false
	}
	if s.mostOverloaded() {
		s.countShed("rejected")
		c.rejectsNext = true
		return false
	}
	s.countShed("unread")
	tcpconn.Reset(c.nc)
	return true
}
