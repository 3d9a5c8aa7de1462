package control

import (
	"github.com/ugorji/go/codec"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// cbor uses the canonical encoding, so that equal values encode to the same bytes on every member.
var cbor = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.Canonical = true
	return h
}()

// Marshal encodes a command, a result or a state as CBOR. Errors have the code fault.Internal.
func Marshal(v any) ([]byte, error) {
	var b []byte
	if err := codec.NewEncoderBytes(&b, cbor).Encode(v); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode %T", v)
	}
	return b, nil
}

// Unmarshal decodes the output of Marshal into v. Errors have the code fault.Corrupt.
func Unmarshal(b []byte, v any) error {
	if err := codec.NewDecoderBytes(b, cbor).Decode(v); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode %T", v)
	}
	return nil
}
