package relay

import (
	"github.com/comfreyladder/comfreyladder/core/control/serving"
	"github.com/comfreyladder/comfreyladder/instance/eventlog"
)

const (
	// maxLoggedChanges is the number of changed upstreams up to which a view logs each of them.
	// A view with more logs those that this instance uses, and a summary.
	maxLoggedChanges = 16
	// maxLoggedIDs bounds the upstreams that a summary names.
	maxLoggedIDs = 8
)

// changeLog logs the changes of the upstreams in one view.
type changeLog struct {
	sink  *eventlog.Sink
	index int64
	// all is set if each change is logged.
	all bool
	// The fields below count what is not logged by itself.
	ready, draining, superseded, silent, left, restarts int64
	ids                                                 []string
}

func newChangeLog(sink *eventlog.Sink, index uint64, changes int) *changeLog {
	return &changeLog{sink: sink, index: int64(index), all: changes <= maxLoggedChanges}
}

// gone logs an upstream that left or was dropped.
func (l *changeLog) gone(u *upstream, used bool) {
	if l.summarises(u.id, used) {
		l.left++
		return
	}
	l.sink.Event("upstream_gone").Str("upstream", u.id).Str("address", u.address).Int("index", l.index).End()
}

// restarted logs an upstream that another incarnation under its ID has replaced.
func (l *changeLog) restarted(u *upstream, info *serving.Upstream) {
	if l.summarises(u.id, u.active > 0) {
		l.restarts++
		return
	}
	l.sink.Event("upstream_restarted").Str("upstream", info.ID).Str("address", info.Address).Int("born", info.StartedAt).Int("index", l.index).End()
}

// state logs the new state of an upstream.
func (l *changeLog) state(info *serving.Upstream, used bool) {
	if !l.summarises(info.ID, used) {
		l.sink.Event("upstream_state").Str("upstream", info.ID).Str("service", info.Service).Str("address", info.Address).
			Str("state", info.State.String()).Bool("silent", info.Silent).Int("index", l.index).End()
		return
	}
	switch {
	case info.Silent:
		l.silent++
	case info.State == serving.Ready:
		l.ready++
	case info.State == serving.Draining:
		l.draining++
	default:
		l.superseded++
	}
}

// summarises reports whether a change is only counted.
func (l *changeLog) summarises(id string, used bool) bool {
	if l.all || used {
		return false
	}
	if len(l.ids) < maxLoggedIDs {
		l.ids = append(l.ids, id)
	}
	return true
}

// end logs the summary.
func (l *changeLog) end() {
	if len(l.ids) == 0 {
		return
	}
	e := l.sink.Event("upstreams_changed").Int("ready", l.ready).Int("draining", l.draining).Int("superseded", l.superseded).
		Int("silent", l.silent).Int("gone", l.left).Int("restarted", l.restarts).Int("index", l.index)
	for _, id := range l.ids {
		e.Str("upstream", id)
	}
	e.End()
}
