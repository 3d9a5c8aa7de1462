package link

import "encoding/binary"

// CBOR major types (RFC 8949, section 3.1).
const (
	majorBytes = 2
	majorText  = 3
	majorArray = 4
	majorMap   = 5
	majorTag   = 6
)

// Values of the five low bits of an initial byte. From argumentOneByte to
// argumentEightBytes they mean that the argument is in the 1, 2, 4 or 8 bytes that follow;
// smaller values are the argument themselves.
const (
	argumentOneByte    = 24
	argumentEightBytes = 27
)

// wellFormed reports whether data is a single CBOR item all of whose lengths fit into data. The
// decoder allocates by the encoded length without checking it: one corrupted byte that turned a
// string into an array made it allocate 64 MiB for a message of 30 bytes. Items of indefinite
// length, which the encoder never writes, are rejected as well.
func wellFormed(data []byte) bool {
	rest, ok := skipItem(data, maxNesting)
	return ok && len(rest) == 0
}

func skipItem(data []byte, depth int) ([]byte, bool) {
	if len(data) == 0 || depth == 0 {
		return nil, false
	}
	major := data[0] >> 5
	length, rest, ok := argument(data)
	if !ok {
		return nil, false
	}
	switch major {
	case majorBytes, majorText:
		if length > uint64(len(rest)) {
			return nil, false
		}
		return rest[length:], true
	case majorArray:
		return skipItems(rest, length, depth-1)
	case majorMap:
		if length > uint64(len(rest)) {
			return nil, false
		}
		return skipItems(rest, 2*length, depth-1)
	case majorTag:
		return skipItem(rest, depth-1)
	}
	return rest, true
}

func skipItems(data []byte, count uint64, depth int) ([]byte, bool) {
	if count > uint64(len(data)) {
		return nil, false
	}
	for range count {
		rest, ok := skipItem(data, depth)
		if !ok {
			return nil, false
		}
		data = rest
	}
	return data, true
}

// argument decodes the argument of the item at the start of data and returns the bytes after it.
func argument(data []byte) (uint64, []byte, bool) {
	info := data[0] & 0x1f
	rest := data[1:]
	if info < argumentOneByte {
		return uint64(info), rest, true
	}
	if info > argumentEightBytes {
		return 0, nil, false
	}
	size := 1 << (info - argumentOneByte)
	if len(rest) < size {
		return 0, nil, false
	}
	var padded [8]byte
	copy(padded[8-size:], rest[:size])
	return binary.BigEndian.Uint64(padded[:]), rest[size:], true
}
