// Package quarantine finds the requests that crash every upstream that runs them, based on
// which requests were in flight at which crash. It does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Fingerprint identifies a request by its content. Requests with the same content, host, target
// and organisation have the same fingerprint at every instance.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request for a host and target by an organisation,
// which is empty for an anonymous caller. The case of the host is ignored.
func FingerprintOf(host, target, organisation string, body []byte) (f Fingerprint) {
	var room [512]byte
	head := room[:0]
	for _, part := range [...]string{strings.ToLower(host), target, organisation} {
		// The length prefix makes the boundaries between the parts unambiguous.
		head = binary.BigEndian.AppendUint64(head, uint64(len(part)))
		head = append(head, part...)
	}
	h := sha256.New()
	_, _ = h.Write(head)
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	copy(f[:], h.Sum(sum[:0]))
	return f
}

// FingerprintOfPart returns the fingerprint of a part of prompts for the upstreams of a service or model.
// id is the part's ID or its text. Equal parts have the same fingerprint at every instance, whoever sends
// them. It differs from those of requests.
func FingerprintOfPart(service string, id []byte) (f Fingerprint) {
	const kind = "part of a prompt"
	var room [256]byte
	b := append(room[:0], kind...)
	b = binary.BigEndian.AppendUint64(b, uint64(len(service)))
	b = append(b, service...)
	h := sha256.New()
	_, _ = h.Write(b)
	_, _ = h.Write(id)
	var sum [sha256.Size]byte
	copy(f[:], h.Sum(sum[:0]))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String. It fails with fault.Invalid.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, fault.New(fault.Invalid, "fingerprint: %.64q is not %d hexadecimal digits", text, 2*len(f))
	}
	copy(f[:], b)
	return f, nil
}
