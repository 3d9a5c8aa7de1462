// Package snap stores snapshots of a state machine as files.
//
// A file is named after the log index that it covers and holds a 4-byte CRC-32C of
// the index and the content, the 8-byte index and the content, all little-endian.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

const (
	suffix    = ".snap"
	sumLen    = 4
	headerLen = sumLen + 8
	// keptSnapshots is the number of snapshots retained: the newest, and the one
	// before it for the manual analysis of a corrupt newest one.
	keptSnapshots = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports a corrupt snapshot file.
type CorruptionError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string { return e.File + ": " + e.Reason }

// Store is a folder of snapshots. It is not safe for concurrent use.
type Store struct {
	fs  disk.FS
	dir string
}

// Open returns the store in dir, which it creates if needed, and removes the
// temporary files of interrupted Saves. The snapshots that Load returns are durable
// after it. It fails with fault.Unavailable.
func Open(fs disk.FS, dir string) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "create folder %s", dir)
	}
	s := &Store{fs: fs, dir: dir}
	names, err := fs.List(dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "list %s", dir)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, disk.TempSuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "remove %s", name)
		}
	}
	// A Save may have been interrupted between renaming its file and syncing the folder.
	if err := fs.SyncDir(dir); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "sync %s", dir)
	}
	return s, nil
}

// Save makes a snapshot durable and then removes all but the newest two. The log
// may be truncated up to index only after Save has succeeded. Save fails with
// fault.Unavailable and leaves the earlier snapshots in place.
func (s *Store) Save(index uint64, content []byte) error {
	buf := make([]byte, headerLen, headerLen+len(content))
	binary.LittleEndian.PutUint64(buf[sumLen:], index)
	buf = append(buf, content...)
	binary.LittleEndian.PutUint32(buf, crc32.Checksum(buf[sumLen:], castagnoli))
	if err := disk.WriteFile(s.fs, s.path(index), buf); err != nil {
		return err
	}
	indexes, err := s.listIndexes()
	if err != nil {
		return err
	}
	for len(indexes) > keptSnapshots {
		path := s.path(indexes[0])
		if err := s.fs.Remove(path); err != nil {
			return fault.Wrap(err, fault.Unavailable, "remove %s", path)
		}
		indexes = indexes[1:]
	}
	return nil
}

// Load returns the newest snapshot, or index 0 when there is none. If the newest is
// corrupt, Load fails with a fault.Corrupt that wraps a *CorruptionError. It does not
// fall back to an older one: the log may have been truncated up to the newest, so
// an older state would lack accepted changes.
func (s *Store) Load() (index uint64, content []byte, err error) {
	indexes, err := s.listIndexes()
	if err != nil || len(indexes) == 0 {
		return 0, nil, err
	}
	index = indexes[len(indexes)-1]
	path := s.path(index)
	buf, err := s.fs.ReadFile(path)
	if err != nil {
		return 0, nil, fault.Wrap(err, fault.Unavailable, "read %s", path)
	}
	switch {
	case len(buf) < headerLen:
		return 0, nil, corruptionError(path, "the file is truncated")
	case crc32.Checksum(buf[sumLen:], castagnoli) != binary.LittleEndian.Uint32(buf):
		return 0, nil, corruptionError(path, "the checksum does not match")
	case binary.LittleEndian.Uint64(buf[sumLen:]) != index:
		return 0, nil, corruptionError(path, "the file name does not match the index in the file")
	}
	return index, buf[headerLen:], nil
}

func corruptionError(path, reason string) error {
	return fault.Wrap(&CorruptionError{File: path, Reason: reason}, fault.Corrupt, "the newest snapshot is damaged; treat this disk as lost")
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x%s", index, suffix))
}

// listIndexes returns the indexes of all snapshots, ascending.
func (s *Store) listIndexes() ([]uint64, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "list %s", s.dir)
	}
	var out []uint64
	for _, name := range names {
		base, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		index, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return nil, corruptionError(filepath.Join(s.dir, name), "the name is not an index")
		}
		out = append(out, index)
	}
	return out, nil
}
