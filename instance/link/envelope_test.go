package link

import (
	"math"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

type nested struct {
	Name  string   `codec:"n"`
	Items []nested `codec:"i"`
	Count uint64   `codec:"c"`
}

// Guards against a corrupt message, from the network or a faulty peer, that crashes the daemon or
// makes it allocate by a corrupt length.
func TestCorruptMessagesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid, err := Encode(nested{"a", []nested{{Name: "b"}, {Count: math.MaxUint64}}, 7})
		if err != nil {
			t.Fatal(err)
		}
		data := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "garbage")
		if rapid.Bool().Draw(t, "damage") {
			data = valid[:rapid.IntRange(0, len(valid)).Draw(t, "cut")]
			if len(data) > 0 {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for _, into := range []any{&nested{}, &envelope{}} {
			if err := Decode(data, into); err != nil && fault.CodeOf(err) != fault.Corrupt {
				t.Fatalf("code %s", fault.CodeOf(err))
			}
		}
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
			t.Fatalf("%d bytes allocated for a message of %d", got, len(data))
		}
	})
}

func TestLengthsBeyondTheMessageAreRejected(t *testing.T) {
	g := NewWithT(t)
	// The list and the text field, each encoded as an array of 2^30 entries.
	list := []byte{0xa1, 0x61, 'i', 0x9a, 0x40, 0, 0, 0}
	text := []byte{0xa1, 0x61, 'n', 0x9a, 0x40, 0, 0, 0}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	g.Expect(fault.CodeOf(Decode(list, &nested{}))).To(Equal(fault.Corrupt))
	g.Expect(fault.CodeOf(Decode(text, &nested{}))).To(Equal(fault.Corrupt))
	runtime.ReadMemStats(&after)
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
	// A map whose key "i" holds an array, byte string or text with a length of 2^62.
	for _, length := range []byte{0x9b, 0x5b, 0x7b} {
		data := []byte{0xa1, 0x61, 'i', length, 0x40, 0, 0, 0, 0, 0, 0, 0}
		g.Expect(fault.CodeOf(Decode(data, &nested{}))).To(Equal(fault.Corrupt))
	}
	deep := append(make([]byte, 0, 1000), 0xa1, 0x61, 'i')
	for range 200 {
		deep = append(deep, 0x81, 0xa1, 0x61, 'i')
	}
	g.Expect(fault.CodeOf(Decode(append(deep, 0x80), &nested{}))).To(Equal(fault.Corrupt))
}
