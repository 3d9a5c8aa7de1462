package http1

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// ErrBodyTooLarge is returned when a body is longer than allowed.
var ErrBodyTooLarge = fault.New(fault.TooLarge, "the body of the message is longer than allowed")

// maxChunkLine bounds the line before a chunk, and maxTrailer all trailer lines.
const (
	maxChunkLine = 256
	maxTrailer   = 4096
)

// Body reads the body of one message. Read returns io.EOF only once the body came
// whole; a connection that ends earlier is io.ErrUnexpectedEOF.
type Body struct {
	r       *bufio.Reader
	framing Framing
	// left counts what remains of the body, or of the current chunk.
	left int64
	// started says that a chunk was read, whose line end is due.
	started bool
	whole   bool
}

// Reset makes b read the body that follows a head.
func (b *Body) Reset(r *bufio.Reader, h *Head) {
	*b = Body{r: r, framing: h.Framing, left: h.Length, whole: h.Framing == NoBody}
}

// Whole reports whether the body was read to its end.
func (b *Body) Whole() bool { return b.whole }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.whole {
		return 0, io.EOF
	}
	switch b.framing {
	case ByLength:
		return b.readCounted(p)
	case ByChunks:
		return b.readChunked(p)
	default:
		n, err := b.r.Read(p)
		// A reset comes as another error; only an orderly end is the body's end.
		b.whole = errors.Is(err, io.EOF)
		return n, err
	}
}

func (b *Body) readCounted(p []byte) (int, error) {
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left == 0 {
		b.whole = true
		return n, nil
	}
	return n, noEOF(err)
}

func (b *Body) readChunked(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.nextChunk(); err != nil || b.whole {
			if err == nil {
				err = io.EOF
			}
			return 0, err
		}
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, noEOF(err)
}

func (b *Body) nextChunk() error {
	if b.started {
		if err := b.expectLineEnd(); err != nil {
			return err
		}
	}
	b.started = true
	line, err := b.line(maxChunkLine)
	if err != nil {
		return err
	}
	size, ok := parseChunkSize(line)
	if !ok {
		return malformed("size of a chunk")
	}
	if size > 0 {
		b.left = size
		return nil
	}
	return b.trailer()
}

func (b *Body) trailer() error {
	for total := 0; total < maxTrailer; {
		line, err := b.line(maxTrailer)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.whole = true
			return nil
		}
		total += len(line)
	}
	return malformed("trailer")
}

func (b *Body) expectLineEnd() error {
	line, err := b.line(maxChunkLine)
	if err == nil && len(line) > 0 {
		err = malformed("end of a chunk")
	}
	return err
}

func (b *Body) line(limit int) ([]byte, error) {
	line, err := b.r.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, malformed("line of a chunk")
		}
		return nil, noEOF(err)
	}
	if len(line) < 2 || len(line) > limit || line[len(line)-2] != '\r' {
		return nil, malformed("line of a chunk")
	}
	return line[:len(line)-2], nil
}

// maxChunkDigits keeps the size of a chunk below 2^60.
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
			// Extensions of a chunk say nothing about its size.
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

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAll reads the whole body into buf, which it returns grown. It fails with
// ErrBodyTooLarge beyond limit bytes.
func (b *Body) ReadAll(buf []byte, limit int64) ([]byte, error) {
	if b.framing == ByLength {
		if b.left > limit {
			return buf, ErrBodyTooLarge
		}
		need := len(buf) + int(b.left)
		if cap(buf) < need {
			buf = append(make([]byte, 0, need), buf...)
		}
	}
	for !b.whole {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := b.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf, ErrBodyTooLarge
		}
		if err != nil && !b.whole {
			return buf, err
		}
	}
	return buf, nil
}
