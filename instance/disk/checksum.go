package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

const checksumLen = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// WriteWithChecksum is like WriteFile, but prepends a CRC-32C of the content.
func WriteWithChecksum(f FS, path string, content []byte) error {
	sealed := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(content, castagnoli))
	return WriteFile(f, path, append(sealed, content...))
}

// ReadWithChecksum reads a file written by WriteWithChecksum and verifies its checksum. It fails
// with fault.NotFound, fault.Corrupt or fault.Unavailable.
func ReadWithChecksum(f FS, path string) ([]byte, error) {
	b, err := f.ReadFile(path)
	if IsNotExist(err) {
		return nil, fault.Wrap(err, fault.NotFound, "read %s", path)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "read %s", path)
	}
	if len(b) < checksumLen || crc32.Checksum(b[checksumLen:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return nil, fault.New(fault.Corrupt, "%s: the checksum does not match; treat this disk as lost", path)
	}
	return b[checksumLen:], nil
}
