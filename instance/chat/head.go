package chat

import "bytes"

// Head is what the router must know of each chunk of a stream that it passes on.
type Head struct {
	// ID is the chunk's ID as it stands in the text.
	ID []byte
	// Failed says that the event reports a failure in place of a chunk.
	Failed bool
	// Tokens estimates how many tokens the chunk carries: engines send one each.
	Tokens int
	// UsageOnly says that it carries nothing but the token counts.
	UsageOnly bool
}

// ScanHead reads the head of a chunk without decoding it, which costs a fraction
// of ParseChunk at each token. False means that the text isn't plain enough to
// be sure, such as an ID with escapes; ParseChunk decides then.
func ScanHead(data []byte) (Head, bool) {
	var h Head
	usage, choices := false, false
	rest, ok := opened(data, '{')
	for ok {
		var key, value []byte
		if key, rest, ok = plainString(rest); !ok {
			break
		}
		if rest, ok = opened(rest, ':'); !ok {
			break
		}
		if value, rest, ok = anyValue(rest); !ok {
			break
		}
		switch string(key) {
		case "id":
			if h.ID, _, ok = plainString(value); !ok {
				return h, false
			}
		case "error":
			h.Failed = string(value) != "null"
		case "usage":
			usage = string(value) != "null"
		case "choices":
			choices = string(value) != "[]" && string(value) != "null"
			h.Tokens = carried(value)
		}
		next := trim(rest)
		if len(next) > 0 && next[0] == '}' {
			h.UsageOnly = usage && !choices
			return h, len(trim(next[1:])) == 0
		}
		rest, ok = opened(rest, ',')
	}
	return h, false
}

// texts are the fields of a delta that carry tokens.
var texts = [][]byte{[]byte(`"content":`), []byte(`"refusal":`), []byte(`"tool_calls":`)}

func carried(choices []byte) int {
	for _, name := range texts {
		i := bytes.Index(choices, name)
		if i < 0 {
			continue
		}
		value := trim(choices[i+len(name):])
		switch {
		case len(value) < 2:
		case value[0] == '"' && value[1] != '"', value[0] == '[' && value[1] != ']':
			return 1
		}
	}
	return 0
}

func trim(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t' || b[0] == '\n' || b[0] == '\r') {
		b = b[1:]
	}
	return b
}

// opened skips blanks and the given mark.
func opened(b []byte, mark byte) ([]byte, bool) {
	b = trim(b)
	if len(b) == 0 || b[0] != mark {
		return b, false
	}
	return b[1:], true
}

// plainString reads a string without escapes.
func plainString(b []byte) (text, rest []byte, ok bool) {
	if b, ok = opened(b, '"'); !ok {
		return nil, nil, false
	}
	end := bytes.IndexByte(b, '"')
	if end < 0 || bytes.IndexByte(b[:end], '\\') >= 0 {
		return nil, nil, false
	}
	return b[:end], b[end+1:], true
}

// anyValue skips one value: a string, a number or word, or a nest of brackets.
func anyValue(b []byte) (value, rest []byte, ok bool) {
	b = trim(b)
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

// stringEnd returns the place of the quote that ends the string at b[0], or -1.
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

// HeadOf returns the head of a chunk, or a failure with code Corrupt.
func HeadOf(data []byte) (Head, error) {
	if h, ok := ScanHead(data); ok {
		return h, nil
	}
	c, err := ParseChunk(data)
	if err != nil {
		return Head{}, err
	}
	return Head{ID: []byte(c.ID), Failed: bool(c.Failed), Tokens: c.Tokens(), UsageOnly: c.UsageOnly()}, nil
}
