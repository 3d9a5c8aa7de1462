package capacity_test

import (
	"bufio"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/core/tree"
)

// The roles that a daemon may have besides serving its callers.
const (
	roleLeader    = "leader"
	roleVoter     = "voter"
	roleScheduler = "scheduler"
	roleDelegate  = "delegate"
	roleRelay     = "relay"
	roleEntry     = "entry"
	rolePlain     = "plain"
)

// roles tells what each daemon does, such as "voter" or "relay+scheduler". The
// entry daemon is the one that operators talk to.
func (s *site) roles(b *testing.B, entry *daemon) []string {
	leader := ""
	for _, d := range s.daemons {
		if d.disk {
			leader = d.status(b).Leader
		}
	}
	scheduler := map[string]string{}
	for i := 0; i < len(s.daemons); i += s.perDomain {
		scheduler[s.daemons[i].domain] = s.daemons[i].status(b).Scheduler
	}
	var all []string
	for _, d := range s.daemons {
		var is []string
		add := func(role string, holds bool) {
			if holds {
				is = append(is, role)
			}
		}
		add(roleLeader, d.name == leader)
		add(roleVoter, d.disk && d.name != leader)
		add(roleScheduler, d.name == scheduler[d.domain])
		add(roleDelegate, d.place == 0)
		add(roleRelay, d.place > 0 && d.place*tree.DefaultFanOut+1 < s.perDomain)
		add(roleEntry, d == entry && s.changes > 0)
		if len(is) == 0 {
			is = []string{rolePlain}
		}
		all = append(all, strings.Join(is, "+"))
	}
	return all
}

// byRole returns the mean figures of each role that some daemon has.
func byRole(roles []string, x, y []reading) map[string]figures {
	groups := map[string][]figures{}
	for i, role := range roles {
		groups[role] = append(groups[role], between(x[i], y[i]))
	}
	out := map[string]figures{}
	for role, all := range groups {
		out[role] = mean(all)
	}
	return out
}

// inForce returns, for each revision, how long after the operator sent it the
// last daemon put it, or a later one, in force; by the daemons' logs.
func (s *site) inForce(b *testing.B, sent map[uint64]time.Time) []time.Duration {
	last := map[uint64]time.Time{}
	for _, d := range s.daemons {
		s.readLog(b, d, sent, last)
	}
	var lags []time.Duration
	for revision, at := range sent {
		lags = append(lags, max(last[revision].Sub(at), 0))
	}
	slices.Sort(lags)
	return lags
}

func (s *site) readLog(b *testing.B, d *daemon, sent, last map[uint64]time.Time) {
	f, err := os.Open(d.log)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	seen := uint64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if !strings.Contains(lines.Text(), "revision in force") {
			continue
		}
		revision, at := uint64(0), time.Time{}
		for _, word := range strings.Fields(lines.Text()) {
			if v, ok := strings.CutPrefix(word, "revision="); ok {
				revision, _ = strconv.ParseUint(v, 10, 64)
			}
			if v, ok := strings.CutPrefix(word, "time="); ok {
				at, _ = time.Parse(time.RFC3339Nano, v)
			}
		}
		for r := seen + 1; r <= revision; r++ {
			if at.After(last[r]) {
				last[r] = at
			}
		}
		seen = revision
	}
	for r := range sent {
		if r > seen {
			b.Errorf("%s never put revision %d in force", d.name, r)
		}
	}
}
