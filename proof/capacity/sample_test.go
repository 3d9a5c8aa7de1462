package capacity_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyladder/comfreyladder/instance/admin"
)

const (
	// clockTick is the unit of /proc/<pid>/stat's times, 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// The fields of stat after the command's name that hold user and system time.
	statUser, statSystem = 11, 12
	samplers             = 8
)

// reading is what a daemon's process and counters said at one moment.
type reading struct {
	at      time.Time
	cpu     time.Duration
	rss     float64 // bytes
	metrics map[string]float64
}

func (d *daemon) processor() (cpu time.Duration, rss float64) {
	pid := d.process.Process.Pid
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	if len(f) <= statSystem {
		return 0, 0
	}
	user, _ := strconv.Atoi(f[statUser])
	system, _ := strconv.Atoi(f[statSystem])
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			rss = kb * 1024
		}
	}
	return time.Duration(user+system) * clockTick, rss
}

func (d *daemon) metrics(b *testing.B) map[string]float64 {
	req, _ := http.NewRequest(http.MethodGet, "http://"+d.address(d.site.operators)+admin.PathMetrics, nil)
	req.Header.Set("Authorization", "Bearer "+d.site.keys["operator"])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Errorf("%s: %v", d.name, err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	values := map[string]float64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok {
			values[name], _ = strconv.ParseFloat(value, 64)
		}
	}
	return values
}

// read takes a reading of every daemon. The metrics cost processor time, which
// falls outside the measured span: before the first, after the second time.
func (s *site) read(b *testing.B, first bool) []reading {
	out := make([]reading, len(s.daemons))
	work := make(chan int)
	var workers sync.WaitGroup
	for range samplers {
		workers.Go(func() {
			for i := range work {
				out[i] = s.daemons[i].read(b, first)
			}
		})
	}
	for i := range s.daemons {
		work <- i
	}
	close(work)
	workers.Wait()
	return out
}

func (d *daemon) read(b *testing.B, first bool) reading {
	var r reading
	if first {
		r.metrics = d.metrics(b)
	}
	r.at = time.Now()
	r.cpu, r.rss = d.processor()
	if !first {
		r.metrics = d.metrics(b)
	}
	return r
}

// figures are what one daemon, or several of one role on average, spends.
type figures struct {
	daemons  int
	cpu      float64            // per cent of a core
	rss      float64            // MB
	in, out  float64            // bytes a second on links
	messages float64            // sent a second
	segments float64            // written and read a second
	channels map[string]float64 // bytes a second, both ways
}

func between(x, y reading) figures {
	seconds := y.at.Sub(x.at).Seconds()
	f := figures{daemons: 1, cpu: 100 * (y.cpu - x.cpu).Seconds() / seconds, rss: y.rss / 1e6, channels: map[string]float64{}}
	for name, value := range y.metrics {
		rate := (value - x.metrics[name]) / seconds
		kind, label, _ := strings.Cut(name, "{")
		channel := strings.Trim(strings.TrimPrefix(label, "channel="), `"}`)
		switch kind {
		case "link_sent_bytes_total":
			f.out += rate
			f.channels[channel] += rate
		case "link_received_bytes_total":
			f.in += rate
			f.channels[channel] += rate
		case "link_sent_messages_total":
			f.messages += rate
		case "link_writes_total", "link_reads_total":
			f.segments += rate
		}
	}
	return f
}

func mean(all []figures) figures {
	m := figures{daemons: len(all), channels: map[string]float64{}}
	n := float64(len(all))
	for _, f := range all {
		m.cpu += f.cpu / n
		m.rss += f.rss / n
		m.in += f.in / n
		m.out += f.out / n
		m.messages += f.messages / n
		m.segments += f.segments / n
		for c, v := range f.channels {
			m.channels[c] += v / n
		}
	}
	return m
}

// perSegment is what TCP with timestamps and IP add to a segment, in bytes.
const perSegment = 52

func (f figures) String() string {
	var names []string
	for c := range f.channels {
		names = append(names, c)
	}
	slices.SortFunc(names, func(a, b string) int { return int(f.channels[b] - f.channels[a]) })
	var parts []string
	for _, c := range names {
		if f.channels[c] >= 1 {
			parts = append(parts, fmt.Sprintf("%s %.0f", c, f.channels[c]))
		}
	}
	return fmt.Sprintf("%3d daemons  %5.2f %%core  %5.1f MB  in %6.0f + out %6.0f B/s  headers %6.0f B/s  sends %5.1f/s  [%s]",
		f.daemons, f.cpu, f.rss, f.in, f.out, f.segments*perSegment, f.messages, strings.Join(parts, ", "))
}
