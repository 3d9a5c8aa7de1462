package schedule

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyladder/comfreyladder/core/sched"
	"github.com/comfreyladder/comfreyladder/core/wire"
)

// shortLength is the length of a ticket's ID between instances.
const shortLength = 8

// shortID stands for a ticket's ID: IDs made of an instance's name and a random
// part take 45 bytes, and each message about the ticket carries it. IDs differ
// also between starts of an instance; 64 bits of their hash are enough to tell
// the few thousand tickets of a domain apart.
func shortID(id string) string {
	if len(id) <= shortLength {
		return id
	}
	var b [shortLength]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(id))
	return string(b[:])
}

// ticketMessage is a ticket on its way. Clocks of instances differ, so that
// times travel as durations, in milliseconds.
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
	// Left is the time to the deadline; 0 means that there is none.
	Left     int64
	Excluded []string
}

func packTicket(t sched.Ticket, now time.Time) ticketMessage {
	m := ticketMessage{
		ID: t.ID, Organisation: t.Organisation, Class: t.Class, Model: t.Model, PromptTokens: t.PromptTokens, MaxTokens: t.MaxTokens,
		Prefixes: packPrefixes(t.PrefixHashes), Age: now.Sub(t.Arrived).Milliseconds(), Excluded: t.Excluded,
	}
	if !t.Deadline.IsZero() {
		m.Left = max(t.Deadline.Sub(now).Milliseconds(), 1)
	}
	return m
}

func (m ticketMessage) unpack(now time.Time, from string) sched.Ticket {
	t := sched.Ticket{
		ID: m.ID, Instance: from, Organisation: m.Organisation, Class: m.Class, Model: m.Model, PromptTokens: m.PromptTokens,
		MaxTokens: m.MaxTokens, PrefixHashes: m.Prefixes.unpack(), Arrived: now.Add(-millis(m.Age)), Excluded: m.Excluded,
	}
	if m.Left > 0 {
		t.Deadline = now.Add(millis(m.Left))
	}
	return t
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	hashLength = 8
	// maxPrefixes is how many prefixes of a prompt travel with its ticket. All
	// of a long prompt's, up to 64, took more than half a kilobyte.
	maxPrefixes = 6
	// maxBlocks bounds what a garbled message can make the receiver allocate.
	maxBlocks = 1024
)

// prefixes are some of a prompt's prefixes: the whole, and those that end after
// as many blocks as a power of two or one and a half times that. Prompts of
// unlike length that share a beginning so name the same ones of it.
type prefixes struct {
	wire.Array
	// Blocks is how many prefixes the prompt has.
	Blocks int
	// Hashes are those that travel, the longest first, eight bytes each.
	Hashes []byte
}

// keptBlocks returns which prefixes of a prompt travel, by their length in
// blocks, the longest first.
func keptBlocks(blocks int) []int {
	if blocks <= 0 {
		return nil
	}
	kept := []int{blocks}
	for step := floorStep(blocks - 1); step > 0 && len(kept) < maxPrefixes; step = floorStep(step - 1) {
		kept = append(kept, step)
	}
	return kept
}

// floorStep returns the greatest of 1, 2, 3, 4, 6, 8, 12, 16 and so on that is
// not above n; 0 when there is none.
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
	for _, blocks := range keptBlocks(p.Blocks) {
		p.Hashes = binary.BigEndian.AppendUint64(p.Hashes, longestFirst[p.Blocks-blocks])
	}
	return p
}

// unpack returns as many prefixes as the prompt has. In the place of one that did
// not travel stands the next longer one that did, so that the share of a prompt
// that an engine holds is never made out to be larger than it is.
func (p prefixes) unpack() []uint64 {
	kept := keptBlocks(p.Blocks)
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

// grantMessage is a grant on its way; shares travel in thousandths and times in
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

const mille = 1000

func inMille(share float64) int { return int(math.Round(share * mille)) }

func packGrant(g sched.Grant) grantMessage {
	x := g.Explain
	return grantMessage{
		ID: g.ID, Upstream: g.Upstream, Address: g.Address, Priority: g.Priority,
		Waited: x.Waited.Milliseconds(), Expected: x.ExpectedWait.Milliseconds(), Floor: x.BelowFloor, Candidates: x.Candidates,
		Score: inMille(x.Score), Prefix: inMille(x.CachedPrefix), InFlight: x.InFlight, Slots: x.Slots,
	}
}

func (m grantMessage) unpack(to string) sched.Grant {
	return sched.Grant{
		ID: m.ID, Instance: to, Upstream: m.Upstream, Address: m.Address, Priority: m.Priority,
		Explain: sched.Explanation{
			Waited: millis(m.Waited), ExpectedWait: millis(m.Expected), BelowFloor: m.Floor, Candidates: m.Candidates,
			Score: float64(m.Score) / mille, CachedPrefix: float64(m.Prefix) / mille, InFlight: m.InFlight, Slots: m.Slots,
		},
	}
}
