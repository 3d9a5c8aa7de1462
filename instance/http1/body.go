package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// ErrBodyTooLarge is returned for a body that exceeds the limit.
var ErrBodyTooLarge = fault.New(fault.TooLarge, "the message body exceeds the limit")

// maxChunkLine limits the size line of a chunk in bytes, and maxTrailer all trailer lines. maxOverhead
// limits the bytes of all size lines beyond what chunks need: lineOverhead bytes for each chunk and
// as many bytes as it holds. Otherwise extensions could fill hundreds of bytes for each byte of the body.
const (
	maxChunkLine = 256
	maxTrailer   = 4096
	maxOverhead  = 16 << 10
	lineOverhead = 16
)

// Wait is what a Body waits for.
type Wait uint8

const (
	// ForData means the next bytes of the body, or of a chunk's size line that has not begun.
	ForData Wait = iota
	// ForFraming means the rest of a chunk's size line, or of the line end before it.
	ForFraming
	// ForTrailers means the trailers of a body whose last chunk has arrived.
	ForTrailers
)

// Body reads the body of one message. Read returns io.EOF only after the complete body; it fails
// with io.ErrUnexpectedEOF if the connection ends before. A body that has failed stays so.
type Body struct {
	r       *bufio.Reader
	framing Framing
	// remaining counts the unread bytes of the body, or of the current chunk.
	remaining int64
	// started is set once a chunk was read, whose line end precedes the next chunk.
	started  bool
	complete bool
	// overhead counts the bytes of size lines beyond what chunks need.
	overhead int64
	// waiting is what the body waits for, of which onWait is told if it is set.
	waiting Wait
	onWait  func(Wait)
	tainted bool
	// failed is the error that ended the body, also if it was met while reading ahead. A connection tells
	// some errors only once, and the end of its input after them.
	failed error
}

// Reset makes b read the body that follows h.
func (b *Body) Reset(r *bufio.Reader, h *Head) {
	*b = Body{r: r, framing: h.Framing, remaining: h.Length, complete: h.Framing == NoBody}
}

// OnWait makes the body call f when what it waits for changes, so that the caller can limit the time
// for bytes that are no part of the body. The body is then complete with its last chunk: if the
// trailers are cut off, invalid or too long, it is tainted. It is meant for responses; in a request
// an invalid trailer could hide another request.
func (b *Body) OnWait(f func(Wait)) { b.onWait = f }

// Waiting returns what the body waits for.
func (b *Body) Waiting() Wait { return b.waiting }

// Tainted reports whether the trailers of a complete body did not end. The connection must not be
// used again.
func (b *Body) Tainted() bool { return b.tainted }

func (b *Body) wait(w Wait) {
	if b.onWait != nil && w != b.waiting {
		b.waiting = w
		b.onWait(w)
	}
}

// Announced returns how many more bytes the current chunk, or the message's length, announces.
func (b *Body) Announced() int64 { return b.remaining }

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	switch {
	case b.complete:
		return 0, io.EOF
	case b.failed != nil:
		return 0, b.failed
	}
	n, err := b.read(p)
	if err != nil && !b.complete {
		b.failed = err
	}
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
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
	if n > 0 {
		b.wait(ForData)
	}
	// Chunks of a few bytes are read together as far as they have arrived: one Read for each would
	// cost a hundred times more.
	for err == nil && n < len(p) && b.remaining == 0 && b.chunkBuffered() {
		if b.failed = b.readChunkSize(); b.failed != nil {
			break
		}
		var more int
		more, err = b.r.Read(p[n:min(int64(len(p)), int64(n)+b.remaining)])
		n, b.remaining = n+more, b.remaining-int64(more)
	}
	return n, eofToUnexpected(err)
}

// chunkBuffered reports whether the end of a chunk and the beginning of the next one, which is not the
// last one, are in the read buffer.
func (b *Body) chunkBuffered() bool {
	buffered, _ := b.r.Peek(b.r.Buffered())
	next, ok := bytes.CutPrefix(buffered, []byte("\r\n"))
	if !ok || len(next) == 0 || next[0] == '0' {
		return false
	}
	i := bytes.IndexByte(next, '\n')
	return i >= 0 && i+1 < len(next)
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
		b.overhead = max(0, b.overhead+int64(len(line))-lineOverhead-size)
		if b.overhead > maxOverhead {
			return malformed("too many bytes between chunks")
		}
		return nil
	}
	err = b.readTrailer()
	if err != nil && b.onWait != nil {
		b.complete, b.tainted = true, true
		return nil
	}
	return err
}

func (b *Body) readTrailer() error {
	if !b.lineBuffered([]byte("\r\n")) {
		b.wait(ForTrailers)
	}
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
	if err := b.awaitLine(); err != nil {
		return nil, err
	}
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

// awaitLine waits for the first byte of a line, and tells if the rest of it has not arrived.
func (b *Body) awaitLine() error {
	if b.onWait == nil || b.waiting != ForData {
		return nil
	}
	if _, err := b.r.Peek(1); err != nil {
		return eofToUnexpected(err)
	}
	buffered, _ := b.r.Peek(b.r.Buffered())
	if bytes.IndexByte(buffered, '\n') < 0 {
		b.wait(ForFraming)
	}
	return nil
}

// lineBuffered reports whether the read buffer begins with the given line.
func (b *Body) lineBuffered(line []byte) bool {
	buffered, _ := b.r.Peek(b.r.Buffered())
	return bytes.HasPrefix(buffered, line)
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
// result exceeds limit bytes; reading may go on with a larger limit.
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
		if err != nil && !b.complete {
			return buf, err
		}
		if int64(len(buf)) > limit {
			return buf, ErrBodyTooLarge
		}
	}
	return buf, nil
}
