// Package wal is a segmented write-ahead log. A record counts once the Append
// that wrote it has returned, since that syncs; many records share one sync.
//
// A segment file is named by the sequence number of its first record and holds
// batches: a 4-byte length, a 4-byte CRC-32C of length and body, and the body,
// which is a row of records with a 4-byte length each. Numbers are little-endian.
// A batch is what one sync covers, and it is read whole or not at all: after a
// crash its later pages may be there while earlier ones are not.
package wal

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
	headerLen = 8
	lengthLen = 4
	// MaxBatch bounds the body of one batch; a greater length in a file is damage.
	MaxBatch = 256 << 20
	// DefaultSegment is the size after which a new segment is begun. A head is
	// truncated in whole segments, so it bounds what lies about needlessly.
	DefaultSegment = 8 << 20
	suffix         = ".wal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs      disk.FS
	dir     string
	segment int64
	// firsts holds the first sequence number of each segment, ascending.
	firsts []uint64
	file   disk.File
	size   int64
	next   uint64
	failed error
}

// DamageError says where a log cannot be read.
type DamageError struct {
	File string
	// Offset is where in the file the bad batch begins, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: bad batch at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Open reads the log in dir, which it makes if need be, and calls replay for
// each record in order. A batch at the very end that was not written whole was
// never acknowledged and is cut off. Any other bad batch stops the open with a
// fault.Corrupt that wraps a *DamageError: to go on would forget acknowledged
// records in silence. segment is the size of a segment in bytes, 0 for
// DefaultSegment.
func Open(fs disk.FS, dir string, segment int64, replay func(seq uint64, payload []byte) error) (*Log, error) {
	if segment <= 0 {
		segment = DefaultSegment
	}
	l := &Log{fs: fs, dir: dir, segment: segment}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "make the folder %s", dir)
	}
	if err := l.list(); err != nil {
		return nil, err
	}
	for i, first := range l.firsts {
		if i == 0 {
			l.next = first
		}
		if first != l.next {
			return nil, damage(l.path(first), 0, fmt.Sprintf("the segment should begin with record %d", l.next))
		}
		if err := l.readSegment(first, i == len(l.firsts)-1, replay); err != nil {
			return nil, err
		}
	}
	if len(l.firsts) == 0 {
		return l, l.begin()
	}
	return l, l.reopen()
}

func (l *Log) list() error {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "list %s", l.dir)
	}
	for _, name := range names {
		base, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		first, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return damage(filepath.Join(l.dir, name), 0, "the name is not a sequence number")
		}
		l.firsts = append(l.firsts, first)
	}
	return nil
}

func (l *Log) path(first uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", first, suffix))
}

func damage(file string, offset int64, reason string) error {
	return fault.Wrap(&DamageError{File: file, Offset: offset, Reason: reason}, fault.Corrupt,
		"the write-ahead log is damaged; treat this disk as lost")
}

func (l *Log) readSegment(first uint64, last bool, replay func(uint64, []byte) error) error {
	path := l.path(first)
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "read %s", path)
	}
	offset := 0
	for offset < len(content) {
		body, reason := batch(content[offset:])
		if reason != "" {
			if last && torn(content[offset:]) {
				break
			}
			return damage(path, int64(offset), reason)
		}
		if err := l.replayBatch(body, replay); err != nil {
			return fault.Wrap(err, fault.Corrupt, "%s: batch at offset %d", path, offset)
		}
		offset += headerLen + len(body)
	}
	l.size = int64(offset)
	return nil
}

func (l *Log) replayBatch(body []byte, replay func(uint64, []byte) error) error {
	for len(body) > 0 {
		if len(body) < lengthLen {
			return fault.New(fault.Corrupt, "a record's length is cut off")
		}
		size := uint64(binary.LittleEndian.Uint32(body))
		body = body[lengthLen:]
		if size > uint64(len(body)) {
			return fault.New(fault.Corrupt, "a record is longer than its batch")
		}
		if err := replay(l.next, body[:size:size]); err != nil {
			return err
		}
		l.next++
		body = body[size:]
	}
	return nil
}

// batch reads the batch at the start of b, or says what is wrong with it.
func batch(b []byte) (body []byte, reason string) {
	if len(b) < headerLen {
		return nil, "the header is cut off"
	}
	size := binary.LittleEndian.Uint32(b)
	if size == 0 || size > MaxBatch {
		return nil, "the length is impossible"
	}
	if uint64(len(b)-headerLen) < uint64(size) {
		return nil, "the batch is cut off"
	}
	body = b[headerLen : headerLen+int(size)]
	if checksum(size, body) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, "the checksum does not match"
	}
	return body, ""
}

func checksum(size uint32, body []byte) uint32 {
	var head [4]byte
	binary.LittleEndian.PutUint32(head[:], size)
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, body)
}

// torn tells a batch that was cut off by a crash from damage in the middle. A
// batch is written only after the sync of the one before, so if a whole batch
// comes later, the bad one had been acknowledged. Blocks of zeros, which a file
// may gain when its length reached the disk before its content, are no batch.
func torn(rest []byte) bool {
	for i := 1; i+headerLen < len(rest); i++ {
		if _, reason := batch(rest[i:]); reason == "" {
			return false
		}
	}
	return true
}

// reopen goes on in the last segment, cutting a torn record off first. The cut
// is synced, so that a later crash cannot bring the torn bytes back behind new
// records.
func (l *Log) reopen() error {
	path := l.path(l.firsts[len(l.firsts)-1])
	file, err := l.fs.Append(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "open %s", path)
	}
	l.file = file
	if err := file.Truncate(l.size); err != nil {
		return fault.Wrap(err, fault.Unavailable, "truncate %s", path)
	}
	if err := file.Sync(); err != nil {
		return l.fatal(err, path)
	}
	// A crash may have come between the making of the file and the sync of its name.
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fatal(err, l.dir)
	}
	return nil
}

// begin starts a new segment and syncs its name: a file that was synced but
// whose name was not is gone after a crash.
func (l *Log) begin() error {
	path := l.path(l.next)
	file, err := l.fs.Create(path)
	if err != nil {
		return l.fatal(err, path)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		_ = file.Close()
		return l.fatal(err, l.dir)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size = file, 0
	l.firsts = append(l.firsts, l.next)
	return nil
}

// fatal keeps the first failure for good. After a failed sync the kernel may
// have dropped the pages and report success the next time, so a retry would
// acknowledge records that are not on the disk.
func (l *Log) fatal(err error, path string) error {
	l.failed = fault.Wrap(err, fault.Unavailable, "%s cannot be written durably; the log is closed", path)
	return l.failed
}

// Append writes records and syncs once for all of them. It returns the sequence
// number of the first. After a failure the log refuses everything with the same
// fault.Unavailable; what was written by the failed call may or may not be there
// after a restart.
func (l *Log) Append(payloads ...[]byte) (uint64, error) {
	if l.failed != nil {
		return 0, l.failed
	}
	if len(payloads) == 0 {
		return l.next, nil
	}
	if l.size >= l.segment {
		if err := l.begin(); err != nil {
			return 0, err
		}
	}
	buf, err := encode(payloads)
	if err != nil {
		return 0, err
	}
	path := l.path(l.firsts[len(l.firsts)-1])
	if _, err := l.file.Write(buf); err != nil {
		return 0, l.fatal(err, path)
	}
	if err := l.file.Sync(); err != nil {
		return 0, l.fatal(err, path)
	}
	first := l.next
	l.next += uint64(len(payloads))
	l.size += int64(len(buf))
	return first, nil
}

func encode(payloads [][]byte) ([]byte, error) {
	buf := make([]byte, headerLen)
	for _, p := range payloads {
		if len(buf)+lengthLen+len(p) > MaxBatch {
			return nil, fault.New(fault.TooLarge, "a batch above %d bytes", MaxBatch)
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(p)))
		buf = append(buf, p...)
	}
	size := uint32(len(buf) - headerLen)
	binary.LittleEndian.PutUint32(buf, size)
	binary.LittleEndian.PutUint32(buf[4:], checksum(size, buf[headerLen:]))
	return buf, nil
}

// Next returns the sequence number of the next record.
func (l *Log) Next() uint64 { return l.next }

// TruncateHead removes the segments that hold only records before seq, oldest
// first, so that a crash on the way leaves no gap.
func (l *Log) TruncateHead(seq uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.firsts) > 1 && l.firsts[1] <= seq {
		path := l.path(l.firsts[0])
		if err := l.fs.Remove(path); err != nil {
			return fault.Wrap(err, fault.Unavailable, "remove %s", path)
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fatal(err, l.dir)
		}
		l.firsts = l.firsts[1:]
	}
	return nil
}

// Close closes the files.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	if err := l.file.Close(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "close the log in %s", l.dir)
	}
	return nil
}
