// Package snap keeps snapshots of a state machine as files.
//
// A file is named by the log index that it covers and holds a 4-byte CRC-32C of
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
	// keep is how many snapshots stay: the newest, and the one before for
	// somebody who has to look into a damaged newest one.
	keep = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError names a snapshot file that failed its checks.
type DamageError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string { return e.File + ": " + e.Reason }

// Store is a folder of snapshots. It is not safe for concurrent use.
type Store struct {
	fs  disk.FS
	dir string
}

// Open returns the store in dir, which it makes if need be, and removes what an
// interrupted Save left. It fails with fault.Unavailable.
func Open(fs disk.FS, dir string) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make the folder %s", dir)
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
	return s, nil
}

// Save makes a snapshot durable and then removes all but the last two. The log
// may be truncated up to index only after it has returned. It fails with
// fault.Unavailable; the earlier snapshots stand then.
func (s *Store) Save(index uint64, content []byte) error {
	buf := make([]byte, headerLen, headerLen+len(content))
	binary.LittleEndian.PutUint64(buf[sumLen:], index)
	buf = append(buf, content...)
	binary.LittleEndian.PutUint32(buf, crc32.Checksum(buf[sumLen:], castagnoli))
	if err := disk.WriteFile(s.fs, s.path(index), buf); err != nil {
		return err
	}
	indexes, err := s.list()
	if err != nil {
		return err
	}
	for len(indexes) > keep {
		path := s.path(indexes[0])
		if err := s.fs.Remove(path); err != nil {
			return fault.Wrap(err, fault.Unavailable, "remove %s", path)
		}
		indexes = indexes[1:]
	}
	return nil
}

// Load returns the newest snapshot, or index 0 when there is none. If the newest
// is damaged it fails with a fault.Corrupt that wraps a *DamageError. It does
// not fall back to an older one: the log may have been truncated up to the
// newest, and a state without what lay between would revert accepted changes.
func (s *Store) Load() (index uint64, content []byte, err error) {
	indexes, err := s.list()
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
		return 0, nil, damage(path, "it is cut off")
	case crc32.Checksum(buf[sumLen:], castagnoli) != binary.LittleEndian.Uint32(buf):
		return 0, nil, damage(path, "the checksum does not match")
	case binary.LittleEndian.Uint64(buf[sumLen:]) != index:
		return 0, nil, damage(path, "the name is that of another snapshot")
	}
	return index, buf[headerLen:], nil
}

func damage(path, reason string) error {
	return fault.Wrap(&DamageError{File: path, Reason: reason}, fault.Corrupt, "the newest snapshot is damaged; treat this disk as lost")
}

func (s *Store) path(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%016x%s", index, suffix))
}

// list returns the indexes of all snapshots, ascending.
func (s *Store) list() ([]uint64, error) {
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
			return nil, damage(filepath.Join(s.dir, name), "the name is not an index")
		}
		out = append(out, index)
	}
	return out, nil
}
