package http1

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// ErrBodyTooLarge is returned for a body that exceeds the limit.
var ErrBodyTooLarge = fault.New(fault.TooLarge, "the message body exceeds the limit")

// maxChunkLine limits the size line of a chunk in bytes, and maxTrailer all trailer lines.
const (
	maxChunkLine = 256
	maxTrailer   = 4096
)

// Body reads the body of one message. Read returns io.EOF only after the complete body; it fails
// with io.ErrUnexpectedEOF if the connection ends before.
type Body struct {
	r       *bufio.Reader
	framing Framing
	// remaining counts the unread bytes of the body, or of the current chunk.
	remaining int64
	// started is set once a chunk was read, whose line end precedes the next chunk.
	started  bool
	complete bool
}

// Reset makes b read the body that follows h.
func (b *Body) Reset(r *bufio.Reader, h *Head) {
	*b = Body{r: r, framing: h.Framing, remaining: h.Length, complete: h.Framing == NoBody}
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	switch b.framing {
	case ByLength:
		return b.readFixedLength(p)
	case ByChunks:
		return b.readChunked(p)
	default:
		n, err := b.r.Read(p)
		// A connection reset is another error: only an orderly close ends the body.
		b.complete = errors.Is(err, io.EOF)
		return n, err
	}
}

func (b *Body) readFixedLength(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.complete = true
		return n, nil
	}
	return n, eofToUnexpected(err)
}

func (b *Body) readChunked(p []byte) (int, error) {
	if b.remaining == 0 {
		if err := b.readChunkSize(); err != nil || b.complete {
			if err == nil {
				err = io.EOF
			}
			return 0, err
		}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, eofToUnexpected(err)
}

func (b *Body) readChunkSize() error {
	if b.started {
		if err := b.readChunkEnd(); err != nil {
			return err
		}
	}
	b.started = true
	line, err := b.readLine(maxChunkLine)
	if err != nil {
		return err
	}
	size, ok := parseChunkSize(line)
	if !ok {
		return malformed("chunk size")
	}
	if size > 0 {
		b.remaining = size
		return nil
	}
	return b.readTrailer()
}

func (b *Body) readTrailer() error {
	for total := 0; total < maxTrailer; {
		line, err := b.readLine(maxTrailer)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.complete = true
			return nil
		}
		total += len(line)
	}
	return malformed("trailer")
}

func (b *Body) readChunkEnd() error {
	line, err := b.readLine(maxChunkLine)
	if err == nil && len(line) > 0 {
		err = malformed("chunk end")
	}
	return err
}

func (b *Body) readLine(limit int) ([]byte, error) {
	line, err := b.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, malformed("chunk line")
		}
		return nil, eofToUnexpected(err)
	}
	if len(line) < 2 || len(line) > limit || line[len(line)-2] != '\r' {
		return nil, malformed("chunk line")
	}
	return line[:len(line)-2], nil
}

// maxChunkDigits keeps the chunk size below 2^60.
const maxChunkDigits = 15

func parseChunkSize(line []byte) (int64, bool) {
	n, digits := int64(0), 0
	for _, c := range line {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		case digits > 0 && (c == ';' || c == ' ' || c == '\t'):
			// Chunk extensions are ignored.
			return n, true
		default:
			return 0, false
		}
		n = n<<4 | int64(c)
		if digits++; digits > maxChunkDigits {
			return 0, false
		}
	}
	return n, digits > 0
}

func eofToUnexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAll appends the whole body to buf and returns it. It fails with ErrBodyTooLarge if the
// result exceeds limit bytes.
func (b *Body) ReadAll(buf []byte, limit int64) ([]byte, error) {
	if b.framing == ByLength {
		if b.remaining > limit {
			return buf, ErrBodyTooLarge
		}
		need := len(buf) + int(b.remaining)
		if cap(buf) < need {
			buf = append(make([]byte, 0, need), buf...)
		}
	}
	for !b.complete {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := b.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf, ErrBodyTooLarge
		}
		if err != nil && !b.complete {
			return buf, err
		}
	}
	return buf, nil
}
