package link

import "encoding/binary"

// CBOR major types (RFC 8949, 3.1).
const (
	majorBytes = 2
	majorText  = 3
	majorArray = 4
	majorMap   = 5
	majorTag   = 6
)

// argument sizes by the five low bits of an initial byte.
const (
	argumentOne   = 24
	argumentEight = 27
)

// wellFormed reports whether data is one CBOR item whose lengths fit into it.
// The decoder believes a length when it allocates: a garbled byte that turns a
// string into an array makes it take 64 MiB for a message of 30 bytes. Here a
// length that exceeds the bytes that are left is refused first. Items of
// indefinite length, which the encoder never writes, are refused as well.
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

// argument reads the number that follows from an item's initial byte.
func argument(data []byte) (uint64, []byte, bool) {
	info := data[0] & 0x1f
	rest := data[1:]
	if info < argumentOne {
		return uint64(info), rest, true
	}
	if info > argumentEight {
		return 0, nil, false
	}
	size := 1 << (info - argumentOne)
	if len(rest) < size {
		return 0, nil, false
	}
	var number [8]byte
	copy(number[8-size:], rest[:size])
	return binary.BigEndian.Uint64(number[:]), rest[size:], true
}
