// Package prefix computes the hashes that identify the prefixes of a prompt, so that routers and
// engines refer to cached prefixes in the same way.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the length of one block of prompt text. A prefix is a whole number of blocks;
	// 512 bytes are about 128 tokens of English text.
	BlockBytes = 512
	// MaxBlocks bounds the number of prefixes hashed per prompt.
	MaxBlocks = 64
)

// Hashes returns the hashes of all block-aligned prefixes of the prompt text, longest first. Each is
// the xxhash of the text up to the end of its block.
func Hashes(text []byte) []uint64 {
	n := min(len(text)/BlockBytes, MaxBlocks)
	out := make([]uint64, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		out[n-1-i] = d.Sum64()
	}
	return out
}
