package daemon

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/comfreyladder/comfreyladder/instance/link"
)

// writeLinkMetrics writes the traffic counters of the links by channel. The link
// service keeps the counters itself, as it does not depend on telemetry; there are
// few channels.
func writeLinkMetrics(w io.Writer, links *link.Service) {
	for _, c := range links.Stats() {
		// Quoted because a peer chooses the names of the channels that it sends on.
		label := "{channel=" + strconv.Quote(c.Channel) + "}"
		metrics.WriteCounterUint64(w, "link_sent_bytes_total"+label, c.SentBytes)
		metrics.WriteCounterUint64(w, "link_received_bytes_total"+label, c.RecvBytes)
		metrics.WriteCounterUint64(w, "link_sent_messages_total"+label, c.SentCount)
		metrics.WriteCounterUint64(w, "link_received_messages_total"+label, c.RecvCount)
		metrics.WriteCounterUint64(w, "link_dropped_messages_total"+label, c.DropCount)
	}
	writes, reads := links.Segments()
	metrics.WriteCounterUint64(w, "link_writes_total", writes)
	metrics.WriteCounterUint64(w, "link_reads_total", reads)
}
