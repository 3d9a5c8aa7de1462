package chat

import "bytes"

// ChunkSummary is what the router needs to know of each chunk that it forwards.
type ChunkSummary struct {
	// ID is the chunk's ID, in raw form.
	ID []byte
	// Failed is set if the event reports an error instead of a chunk.
	Failed bool
	// Tokens estimates the number of tokens in the chunk: engines send one per chunk.
	Tokens int
	// UsageOnly is set if the chunk contains only the token counts.
	UsageOnly bool
}

// ScanChunk reads the summary of a chunk without decoding it, at a fraction of the cost of
// ParseChunk for each token. It returns false for text that it cannot interpret with certainty,
// such as an ID with escapes; the caller then has to use ParseChunk.
func ScanChunk(data []byte) (ChunkSummary, bool) {
	var h ChunkSummary
	usage, choices := false, false
	rest, ok := skipDelimiter(data, '{')
	for ok {
		var key, value []byte
		if key, rest, ok = scanPlainString(rest); !ok {
			break
		}
		if rest, ok = skipDelimiter(rest, ':'); !ok {
			break
		}
		if value, rest, ok = scanValue(rest); !ok {
			break
		}
		switch string(key) {
		case "id":
			if h.ID, _, ok = scanPlainString(value); !ok {
				return h, false
			}
		case "error":
			h.Failed = string(value) != "null"
		case "usage":
			usage = string(value) != "null"
		case "choices":
			choices = string(value) != "[]" && string(value) != "null"
			h.Tokens = estimateTokens(value)
		}
		next := trimSpace(rest)
		if len(next) > 0 && next[0] == '}' {
			h.UsageOnly = usage && !choices
			return h, len(trimSpace(next[1:])) == 0
		}
		rest, ok = skipDelimiter(rest, ',')
	}
	return h, false
}

// tokenFields are the fields of a delta that contain tokens.
var tokenFields = [][]byte{[]byte(`"content":`), []byte(`"refusal":`), []byte(`"tool_calls":`)}

func estimateTokens(choices []byte) int {
	for _, name := range tokenFields {
		i := bytes.Index(choices, name)
		if i < 0 {
			continue
		}
		value := trimSpace(choices[i+len(name):])
		switch {
		case len(value) < 2:
		case value[0] == '"' && value[1] != '"', value[0] == '[' && value[1] != ']':
			return 1
		}
	}
	return 0
}

func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t' || b[0] == '\n' || b[0] == '\r') {
		b = b[1:]
	}
	return b
}

// skipDelimiter skips whitespace and the given delimiter.
func skipDelimiter(b []byte, delimiter byte) ([]byte, bool) {
	b = trimSpace(b)
	if len(b) == 0 || b[0] != delimiter {
		return b, false
	}
	return b[1:], true
}

// scanPlainString reads a string without escapes.
func scanPlainString(b []byte) (text, rest []byte, ok bool) {
	if b, ok = skipDelimiter(b, '"'); !ok {
		return nil, nil, false
	}
	end := bytes.IndexByte(b, '"')
	if end < 0 || bytes.IndexByte(b[:end], '\\') >= 0 {
		return nil, nil, false
	}
	return b[:end], b[end+1:], true
}

// scanValue reads one value: a string, a number or literal, an object or an array.
func scanValue(b []byte) (value, rest []byte, ok bool) {
	b = trimSpace(b)
	depth := 0
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '"':
			end := stringEnd(b[i:])
			if end < 0 {
				return nil, nil, false
			}
			i += end
		case '{', '[':
			depth++
		case '}', ']', ',':
			if depth == 0 {
				return bytes.TrimRight(b[:i], " \t\r\n"), b[i:], i > 0
			}
			if b[i] != ',' {
				depth--
			}
		}
	}
	return nil, nil, false
}

// stringEnd returns the index of the quote that ends the string that starts at b[0], or -1.
func stringEnd(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return -1
}

// SummarizeChunk returns the summary of a chunk. It fails with fault.Corrupt.
func SummarizeChunk(data []byte) (ChunkSummary, error) {
	if h, ok := ScanChunk(data); ok {
		return h, nil
	}
	c, err := ParseChunk(data)
	if err != nil {
		return ChunkSummary{}, err
	}
	return ChunkSummary{ID: []byte(c.ID), Failed: bool(c.Failed), Tokens: c.Tokens(), UsageOnly: c.UsageOnly()}, nil
}
