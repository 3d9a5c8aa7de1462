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

const lastChunk = "0\r\n\r\n"

func appendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(append(b, "\r\n"...), data...)
	return append(b, "\r\n"...)
}
