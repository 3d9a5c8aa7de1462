// Package quarantine finds the requests that crash each upstream that runs them, from which
// requests were under way at which crash. It does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// Fingerprint identifies a request by its content: whoever sends the same content to the same
// place for the same organisation has the same fingerprint, at any instance.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request for a host and target by an organisation,
// which is empty for an anonymous caller. The case of the host does not count.
func FingerprintOf(host, target, organisation string, body []byte) (f Fingerprint) {
	h := sha256.New()
	for _, part := range []string{strings.ToLower(host), target, organisation} {
		// The lengths keep what ends one part from counting as the start of the next.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returns. It fails with fault.Invalid.
func ParseFingerprint(text string) (f Fingerprint, err error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, fault.New(fault.Invalid, "fingerprint: %.64q is not %d hexadecimal digits", text, 2*len(f))
	}
	copy(f[:], b)
	return f, nil
}
