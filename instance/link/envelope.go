package link

import (
	"sync"
	"time"

	"github.com/ugorji/go/codec"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// kind is the type of an envelope.
type kind uint8

const (
	kindHeartbeat kind = iota + 1
	kindMessage        // one-way, without a response
	kindRequest
	kindResponse
	kindError
)

// envelope is one message on a link, encoded as CBOR in one binary frame.
type envelope struct {
	Kind    kind   `codec:"k"`
	Channel string `codec:"c,omitempty"`
	// ID identifies a request; its response carries the same ID.
	ID   uint64 `codec:"i,omitempty"`
	Body []byte `codec:"b,omitempty"`
	// Code, Detail and RetryAfter describe the error of a kindError envelope.
	Code       fault.Code    `codec:"f,omitempty"`
	Detail     string        `codec:"d,omitempty"`
	RetryAfter time.Duration `codec:"r,omitempty"`
}

func errorEnvelope(id uint64, channel string, err error) *envelope {
	f := fault.From(err)
	return &envelope{
		Kind: kindError, ID: id, Channel: channel,
		Code: f.Code, Detail: f.Error(), RetryAfter: f.RetryAfter,
	}
}

// toError rebuilds the error that the peer returned.
func (e *envelope) toError() error {
	return fault.New(e.Code, "error from the peer: %s", e.Detail).WithRetryAfter(e.RetryAfter)
}

// maxNesting limits the nesting depth of a received message, to bound stack growth.
const maxNesting = 32

// maxInitialLength limits how many entries the decoder allocates before it reads them.
const maxInitialLength = 256

var cbor = func() *codec.CborHandle {
	h := &codec.CborHandle{}
	h.MaxDepth = maxNesting
	// The decoder allocates a list by its entry count, and entries can take
	// more memory than encoded bytes. Longer lists grow as they are read.
	h.MaxInitLen = maxInitialLength
	return h
}()

var encoders = sync.Pool{New: func() any { return codec.NewEncoderBytes(nil, cbor) }}
var decoders = sync.Pool{New: func() any { return codec.NewDecoderBytes(nil, cbor) }}

// Encode returns v as CBOR; nil gives no bytes. It fails with fault.Internal for a type that
// cannot be encoded.
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

// Decode reads CBOR into v, a pointer; it does nothing if v is nil. It fails with fault.Corrupt.
func Decode(data []byte, v any) error {
	if v == nil {
		return nil
	}
	if !wellFormed(data) {
		return fault.New(fault.Corrupt, "decode %T: the %d bytes are not a single well-formed CBOR item", v, len(data))
	}
	d := decoders.Get().(*codec.Decoder)
	defer decoders.Put(d)
	d.ResetBytes(data)
	if err := d.Decode(v); err != nil {
		return fault.Wrap(err, fault.Corrupt, "decode %T", v)
	}
	return nil
}
