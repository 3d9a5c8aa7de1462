// Package wire holds what messages between instances have in common.
package wire

// Array makes the codec write the struct that embeds it as an array, without the
// names of its fields, which are a fifth of a small message. New fields may only
// be added at the end: instances of the older version pass over them.
type Array struct {
	_struct bool `codec:",toarray"`
}

// The codec finds the field by its name; nothing else uses it.
var _ = Array{}._struct
