// Package sse finds the ends of server-sent events in a stream that arrives in pieces, and bounds
// their size.
package sse

import (
	"bytes"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// DefaultMaxEvent is the default limit of one event in bytes. The largest event that an engine sends
// holds a whole answer: 131,072 tokens of 4 bytes of text, each of which JSON escapes as two, are
// 1 MiB.
const DefaultMaxEvent = 2 << 20

// maxIdle bounds the comments and empty lines between two events, in bytes. A comment of 20 bytes each
// second, which keeps a connection open, reaches it after 27 minutes. Each is forwarded on its own, so
// that they cost more than the bytes of an event.
const maxIdle = 32 << 10

// Scanner finds the ends of events. Each byte is looked at once, whatever the size of the pieces.
type Scanner struct {
	limit int
	// size counts the bytes since the end of the last event: its fields, and the comments and empty
	// lines before it, which are idle.
	size, idle int
	// block counts the bytes since the last empty line, line those of the unfinished line, which
	// begins with first.
	block, line int
	first       byte
	// fields is set if the block has a line that is no comment.
	fields bool
	blocks int
}

// NewScanner returns a scanner for events of at most limit bytes.
func NewScanner(limit int) Scanner { return Scanner{limit: limit} }

// Scan takes the next piece of the stream and returns the offset in it after the last end of an event or
// a comment, or zero. It fails with fault.TooLarge if an event, with the comments and empty lines before
// it, exceeds the limit, or those exceed theirs; the offset is valid also then.
func (s *Scanner) Scan(piece []byte) (end int, err error) {
	for at := 0; at < len(piece); {
		n := bytes.IndexByte(piece[at:], '\n')
		ends := n >= 0
		if !ends {
			n = len(piece) - at
		}
		if s.line == 0 && n > 0 {
			s.first = piece[at]
		}
		s.line += n
		if ends {
			n++
		}
		s.size, s.block, at = s.size+n, s.block+n, at+n
		if s.size > s.limit || s.idle > maxIdle {
			return end, fault.New(fault.TooLarge, "%d bytes of an event without its end, the limits are %d and %d between events", s.size, s.limit, maxIdle)
		}
		if ends && s.endLine() {
			end = at
		}
	}
	return end, nil
}

// endLine ends a line and reports whether an event or a comment ended with it.
func (s *Scanner) endLine() bool {
	empty := s.line == 0 || s.line == 1 && s.first == '\r'
	s.line = 0
	if !empty {
		s.fields = s.fields || s.first != ':'
		return false
	}
	ended := s.block > len("\r\n")
	if ended {
		s.blocks++
	}
	s.idle += s.block
	if s.fields {
		s.size, s.idle = 0, 0
	}
	s.block, s.fields = 0, false
	return ended
}

// Size returns how many bytes have arrived since the end of the last event.
func (s *Scanner) Size() int { return s.size }

// Unfinished returns how many bytes have arrived of an event, or of a comment, that has not ended.
func (s *Scanner) Unfinished() int { return s.block }

// Blocks returns how many events and comments have ended. Empty lines between them do not count.
func (s *Scanner) Blocks() int { return s.blocks }

// First returns the size of the first event in b, with the empty line at its end.
func First(b []byte) int {
	for at := 0; at < len(b); {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			break
		}
		empty := n == 0 || n == 1 && b[at] == '\r'
		if at += n + 1; empty {
			return at
		}
	}
	return len(b)
}
