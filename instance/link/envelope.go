package link

import (
	"sync"
	"time"

	"github.com/ugorji/go/codec"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// kind says what an envelope carries.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindMessage        // one way
	kindRequest
	kindAnswer
	kindFailure
)

// envelope is one message on a link, encoded as CBOR in one binary frame.
type envelope struct {
	Kind    kind   `codec:"k"`
	Channel string `codec:"c,omitempty"`
	// ID names a request; it is repeated in its answer.
	ID   uint64 `codec:"i,omitempty"`
	Body []byte `codec:"b,omitempty"`
	// Code, Detail and RetryAfter carry a failure across.
	Code       fault.Code    `codec:"f,omitempty"`
	Detail     string        `codec:"d,omitempty"`
	RetryAfter time.Duration `codec:"r,omitempty"`
}

func failure(id uint64, channel string, err error) *envelope {
	f := fault.From(err)
	return &envelope{
		Kind: kindFailure, ID: id, Channel: channel,
		Code: f.Code, Detail: f.Error(), RetryAfter: f.RetryAfter,
	}
}

// fault rebuilds the peer's failure.
func (e *envelope) fault() error {
	return fault.New(e.Code, "answered by the peer: %s", e.Detail).WithRetryAfter(e.RetryAfter)
}

// maxNesting bounds how deep a received message may nest, against stack growth.
const maxNesting = 32

// maxInitialLength bounds the entries allocated before they are read.
const maxInitialLength = 256

var cbor = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxDepth = maxNesting
	// A list's first allocation is by entries, which are larger than they may
	// be in the message; longer lists still grow as they are read.
	h.MaxInitLen = maxInitialLength
	return h
}()

var encoders = sync.Pool{New: func() any { return codec.NewEncoderBytes(nil, cbor) }}
var decoders = sync.Pool{New: func() any { return codec.NewDecoderBytes(nil, cbor) }}

// Encode returns v as CBOR. It fails with fault.Internal for a type that cannot
// be encoded.
func Encode(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	var out []byte
	e := encoders.Get().(*codec.Encoder)
	defer encoders.Put(e)
	e.ResetBytes(&out)
	if err := e.Encode(v); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode %T", v)
	}
	return out, nil
}

// Decode reads CBOR into v, a pointer. It fails with fault.Corrupt.
func Decode(data []byte, v any) error {
	if v == nil {
		return nil
	}
	if !wellFormed(data) {
		return fault.New(fault.Corrupt, "decode %T: %d bytes that are not one CBOR item", v, len(data))
	}
	d := decoders.Get().(*codec.Decoder)
	defer decoders.Put(d)
	d.ResetBytes(data)
	if err := d.Decode(v); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode %T", v)
	}
	return nil
}
