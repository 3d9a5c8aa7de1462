// Package http1 reads and writes HTTP/1.1 messages for a forwarder: heads are
// parsed strictly and kept byte for byte, and bodies are read so that it is known
// whether one came whole. A forwarder that is lenient where the next hop is not
// lets one message be smuggled inside another, so what is ambiguous is refused.
package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Field is one header field as it was sent.
type Field struct{ Name, Value []byte }

// Is reports whether the field has the given name; case does not count.
func (f *Field) Is(name string) bool { return equalFold(f.Name, name) }

// Framing says where a body ends.
type Framing uint8

// The framings of a body.
const (
	// NoBody means that the message ends with its head.
	NoBody Framing = iota
	// ByLength means that Content-Length counts the body.
	ByLength
	// ByChunks means the chunked transfer coding.
	ByChunks
	// ByClose means that the body ends with the connection (answers only).
	ByClose
)

// Head is the part of a message before its body. Its slices belong to the head's
// own buffer and stay valid until the next Read into it.
type Head struct {
	// Method and Target are set for requests, Status and Reason for answers.
	Method, Target []byte
	Status         int
	Reason         []byte
	// Minor is the minor version of HTTP/1.
	Minor  int
	Fields []Field
	// Framing and Length say how the body is framed.
	Framing Framing
	Length  int64
	// Close says that the connection ends after this message.
	Close bool

	raw []byte
}

// Get returns the first value of a field, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if h.Fields[i].Is(name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// Has reports whether there is a field of that name.
func (h *Head) Has(name string) bool { return h.Count(name) > 0 }

// Count returns how many fields have the name.
func (h *Head) Count(name string) int {
	n := 0
	for i := range h.Fields {
		if h.Fields[i].Is(name) {
			n++
		}
	}
	return n
}

// ErrHeadTooLarge is returned when a head is longer than allowed.
var ErrHeadTooLarge = fault.New(fault.TooLarge, "the head of the message is longer than allowed")

func malformed(what string) error { return fault.New(fault.Invalid, "malformed message: %s", what) }

// readRaw reads up to and including the empty line that ends a head. It returns
// io.EOF only when the connection ended before the first byte.
func (h *Head) readRaw(r *bufio.Reader, limit int) error {
	h.raw = h.raw[:0]
	for {
		line, err := r.ReadSlice('\n')
		h.raw = append(h.raw, line...)
		if len(h.raw) > limit {
			return ErrHeadTooLarge
		}
		if err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(h.raw) > 0 {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if len(line) == 2 && line[0] == '\r' && len(h.raw) > 2 {
			return nil
		}
		if len(h.raw) == 2 && h.raw[0] == '\r' {
			// An empty line before a request line is allowed, and skipped.
			h.raw = h.raw[:0]
		}
	}
}

// ReadRequest reads the head of a request of at most limit bytes. It fails with
// io.EOF when the connection ended between messages, with ErrHeadTooLarge, or
// with fault.Invalid.
func (h *Head) ReadRequest(r *bufio.Reader, limit int) error {
	if err := h.readRaw(r, limit); err != nil {
		return err
	}
	rest, err := h.requestLine()
	if err != nil {
		return err
	}
	if err := h.fields(rest); err != nil {
		return err
	}
	if h.Count("Host") != 1 {
		return malformed("exactly one Host is needed")
	}
	return h.frameRequest()
}

func (h *Head) requestLine() ([]byte, error) {
	line, rest, ok := cutLine(h.raw)
	if !ok {
		return nil, malformed("request line")
	}
	a := bytes.IndexByte(line, ' ')
	b := bytes.LastIndexByte(line, ' ')
	if a <= 0 || b <= a+1 {
		return nil, malformed("request line")
	}
	h.Method, h.Target = line[:a], line[a+1:b]
	if !isToken(h.Method) || h.Target[0] != '/' || !isVisible(h.Target) {
		return nil, malformed("method or target")
	}
	return rest, h.version(line[b+1:])
}

func (h *Head) version(v []byte) error {
	switch string(v) {
	case "HTTP/1.1":
		h.Minor = 1
	case "HTTP/1.0":
		h.Minor = 0
	default:
		return malformed("version")
	}
	return nil
}

// ReadAnswer reads the head of an answer to a request with the given method.
func (h *Head) ReadAnswer(r *bufio.Reader, limit int, method string) error {
	if err := h.readRaw(r, limit); err != nil {
		return err
	}
	line, rest, ok := cutLine(h.raw)
	if !ok || len(line) < len("HTTP/1.1 200") || line[8] != ' ' {
		return malformed("status line")
	}
	if err := h.version(line[:8]); err != nil {
		return err
	}
	h.Status = 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return malformed("status")
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	h.Reason = bytes.TrimSpace(line[12:])
	if err := h.fields(rest); err != nil {
		return err
	}
	return h.frameAnswer(method)
}

func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, false
	}
	return b[:i-1], b[i+1:], true
}

func (h *Head) fields(rest []byte) error {
	h.Fields = h.Fields[:0]
	for {
		line, next, ok := cutLine(rest)
		if !ok {
			return malformed("a line does not end in CR LF")
		}
		if len(line) == 0 {
			return nil
		}
		i := bytes.IndexByte(line, ':')
		if i <= 0 || !isToken(line[:i]) {
			return malformed("name of a header field")
		}
		value := bytes.Trim(line[i+1:], " \t")
		if !isFieldValue(value) {
			return malformed("value of a header field")
		}
		h.Fields = append(h.Fields, Field{Name: line[:i], Value: value})
		rest = next
	}
}

func (h *Head) frameRequest() error {
	if err := h.frame(); err != nil {
		return err
	}
	if h.Framing == ByClose {
		h.Framing = NoBody
	}
	return nil
}

func (h *Head) frameAnswer(method string) error {
	if err := h.frame(); err != nil {
		return err
	}
	if method == "HEAD" || h.Status/100 == 1 || h.Status == 204 || h.Status == 304 {
		h.Framing, h.Length = NoBody, 0
	}
	if h.Framing == ByClose {
		h.Close = true
	}
	return nil
}

// frame sets Framing, Length and Close from the fields. A message with both a
// length and a transfer coding, or with two lengths, is refused: another reader
// might see its end elsewhere.
func (h *Head) frame() error {
	h.Framing, h.Length = ByClose, 0
	h.Close = h.Minor == 0
	coded := false
	for i := range h.Fields {
		f := &h.Fields[i]
		switch {
		case f.Is("Content-Length"):
			n, ok := parseLength(f.Value)
			if !ok || h.Framing != ByClose {
				return malformed("Content-Length")
			}
			h.Framing, h.Length = ByLength, n
		case f.Is("Transfer-Encoding"):
			if coded || !equalFold(f.Value, "chunked") || h.Minor == 0 {
				return malformed("Transfer-Encoding")
			}
			coded = true
		case f.Is("Connection"):
			h.connection(f.Value)
		}
	}
	if coded {
		if h.Framing == ByLength {
			return malformed("Content-Length beside Transfer-Encoding")
		}
		h.Framing = ByChunks
	}
	if h.Framing == ByLength && h.Length == 0 {
		h.Framing = NoBody
	}
	return nil
}

// connection sets Close as a Connection field says.
func (h *Head) connection(options []byte) {
	switch {
	case hasListed(options, "close"):
		h.Close = true
	case h.Minor == 0 && hasListed(options, "keep-alive"):
		h.Close = false
	}
}

const maxLengthDigits = 15

func parseLength(b []byte) (int64, bool) {
	if len(b) == 0 || len(b) > maxLengthDigits {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// ParseUint reads a decimal number of at most fifteen digits.
func ParseUint(b []byte) (int64, bool) { return parseLength(b) }

// hasListed reports whether a comma-separated list has the token.
func hasListed(list []byte, token string) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte{','})
		if equalFold(bytes.TrimSpace(item), token) {
			return true
		}
	}
	return false
}

// EqualFold reports whether b and s are equal but for the case of ASCII letters.
func EqualFold(b []byte, s string) bool { return equalFold(b, s) }

func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		if lower(b[i]) != lower(s[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + ('a' - 'A')
	}
	return c
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

var tokenChars = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-('a'-'A')] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
