package link

import (
	"sort"
	"sync"
	"sync/atomic"
)

// heartbeatChannel is the name under which heartbeats are counted.
const heartbeatChannel = "heartbeat"

// ChannelStats counts one channel's traffic of this instance, over all peers.
// Bytes are those of the WebSocket frames, headers included; what TCP and IP add
// depends on Segments.
type ChannelStats struct {
	Channel     string
	SentCount   uint64
	SentBytes   uint64
	RecvCount   uint64
	RecvBytes   uint64
	DropCount   uint64 // dropped on lossy channels or for want of room
	UnsentCount uint64 // refused because the queue was full
}

type counters struct {
	sentCount, sentBytes, recvCount, recvBytes, dropCount, unsentCount atomic.Uint64
}

type stats struct {
	channels  sync.Map // channel name to *counters
	unmatched atomic.Uint64
	refused   atomic.Uint64
	count     atomic.Int64
	writes    atomic.Uint64
	reads     atomic.Uint64
}

// maxChannels bounds the counters, as a peer chooses the names it sends.
const maxChannels = 256

func (s *stats) of(channel string) *counters {
	if c, ok := s.channels.Load(channel); ok {
		return c.(*counters)
	}
	if s.count.Load() >= maxChannels {
		channel = "other"
	}
	c, loaded := s.channels.LoadOrStore(channel, &counters{})
	if !loaded {
		s.count.Add(1)
	}
	return c.(*counters)
}

func (s *stats) sent(channel string, bytes int) {
	c := s.of(channel)
	c.sentCount.Add(1)
	c.sentBytes.Add(uint64(bytes))
}

func (s *stats) received(channel string, bytes int) {
	c := s.of(channel)
	c.recvCount.Add(1)
	c.recvBytes.Add(uint64(bytes))
}

func (s *stats) dropped(channel string) { s.of(channel).dropCount.Add(1) }

// Stats returns the counters of all channels, ordered by name.
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

// Segments returns how often links wrote to and read from their connections,
// which is about the count of TCP segments with data each way.
func (s *Service) Segments() (writes, reads uint64) {
	return s.stats.writes.Load(), s.stats.reads.Load()
}

// UnmatchedAnswers returns how many answers came late or belonged to no call.
func (s *Service) UnmatchedAnswers() uint64 { return s.stats.unmatched.Load() }

// RefusedLinks returns how many connections failed the handshake.
func (s *Service) RefusedLinks() uint64 { return s.stats.refused.Load() }
