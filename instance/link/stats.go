package link

import (
	"sort"
	"sync"
	"sync/atomic"
)

// heartbeatChannel is the channel name under which heartbeats are counted.
const heartbeatChannel = "heartbeat"

// ChannelStats counts the traffic of one channel of this instance, over all peers. Bytes are those
// of WebSocket frames including headers; the overhead of TCP and IP depends on Segments.
type ChannelStats struct {
	Channel     string
	SentCount   uint64
	SentBytes   uint64
	RecvCount   uint64
	RecvBytes   uint64
	DropCount   uint64 // dropped by a lossy channel or for lack of space
	UnsentCount uint64 // rejected by Send because the queue was full or closed
}

type counters struct {
	sentCount, sentBytes, recvCount, recvBytes, dropCount, unsentCount atomic.Uint64
}

type stats struct {
	channels           sync.Map // maps a channel name to *counters
	unmatchedResponses atomic.Uint64
	rejectedLinks      atomic.Uint64
	overdueMessages    atomic.Uint64
	channelCount       atomic.Int64
	writes             atomic.Uint64
	reads              atomic.Uint64
}

// maxChannels limits the number of counters, as the channel names come from peers.
const maxChannels = 256

func (s *stats) countersFor(channel string) *counters {
	if c, ok := s.channels.Load(channel); ok {
		return c.(*counters)
	}
	if s.channelCount.Load() >= maxChannels {
		channel = "other"
	}
	c, loaded := s.channels.LoadOrStore(channel, &counters{})
	if !loaded {
		s.channelCount.Add(1)
	}
	return c.(*counters)
}

func (s *stats) sent(channel string, bytes int) {
	c := s.countersFor(channel)
	c.sentCount.Add(1)
	c.sentBytes.Add(uint64(bytes))
}

func (s *stats) received(channel string, bytes int) {
	c := s.countersFor(channel)
	c.recvCount.Add(1)
	c.recvBytes.Add(uint64(bytes))
}

func (s *stats) dropped(channel string) { s.countersFor(channel).dropCount.Add(1) }

// Stats returns the counters of all channels, sorted by name.
func (s *Service) Stats() []ChannelStats {
	var all []ChannelStats
	s.stats.channels.Range(func(name, value any) bool {
		c := value.(*counters)
		all = append(all, ChannelStats{
			Channel:     name.(string),
			SentCount:   c.sentCount.Load(),
			SentBytes:   c.sentBytes.Load(),
			RecvCount:   c.recvCount.Load(),
			RecvBytes:   c.recvBytes.Load(),
			DropCount:   c.dropCount.Load(),
			UnsentCount: c.unsentCount.Load(),
		})
		return true
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Channel < all[j].Channel })
	return all
}

// Segments returns the number of writes to and reads from the connections of all links,
// approximately the number of TCP segments with data in each direction.
func (s *Service) Segments() (writes, reads uint64) {
	return s.stats.writes.Load(), s.stats.reads.Load()
}

// UnmatchedResponses returns how many responses were late or matched no call.
func (s *Service) UnmatchedResponses() uint64 { return s.stats.unmatchedResponses.Load() }

// RejectedLinks returns how many connections failed the handshake.
func (s *Service) RejectedLinks() uint64 { return s.stats.rejectedLinks.Load() }

// OverdueMessages returns how many links were closed because a message that had begun did not end in time.
func (s *Service) OverdueMessages() uint64 { return s.stats.overdueMessages.Load() }
