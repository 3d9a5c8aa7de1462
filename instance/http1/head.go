// Package http1 reads HTTP/1.1 messages for a forwarder. It parses heads strictly and keeps their
// fields byte for byte, and it detects whether a body is complete. Ambiguous messages are
// rejected: a forwarder that is more lenient than the next hop allows one message to be smuggled
// inside another.
package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Field is a header field as it was sent.
type Field struct{ Name, Value []byte }

// Is reports whether the field has the given name, ignoring case.
func (f *Field) Is(name string) bool { return equalFold(f.Name, name) }

// Framing is how the end of a body is determined.
type Framing uint8

// The framings of a body.
const (
	// NoBody means that the message has no body.
	NoBody Framing = iota
	// ByLength means that Content-Length gives the size of the body.
	ByLength
	// ByChunks means the chunked transfer coding.
	ByChunks
	// ByClose means that the body ends when the connection closes (responses only).
	ByClose
)

// Head is the part of a message before its body. Its slices refer to the head's own buffer and are
// valid until the next message is read into it.
type Head struct {
	// Method and Target are set for requests, Status and Reason for responses.
	Method, Target []byte
	Status         int
	Reason         []byte
	// Minor is the minor version of HTTP/1.
	Minor  int
	Fields []Field
	// Framing is the framing of the body, and Length its size if that is ByLength.
	Framing Framing
	Length  int64
	// Close means that the connection closes after this message.
	Close bool

	raw []byte
	// skipped counts the bytes of empty lines before the head.
	skipped int
}

// Size returns the size of the head in bytes, with the empty lines before it.
func (h *Head) Size() int { return len(h.raw) + h.skipped }

// Get returns the value of the first field with the name, or nil.
func (h *Head) Get(name string) []byte {
	for i := range h.Fields {
		if h.Fields[i].Is(name) {
			return h.Fields[i].Value
		}
	}
	return nil
}

// Has reports whether a field has the name.
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

// ErrHeadTooLarge is returned for a head that exceeds the limit.
var ErrHeadTooLarge = fault.New(fault.TooLarge, "the message head exceeds the limit")

func malformed(what string) error { return fault.New(fault.Invalid, "malformed message: %s", what) }

// readRaw reads up to and including the empty line that ends a head. It returns io.EOF only if the
// connection ended before the first byte.
func (h *Head) readRaw(r *bufio.Reader, limit int) error {
	h.raw, h.skipped = h.raw[:0], 0
	for {
		line, err := r.ReadSlice('\n')
		h.raw = append(h.raw, line...)
		if h.Size() > limit {
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
			// An empty line before a request line is permitted and skipped. It counts: a peer may send
			// such lines without end.
			h.raw, h.skipped = h.raw[:0], h.skipped+len(h.raw)
		}
	}
}

// ReadRequest reads the head of a request, of at most limit bytes. It fails with io.EOF if the
// connection ended between messages, with ErrHeadTooLarge, or with fault.Invalid.
func (h *Head) ReadRequest(r *bufio.Reader, limit int) error {
	if err := h.readRaw(r, limit); err != nil {
		return err
	}
	rest, err := h.parseRequestLine()
	if err != nil {
		return err
	}
	if err := h.parseFields(rest); err != nil {
		return err
	}
	if h.Count("Host") != 1 {
		return malformed("exactly one Host field is required")
	}
	return h.parseRequestFraming()
}

func (h *Head) parseRequestLine() ([]byte, error) {
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
	return rest, h.parseVersion(line[b+1:])
}

func (h *Head) parseVersion(v []byte) error {
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

// ReadResponse reads the head of the response to a request with the given method, of at most limit bytes.
// It fails with io.EOF if the connection ended before, with ErrHeadTooLarge, or with fault.Invalid.
func (h *Head) ReadResponse(r *bufio.Reader, limit int, method string) error {
	if err := h.readRaw(r, limit); err != nil {
		return err
	}
	rest, err := h.parseStatusLine()
	if err != nil {
		return err
	}
	if err := h.parseFields(rest); err != nil {
		return err
	}
	return h.parseResponseFraming(method)
}

// maxInterim bounds the interim responses before a final one.
const maxInterim = 4

// ReadFinalResponse is ReadResponse of the first response that is not an interim one. It fails with
// fault.Invalid if there are more than four before it.
func (h *Head) ReadFinalResponse(r *bufio.Reader, limit int, method string) error {
	for range maxInterim + 1 {
		if err := h.ReadResponse(r, limit, method); err != nil || h.Status >= minFinalStatus {
			return err
		}
	}
	return malformed("interim responses without a final one")
}

// minStatus is the lowest status code of a response; see RFC 9110, section 15.
const minStatus = 100

// minFinalStatus is the lowest status code of a response that is not an interim one.
const minFinalStatus = 200

func (h *Head) parseStatusLine() ([]byte, error) {
	line, rest, ok := cutLine(h.raw)
	if !ok || len(line) < len("HTTP/1.1 200") || line[8] != ' ' {
		return nil, malformed("status line")
	}
	if err := h.parseVersion(line[:8]); err != nil {
		return nil, err
	}
	h.Status = 0
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return nil, malformed("status")
		}
		h.Status = h.Status*10 + int(c-'0')
	}
	if h.Status < minStatus {
		return nil, malformed("status")
	}
	reason := line[12:]
	if len(reason) > 0 && reason[0] != ' ' || !isFieldValue(reason) {
		return nil, malformed("reason of the status")
	}
	h.Reason = bytes.TrimSpace(reason)
	return rest, nil
}

func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' {
		return nil, nil, false
	}
	return b[:i-1], b[i+1:], true
}

func (h *Head) parseFields(rest []byte) error {
	h.Fields = h.Fields[:0]
	for {
		line, next, ok := cutLine(rest)
		if !ok {
			return malformed("line does not end in CR LF")
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

func (h *Head) parseRequestFraming() error {
	if err := h.parseFraming(); err != nil {
		return err
	}
	if h.Framing == ByClose {
		h.Framing = NoBody
	}
	return nil
}

func (h *Head) parseResponseFraming(method string) error {
	if err := h.parseFraming(); err != nil {
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

// parseFraming sets Framing, Length and Close from the fields. A message with both a length and a
// transfer coding, or with two lengths, is rejected, because another reader might see its end
// elsewhere.
func (h *Head) parseFraming() error {
	h.Framing, h.Length = ByClose, 0
	h.Close = h.Minor == 0
	chunked := false
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
			if chunked || !equalFold(f.Value, "chunked") || h.Minor == 0 {
				return malformed("Transfer-Encoding")
			}
			chunked = true
		case f.Is("Connection"):
			h.parseConnection(f.Value)
		}
	}
	if chunked {
		if h.Framing == ByLength {
			return malformed("both Content-Length and Transfer-Encoding")
		}
		h.Framing = ByChunks
	}
	if h.Framing == ByLength && h.Length == 0 {
		h.Framing = NoBody
	}
	return nil
}

// parseConnection sets Close from the options of a Connection field.
func (h *Head) parseConnection(options []byte) {
	switch {
	case hasToken(options, "close"):
		h.Close = true
	case h.Minor == 0 && hasToken(options, "keep-alive"):
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

// ParseUint parses a decimal number of at most 15 digits.
func ParseUint(b []byte) (int64, bool) { return parseLength(b) }

// hasToken reports whether a comma-separated list contains the token, ignoring case.
func hasToken(list []byte, token string) bool {
	for len(list) > 0 {
		var item []byte
		item, list, _ = bytes.Cut(list, []byte{','})
		if equalFold(bytes.TrimSpace(item), token) {
			return true
		}
	}
	return false
}

// EqualFold reports whether b and s are equal, ignoring the case of ASCII letters.
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
