// Package prefix names the prefixes of a prompt, so that routers and engines
// mean the same thing when they speak of what a cache holds.
package prefix

import "github.com/cespare/xxhash/v2"

// MaxPrefixes bounds the prefixes named of one prompt; of a longer conversation
// the first ones are named, which are those that other prompts share.
const MaxPrefixes = 64

// Hashes returns the names of a prompt's prefixes, longest first. A prefix ends
// where a message ends; its name is the xxhash of the contents up to there,
// joined by newlines.
func Hashes(contents []string) []uint64 {
	n := min(len(contents), MaxPrefixes)
	out := make([]uint64, n)
	d := xxhash.New()
	for i, text := range contents[:n] {
		if i > 0 {
			_, _ = d.WriteString("\n")
		}
		_, _ = d.WriteString(text)
		out[n-1-i] = d.Sum64()
	}
	return out
}
