package system_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// benchSite starts daemons, one of each failure domain with a disk, and ends
// them with the benchmark.
func benchSite(b *testing.B, perDomain int, domains ...string) *site {
	RegisterTestingT(b)
	s := layOut(b.TempDir(), siteOptions{}, perDomain, domains...)
	s.launch = run
	b.Cleanup(func() {
		for _, in := range s.instances {
			in.process.kill()
		}
	})
	s.startAll()
	s.awaitLeases()
	return s
}

// timeChange confirms one change and returns how long it took until it was in force.
func (in *instance) timeChange(number uint64) time.Duration {
	base, doc := in.withFloor(float64(number%500) / 1000)
	began := time.Now()
	_, err := in.confirm("alice", number, base, doc)
	Expect(err).NotTo(HaveOccurred())
	return time.Since(began)
}

func quantile(all []time.Duration, q float64) float64 {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))].Seconds() * 1e3
}

// BenchmarkConfirm measures, with 9 daemons in 3 failure domains, the time from
// a confirm to its return, when all of them act on it.
func BenchmarkConfirm(b *testing.B) {
	s := benchSite(b, 3, domains...)
	in := s.instances["south-2"]
	in.timeChange(1)
	var took []time.Duration
	behind := 0
	b.ResetTimer()
	for n := range b.N {
		took = append(took, in.timeChange(uint64(n+2)))
		for _, other := range s.instances {
			cur, err := other.operator("alice").Intent()
			if err != nil || cur.Document.Class("bulk").Floor != float64((n+2)%500)/1000 {
				behind++
				b.Logf("n=%d %s %v took %v rev %v", n, other.name, err, took[n], cur.Revision)
			}
		}
	}
	b.ReportMetric(quantile(took, 0.5), "p50-ms")
	b.ReportMetric(quantile(took, 0.99), "p99-ms")
	b.ReportMetric(float64(behind), "behind")
}

// BenchmarkChanges measures how many changes a second one operator gets in force
// one after the other.
func BenchmarkChanges(b *testing.B) {
	s := benchSite(b, 3, domains...)
	in := s.instances["south-2"]
	in.timeChange(1)
	b.ResetTimer()
	for n := range b.N {
		in.timeChange(uint64(n + 2))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
}

// BenchmarkLeaderDeath measures how long after the SIGKILL of the control leader
// another instance plans again, which needs a leader that a quorum confirms, and
// how long until a confirm has returned, which waits out the lease of the failure
// domain that is gone.
func BenchmarkLeaderDeath(b *testing.B) {
	s := benchSite(b, 1, domains...)
	var led, confirmed []time.Duration
	for n := range b.N {
		leader := s.leader()
		in := s.other(leader)
		base, doc := in.withFloor(float64(n%500) / 1000)
		leader.process.kill()
		began := time.Now()
		Eventually(func() error {
			_, err := in.operator("alice").Plan(doc)
			return err
		}, patience, poll).Should(Succeed())
		led = append(led, time.Since(began))
		Eventually(func() error {
			_, err := in.confirm("alice", uint64(n+1), base, doc)
			return err
		}, patience, poll).Should(Succeed())
		confirmed = append(confirmed, time.Since(began))
		leader.start()
		leader.awaitReady()
	}
	b.ReportMetric(quantile(led, 0.5), "led-p50-ms")
	b.ReportMetric(quantile(led, 1), "led-max-ms")
	b.ReportMetric(quantile(confirmed, 0.5), "confirmed-p50-ms")
	b.ReportMetric(quantile(confirmed, 1), "confirmed-max-ms")
}

// other returns an instance with a disk that isn't the given one.
func (s *site) other(than *instance) *instance {
	for _, in := range s.voters() {
		if in != than {
			return in
		}
	}
	return nil
}
