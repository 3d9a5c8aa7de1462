package logs_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/operator/logs"
)

const edge = `time=2026-01-01T00:00:01.000Z event=control_lost peer=c lease_left=3000
time=2026-01-01T00:00:02.000Z event=upstream_state upstream=u1 state=ready silent=true
time=2026-01-01T00:00:02.100Z event=upstream_state upstream=u9 state=ready silent=true
time=2026-01-01T00:00:03.000Z event=attempt request=a upstream=u1 outcome=unknown took=900 error="read tcp: i/o \"timeout\""
no line of ours
time=2026-01-01T00:00:03.500Z event=request_done request=b status=200
`

const core = `  12.5 core-1 level=info event=upstream_announced upstream=u1 time=2026-01-01T00:00:02.500Z message="heartbeat of an upstream"
  12.6 core-1 level=info event=upstream_announced upstream=u1 time=2026-01-01T00:00:09.000Z message=x
`

func TestExplainCollectsLinesOfAllProcesses(t *testing.T) {
	g := NewWithT(t)
	lines, err := logs.Read(strings.NewReader(edge), "edge-1.log")
	g.Expect(err).NotTo(HaveOccurred())
	more, err := logs.Read(strings.NewReader(core), "all.log")
	g.Expect(err).NotTo(HaveOccurred())
	var got []string
	for _, l := range logs.Explain(append(lines, more...), "a", 2*time.Second) {
		got = append(got, l.Source+" "+l.Event())
	}
	g.Expect(got).To(Equal([]string{
		"edge-1.log control_lost", "edge-1.log upstream_state", "core-1 upstream_announced", "edge-1.log attempt",
	}))
	g.Expect(lines[3].Field("error")).To(Equal(`read tcp: i/o "timeout"`))
	g.Expect(logs.Explain(lines, "none", time.Second)).To(BeEmpty())
}

// No line names a request whose instance was killed while it was in flight. UncleanExits must
// report the killed instances, and not those that were stopped.
func TestUncleanExitsReportsKilledProcesses(t *testing.T) {
	g := NewWithT(t)
	read := func(source, text string) []*logs.Line {
		lines, err := logs.Read(strings.NewReader(text), source)
		g.Expect(err).NotTo(HaveOccurred())
		return lines
	}
	lines := slices.Concat(
		read("killed", "time=2026-01-01T00:00:01Z event=start\ntime=2026-01-01T00:00:09Z event=request_done request=a\ntime=2026-01-01T00:00:11Z event=start\n"),
		read("stopped", "time=2026-01-01T00:00:01Z event=start\ntime=2026-01-01T00:00:08Z event=stop\ntime=2026-01-01T00:00:12Z event=start\n"),
		read("lost", "time=2026-01-01T00:00:01Z event=start\ntime=2026-01-01T00:00:20Z event=request_done request=b\n"),
		read("calm", "time=2026-01-01T00:00:00Z event=links_open\ntime=2026-01-01T00:00:01Z event=start\ntime=2026-01-01T00:01:00Z event=request_done request=c\n"),
		read("killed", "time=2026-01-01T00:01:00Z event=request_done request=d\n"),
		read("stopped", "time=2026-01-01T00:01:00Z event=request_done request=e\n"),
	)
	ended := logs.UncleanExits(lines)
	g.Expect(ended).To(HaveLen(2))
	g.Expect(ended[0].Source).To(Equal("killed"))
	g.Expect(ended[0].Started.Sub(ended[0].Last)).To(Equal(2 * time.Second))
	g.Expect(ended[1].Source).To(Equal("lost"))
	g.Expect(ended[1].Started).To(BeZero())
}

// The lines of a window show when it was closed, which member sent its report and which members
// held the duties meanwhile, as needed for a disputed bill. Lines of other windows are left out.
func TestWindowCollectsReportAndDutyLines(t *testing.T) {
	g := NewWithT(t)
	lines, err := logs.Read(strings.NewReader(`time=2026-01-01T00:00:01Z event=duties_held fence=3
time=2026-01-01T00:00:05Z event=usage_window_closed window=42 requests=7
time=2026-01-01T00:00:05Z event=usage_window_closed window=43 requests=9
time=2026-01-01T00:00:06Z event=usage_report window=42 error="no answer"
time=2026-01-01T00:00:07Z event=duties_lost fence=3
`), "core-1.log")
	g.Expect(err).NotTo(HaveOccurred())
	more, err := logs.Read(strings.NewReader(`time=2026-01-01T00:00:08Z event=duties_held fence=4
time=2026-01-01T00:00:09Z event=usage_report window=42
time=2026-01-01T00:00:20Z event=duties_lost fence=4
`), "core-2.log")
	g.Expect(err).NotTo(HaveOccurred())
	var got []string
	for _, l := range logs.Window(append(more, lines...), 42) {
		got = append(got, l.Source+" "+l.Event())
	}
	g.Expect(got).To(Equal([]string{
		"core-1.log usage_window_closed", "core-1.log usage_report", "core-1.log duties_lost", "core-2.log duties_held", "core-2.log usage_report",
	}))
	g.Expect(logs.Window(lines, 41)).To(BeEmpty())
}
