package relay

import (
	"strconv"

	"github.com/comfreyladder/comfreyladder/instance/http1"
)

// appendAnswerHead appends the status and header fields of an upstream's response, without the
// hop-by-hop fields and without the terminating empty line.
func appendAnswerHead(b []byte, a *attempt, closing bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.head.Status), 10)
	b = append(append(append(b, ' '), a.head.Reason...), "\r\n"...)
	var listed []byte
	if a.head.Has("Connection") {
		listed = a.head.Get("Connection")
	}
	for i := range a.head.Fields {
		f := &a.head.Fields[i]
		if isHopByHop(f) || len(listed) > 0 && isListed(listed, f.Name) && !isRequiredField(a, f) {
			continue
		}
		b = appendField(b, f.Name, f.Value)
	}
	if closing {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}

// isRequiredField reports whether callers need a field even if it is listed in Connection.
func isRequiredField(a *attempt, f *http1.Field) bool {
	h := &a.s.cfg.Headers
	return f.Is(h.Seal) || f.Is(h.RequestID)
}

func appendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

var (
	chunkEnd  = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// writeChunk writes before, then data as one chunk unless it is empty, then after.
func (c *conn) writeChunk(before, data, after []byte) error {
	if len(data) == 0 {
		return c.writeLong(before, nil, after)
	}
	before = strconv.AppendInt(before, int64(len(data)), 16)
	before = append(before, "\r\n"...)
	if len(after) == 0 {
		return c.writeLong(before, data, chunkEnd)
	}
	return c.writeLong(before, data, append(chunkEnd[:len(chunkEnd):len(chunkEnd)], after...))
}

// writeLong writes before, data and after. Only data of the size of a read buffer is copied: a
// long response must not be held twice while its caller reads slowly.
func (c *conn) writeLong(before, data, after []byte) error {
	n := min(len(data), ioBufferSize)
	b := append(before, data[:n]...)
	if n == len(data) {
		b = append(b, after...)
		c.out = b[:0]
		return c.write(b)
	}
	c.out = b[:0]
	if err := c.write(b); err != nil {
		return err
	}
	if err := c.write(data[n:]); err != nil {
		return err
	}
	return c.write(after)
}
