// Package wire holds common definitions for the messages between instances.
package wire

// Array makes the codec encode a struct that embeds it as an array, without the names
// of its fields, which make up a fifth of a small message. New fields may only be added
// at the end, where instances of an older version ignore them.
type Array struct {
	_struct bool `codec:",toarray"`
}

// The codec looks the field up by its name; nothing else uses it.
var _ = Array{}._struct
