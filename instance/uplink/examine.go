package uplink

import (
	"context"
	"net"
	"time"

	"github.com/comfreyladder/comfreyladder/core/reach"
)

// examination is the work of one check: it asks upstreams directly and, if none answers, through other
// instances. reach.Check decides.
type examination struct {
	s     *Service
	ctx   context.Context
	list  []Candidate
	check reach.Check
	// accepted is called once an upstream has accepted a connection.
	accepted func()
	direct   chan directResult
	others   chan otherResult
	// begun counts the upstreams that were asked directly, asks the tries through other instances, and
	// asking those of them that have not ended.
	begun, asks, asking int
	// latest is the tunnel of the latest try, which is distrusted if the next one begins before it ended.
	latest *tunnelled
}

// directResult is how a try over the direct way ended.
type directResult struct {
	number  int
	outcome reach.Outcome
}

// otherResult is how a try through another instance ended.
type otherResult struct {
	number   int
	progress progress
}

// progress is how far a try through another instance has come.
type progress uint8

const (
	// failed means that no connection could be made, or no answer came over it.
	failed progress = iota
	// accepted means that a connection was made.
	accepted
	// answered means that an answer came.
	answered
)

// examine asks upstreams until one has answered, or it is known why none does.
func (s *Service) examine(accepted func()) (reach.Verdict, reach.Result) {
	ctx, cancel := context.WithTimeout(s.ctx, checkTimeout)
	defer cancel()
	x := &examination{s: s, ctx: ctx, list: s.cfg.Sample(checkSize), accepted: accepted, direct: make(chan directResult), others: make(chan otherResult)}
	proofs := s.monitor.Proofs()
	v := x.run()
	found := x.check.Result()
	if s.monitor.Proofs() != proofs {
		// A request got its answer over a new connection meanwhile.
		found.Reached++
		v = reach.Sound
	}
	return v, found
}

func (x *examination) run() reach.Verdict {
	direct, ask, grace := time.NewTimer(0), time.NewTimer(reach.Patience), time.NewTimer(checkTimeout)
	defer direct.Stop()
	defer ask.Stop()
	defer grace.Stop()
	for len(x.list) > 0 {
		select {
		case <-direct.C:
			if x.askNext() {
				direct.Reset(checkStagger)
			}
		case r := <-x.direct:
			x.check.Ended(r.number, r.outcome, time.Now())
			x.retry(r.number)
			switch {
			case x.askNext():
				direct.Reset(checkStagger)
			case x.check.Open() == 0 && x.asks == 0:
				ask.Reset(0)
			}
		case <-ask.C:
			x.askOther()
			ask.Reset(askStagger << x.asks)
		case r := <-x.others:
			if x.takeOther(r) {
				ask.Reset(0)
			}
		case <-grace.C:
		case <-x.ctx.Done():
			return reach.Undecided
		}
		v, left := x.check.Verdict(time.Now())
		switch {
		case v != reach.Undecided || x.over():
			return v
		case left > 0:
			grace.Reset(left)
		}
	}
	return reach.Undecided
}

// over reports whether nothing can change any more.
func (x *examination) over() bool {
	return x.begun == len(x.list) && x.check.Open() == 0 && (x.check.Futile() || x.asking == 0 && !x.mayAskOther())
}

// askNext asks the next upstream directly, and reports false if there is none.
func (x *examination) askNext() bool {
	if x.begun == len(x.list) {
		return false
	}
	x.begun++
	x.askDirect(x.check.Begin(time.Now(), x.list[x.begun-1].Strained))
	return true
}

// retry asks an upstream again if that is needed.
func (x *examination) retry(number int) {
	if x.check.Retry(number, time.Now()) {
		x.askDirect(number)
	}
}

func (x *examination) askDirect(number int) {
	x.s.running.Go(func() {
		o := x.s.ask(x.ctx, x.list[number], x.accepted)
		select {
		case x.direct <- directResult{number, o}:
		case <-x.ctx.Done():
		}
	})
}

func (x *examination) mayAskOther() bool { return x.asks < maxAsks && x.s.tunnels() }

// askOther asks one of the upstreams through another instance. An instance through which no answer came
// so far is passed over.
func (x *examination) askOther() {
	x.s.monitor.Ask()
	if !x.mayAskOther() || x.begun == 0 {
		return
	}
	if x.latest != nil {
		x.latest.distrust()
	}
	number, t := x.asks%x.begun, &tunnelled{}
	x.latest = t
	x.asks++
	x.asking++
	x.s.running.Go(func() { x.askThrough(t, number) })
}

// takeOther records how far a try through another instance has come, and reports whether it failed.
func (x *examination) takeOther(r otherResult) bool {
	switch r.progress {
	case accepted:
		x.check.AcceptedOther(r.number, time.Now())
		x.retry(r.number)
		return false
	case answered:
		x.check.AnsweredOther(r.number, time.Now())
		x.retry(r.number)
	}
	x.asking--
	return r.progress == failed
}

func (x *examination) askThrough(t *tunnelled, number int) {
	tell := func(p progress) {
		select {
		case x.others <- otherResult{number, p}:
		case <-x.ctx.Done():
		}
	}
	c := x.list[number]
	nc, err := x.s.cfg.Tunnels.Dial(x.ctx, c.Target)
	if err != nil {
		tell(failed)
		return
	}
	t.conn.Store(&nc)
	tell(accepted)
	if !c.admits() {
		t.ended.Store(true)
		_ = nc.Close()
		tell(failed)
		return
	}
	if x.s.answers(x.ctx, nc, c) {
		t.ended.Store(true)
		tell(answered)
		return
	}
	t.ended.Store(true)
	if x.ctx.Err() == nil {
		Distrust(nc)
	}
	tell(failed)
}

// ask tries to get an answer from an upstream over the direct way.
func (s *Service) ask(ctx context.Context, c Candidate, accepted func()) reach.Outcome {
	nc, err := s.Direct(ctx, c.Target)
	if err != nil {
		return reach.Unconnected
	}
	accepted()
	if !c.admits() {
		_ = nc.Close()
		return reach.Withheld
	}
	if s.answers(ctx, nc, c) {
		return reach.Answered
	}
	return reach.Lost
}

// answers asks for the health of an upstream and reports whether anything came back. It closes the
// connection, after the answer has ended if that is soon.
func (s *Service) answers(ctx context.Context, nc net.Conn, c Candidate) bool {
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	_, err := nc.Write(healthRequest(c))
	var first [1]byte
	n := 0
	if err == nil {
		n, _ = nc.Read(first[:])
	}
	if !stop() || n == 0 {
		_ = nc.Close()
		return false
	}
	s.running.Go(func() { s.finish(nc, first, c) })
	return true
}
