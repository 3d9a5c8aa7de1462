package control

import (
	"github.com/ugorji/go/codec"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// cbor encodes canonically, so that equal values have equal bytes on all members.
var cbor = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	return h
}()

// Marshal encodes a command, a result or a state. It fails with fault.Internal.
func Marshal(v any) ([]byte, error) {
	var b []byte
	if err := codec.NewEncoderBytes(&b, cbor).Encode(v); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode %T", v)
	}
	return b, nil
}

// Unmarshal decodes what Marshal encoded. It fails with fault.Corrupt.
func Unmarshal(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, cbor).Decode(v); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode %T", v)
	}
	return nil
}
