package quarantine_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/quarantine"
)

// Guards against equal fingerprints of different requests, and different ones of equal requests.
func TestFingerprintTellsContentsApart(t *testing.T) {
	g := NewWithT(t)
	f := quarantine.FingerprintOf("h.example", "/a/x", "o", []byte("body"))
	g.Expect(quarantine.FingerprintOf("H.Example", "/a/x", "o", []byte("body"))).To(Equal(f))
	for name, other := range map[string]quarantine.Fingerprint{
		"host":         quarantine.FingerprintOf("i.example", "/a/x", "o", []byte("body")),
		"target":       quarantine.FingerprintOf("h.example", "/a/x?q", "o", []byte("body")),
		"organisation": quarantine.FingerprintOf("h.example", "/a/x", "p", []byte("body")),
		"body":         quarantine.FingerprintOf("h.example", "/a/x", "o", []byte("bodz")),
		"boundary":     quarantine.FingerprintOf("h.example", "/a/", "xo", []byte("body")),
	} {
		g.Expect(other).NotTo(Equal(f), name)
	}
}

func TestFingerprintIsReadAsItIsWritten(t *testing.T) {
	g := NewWithT(t)
	f := quarantine.FingerprintOf("h", "/", "", nil)
	read, err := quarantine.ParseFingerprint(f.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(f))
	for _, text := range []string{"", "0", f.String()[1:], f.String() + "00", strings.Repeat("x", 32)} {
		_, err := quarantine.ParseFingerprint(text)
		g.Expect(fault.CodeOf(err)).To(Equal(fault.Invalid), text)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for name, size := range map[string]int{"1 KiB": 1 << 10, "64 KiB": 64 << 10} {
		body := make([]byte, size)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				_ = quarantine.FingerprintOf("h.example", "/lohu930/2f", "hule930", body)
			}
		})
	}
}
