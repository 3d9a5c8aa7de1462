package daemon

import (
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/comfreyladder/comfreyladder/instance/link"
)

// writeLinkMetrics writes what the links carried, by channel. The counts live in
// the links, which are older than any metric, and their channels are few.
func writeLinkMetrics(w io.Writer, links *link.Service) {
	for _, c := range links.Stats() {
		// A peer chooses the channels' names that it sends.
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
