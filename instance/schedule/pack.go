package schedule

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// shortIDLength is the length of a ticket ID in messages, in bytes.
const shortIDLength = 8

// shortID shortens a ticket ID. IDs made of an instance's name and a random part take 45
// bytes, and each message about the ticket carries the ID. IDs also differ between starts
// of an instance. 64 bits of their hash suffice to distinguish the few thousand tickets
// of a domain.
func shortID(id string) string {
	if len(id) <= shortIDLength {
		return id
	}
	var b [shortIDLength]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(id))
	return string(b[:])
}

// ticketMessage is the encoded form of a ticket. Because the clocks of instances differ,
// times are sent as durations in milliseconds.
type ticketMessage struct {
	wire.Array
	ID           string
	Organisation string
	Class        string
	Model        string
	PromptTokens int
	MaxTokens    int
	Prefixes     prefixes
	Age          int64
	// Remaining is the time to the deadline, 0 if there is none.
	Remaining int64
	Excluded  []string
}

func packTicket(t sched.Ticket, now time.Time) ticketMessage {
	m := ticketMessage{
		ID: t.ID, Organisation: t.Organisation, Class: t.Class, Model: t.Model, PromptTokens: t.PromptTokens, MaxTokens: t.MaxTokens,
		Prefixes: packPrefixes(t.PrefixHashes), Age: now.Sub(t.Arrived).Milliseconds(), Excluded: t.Excluded,
	}
	if !t.Deadline.IsZero() {
		m.Remaining = max(t.Deadline.Sub(now).Milliseconds(), 1)
	}
	return m
}

func (m ticketMessage) unpack(now time.Time, from string) sched.Ticket {
	t := sched.Ticket{
		ID: m.ID, Instance: from, Organisation: m.Organisation, Class: m.Class, Model: m.Model, PromptTokens: m.PromptTokens,
		MaxTokens: m.MaxTokens, PrefixHashes: m.Prefixes.unpack(), Arrived: now.Add(-millis(m.Age)), Excluded: m.Excluded,
	}
	if m.Remaining > 0 {
		t.Deadline = now.Add(millis(m.Remaining))
	}
	return t
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	hashLength = 8
	// maxPrefixes is how many prefixes of a prompt are sent with its ticket. All prefixes
	// of a long prompt, up to 64, take more than half a kilobyte.
	maxPrefixes = 6
	// maxBlocks bounds what the receiver allocates for a corrupt message.
	maxBlocks = 1024
)

// prefixes holds a selection of a prompt's prefixes: the whole prompt, and the prefixes
// whose length in blocks is a power of two or one and a half times a power of two. Prompts
// of different length that share a beginning thus select the same prefixes of it.
type prefixes struct {
	wire.Array
	// Blocks is how many prefixes the prompt has.
	Blocks int
	// Hashes are those of the selected prefixes, the longest first, eight bytes each.
	Hashes []byte
}

// sentBlocks returns which prefixes of a prompt are sent, by their length in blocks, the
// longest first.
func sentBlocks(blocks int) []int {
	if blocks <= 0 {
		return nil
	}
	kept := []int{blocks}
	for step := floorStep(blocks - 1); step > 0 && len(kept) < maxPrefixes; step = floorStep(step - 1) {
		kept = append(kept, step)
	}
	return kept
}

// floorStep returns the greatest of 1, 2, 3, 4, 6, 8, 12, 16 and so on that is not above
// n, or 0 if there is none.
func floorStep(n int) int {
	if n < 1 {
		return 0
	}
	power := 1
	for 2*power <= n {
		power *= 2
	}
	if half := power + power/2; power > 1 && half <= n {
		return half
	}
	return power
}

func packPrefixes(longestFirst []uint64) prefixes {
	p := prefixes{Blocks: len(longestFirst)}
	for _, blocks := range sentBlocks(p.Blocks) {
		p.Hashes = binary.BigEndian.AppendUint64(p.Hashes, longestFirst[p.Blocks-blocks])
	}
	return p
}

// unpack returns as many hashes as the prompt has prefixes. A prefix that was not sent is
// replaced by the next longer one that was, so that the share of a prompt that an engine
// has cached is never overestimated.
func (p prefixes) unpack() []uint64 {
	kept := sentBlocks(p.Blocks)
	if p.Blocks < 0 || p.Blocks > maxBlocks || len(p.Hashes) != len(kept)*hashLength {
		return nil
	}
	out := make([]uint64, p.Blocks)
	next := 0
	for i, blocks := range kept {
		shorter := 0
		if i+1 < len(kept) {
			shorter = kept[i+1]
		}
		hash := binary.BigEndian.Uint64(p.Hashes[i*hashLength:])
		for range blocks - shorter {
			out[next] = hash
			next++
		}
	}
	return out
}

// grantMessage is the encoded form of a grant. Shares are in thousandths, times in
// milliseconds.
type grantMessage struct {
	wire.Array
	ID         string
	Upstream   string
	Address    string
	Priority   int
	Waited     int64
	Expected   int64
	Floor      bool
	Candidates int
	Score      int
	Prefix     int
	InFlight   int
	Slots      int
}

const perMille = 1000

func toPerMille(share float64) int { return int(math.Round(share * perMille)) }

func packGrant(g sched.Grant) grantMessage {
	x := g.Explain
	return grantMessage{
		ID: g.ID, Upstream: g.Upstream, Address: g.Address, Priority: g.Priority,
		Waited: x.Waited.Milliseconds(), Expected: x.ExpectedWait.Milliseconds(), Floor: x.BelowFloor, Candidates: x.Candidates,
		Score: toPerMille(x.Score), Prefix: toPerMille(x.CachedPrefix), InFlight: x.InFlight, Slots: x.Slots,
	}
}

func (m grantMessage) unpack(to string) sched.Grant {
	return sched.Grant{
		ID: m.ID, Instance: to, Upstream: m.Upstream, Address: m.Address, Priority: m.Priority,
		Explain: sched.Explanation{
			Waited: millis(m.Waited), ExpectedWait: millis(m.Expected), BelowFloor: m.Floor, Candidates: m.Candidates,
			Score: float64(m.Score) / perMille, CachedPrefix: float64(m.Prefix) / perMille, InFlight: m.InFlight, Slots: m.Slots,
		},
	}
}
