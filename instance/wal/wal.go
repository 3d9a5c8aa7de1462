// Package wal implements a segmented write-ahead log. A record is durable once the
// Append that wrote it has returned; the records of one Append share one sync.
//
// A segment file is named after the sequence number of its first record and holds
// batches: a 4-byte length, a 4-byte CRC-32C of length and body, and the body,
// which is a sequence of records, each with a 4-byte length prefix. Numbers are
// little-endian. A batch is the unit of one sync and is read whole or not at all:
// after a crash its later pages may be on disk while earlier ones are not.
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
	// MaxBatch limits the body of one batch, in bytes; a greater length in a file
	// means corruption.
	MaxBatch = 256 << 20
	// DefaultSegmentSize is the size in bytes after which a new segment is started. Since
	// TruncateHead removes whole segments only, it bounds the obsolete data kept.
	DefaultSegmentSize = 8 << 20
	suffix             = ".wal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs          disk.FS
	dir         string
	segmentSize int64
	// firsts holds the first sequence number of each segment, ascending.
	firsts []uint64
	file   disk.File
	size   int64
	// lastBatch is the last batch that Open read.
	lastBatch []byte
	next      uint64
	fatalErr  error
}

// CorruptionError reports the position of a corrupt batch.
type CorruptionError struct {
	File string
	// Offset is the offset in the file at which the batch starts, in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: bad batch at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Open reads the log in dir, which it creates if needed, and calls replay for each
// record in order. A partly written batch at the end of the log was never
// acknowledged and is truncated. Any other bad batch makes Open fail with a
// fault.Corrupt that wraps a *CorruptionError, since continuing would silently lose
// acknowledged records. segmentSize is in bytes; 0 means
// DefaultSegmentSize.
func Open(fs disk.FS, dir string, segmentSize int64, replay func(seq uint64, payload []byte) error) (*Log, error) {
	if segmentSize <= 0 {
		segmentSize = DefaultSegmentSize
	}
	l := &Log{fs: fs, dir: dir, segmentSize: segmentSize}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "create folder %s", dir)
	}
	if err := l.listSegments(); err != nil {
		return nil, err
	}
	for i, first := range l.firsts {
		if i == 0 {
			l.next = first
		}
		if first != l.next {
			return nil, corruptionError(l.path(first), 0, fmt.Sprintf("the segment should begin with record %d", l.next))
		}
		if err := l.readSegment(first, i == len(l.firsts)-1, replay); err != nil {
			return nil, err
		}
	}
	if len(l.firsts) == 0 {
		return l, l.newSegment()
	}
	return l, l.reopen()
}

func (l *Log) listSegments() error {
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
			return corruptionError(filepath.Join(l.dir, name), 0, "the name is not a sequence number")
		}
		l.firsts = append(l.firsts, first)
	}
	return nil
}

func (l *Log) path(first uint64) string {
	return filepath.Join(l.dir, fmt.Sprintf("%016x%s", first, suffix))
}

func corruptionError(file string, offset int64, reason string) error {
	return fault.Wrap(&CorruptionError{File: file, Offset: offset, Reason: reason}, fault.Corrupt,
		"the write-ahead log is damaged; treat this disk as lost")
}

func (l *Log) readSegment(first uint64, last bool, replay func(uint64, []byte) error) error {
	path := l.path(first)
	content, err := l.fs.ReadFile(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "read %s", path)
	}
	offset := 0
	l.lastBatch = nil
	for offset < len(content) {
		body, reason := decodeBatch(content[offset:])
		if reason != "" {
			if last && isTornTail(content[offset:]) {
				break
			}
			return corruptionError(path, int64(offset), reason)
		}
		if err := l.replayBatch(body, replay); err != nil {
			return fault.Wrap(err, fault.Corrupt, "%s: batch at offset %d", path, offset)
		}
		l.lastBatch = content[offset : offset+headerLen+len(body)]
		offset += len(l.lastBatch)
	}
	l.size = int64(offset)
	return nil
}

func (l *Log) replayBatch(body []byte, replay func(uint64, []byte) error) error {
	for len(body) > 0 {
		if len(body) < lengthLen {
			return fault.New(fault.Corrupt, "the length prefix of a record is truncated")
		}
		size := uint64(binary.LittleEndian.Uint32(body))
		body = body[lengthLen:]
		if size > uint64(len(body)) {
			return fault.New(fault.Corrupt, "a record extends beyond its batch")
		}
		if err := replay(l.next, body[:size:size]); err != nil {
			return err
		}
		l.next++
		body = body[size:]
	}
	return nil
}

// decodeBatch returns the body of the batch at the start of b, or the reason why it
// is invalid.
func decodeBatch(b []byte) (body []byte, reason string) {
	if len(b) < headerLen {
		return nil, "the header is truncated"
	}
	size := binary.LittleEndian.Uint32(b)
	if size == 0 || size > MaxBatch {
		return nil, "the length is out of range"
	}
	if uint64(len(b)-headerLen) < uint64(size) {
		return nil, "the batch is truncated"
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

// isTornTail reports whether a bad batch was interrupted by a crash, as opposed to
// corruption of acknowledged data. A batch is written only after the previous one
// was synced, so if a valid batch follows, the bad one had been acknowledged. Blocks
// of zeros, which appear when a file's length reached the disk before its content,
// are not a valid batch.
func isTornTail(rest []byte) bool {
	for i := 1; i+headerLen < len(rest); i++ {
		if _, reason := decodeBatch(rest[i:]); reason == "" {
			return false
		}
	}
	return true
}

// reopen opens the last segment for appending, after it truncated a torn batch. The
// truncation is synced, so that after a later crash the torn bytes cannot reappear
// behind new records.
func (l *Log) reopen() error {
	path := l.path(l.firsts[len(l.firsts)-1])
	file, err := l.fs.Append(path)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "open %s", path)
	}
	l.file = file
	if err := l.rewriteLastBatch(path); err != nil {
		return err
	}
	if err := file.Truncate(l.size); err != nil {
		return fault.Wrap(err, fault.Unavailable, "truncate %s", path)
	}
	if err := file.Sync(); err != nil {
		return l.fail(err, path)
	}
	// A crash may have happened between creating the file and syncing its folder.
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(err, l.dir)
	}
	return nil
}

// rewriteLastBatch writes the last batch again in place, so that the next sync makes it
// durable. Its own sync may have failed: the kernel then serves it from memory and writes it
// to the disk only if it is changed. All earlier batches were synced with success.
func (l *Log) rewriteLastBatch(path string) error {
	batch := l.lastBatch
	l.lastBatch = nil
	if len(batch) == 0 {
		return nil
	}
	if err := l.fs.Overwrite(path, l.size-int64(len(batch)), batch); err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", path)
	}
	return nil
}

// newSegment starts a new segment and syncs the folder: without that, a synced file
// can be missing after a crash.
func (l *Log) newSegment() error {
	path := l.path(l.next)
	file, err := l.fs.Create(path)
	if err != nil {
		return l.fail(err, path)
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		_ = file.Close()
		return l.fail(err, l.dir)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file, l.size = file, 0
	l.firsts = append(l.firsts, l.next)
	return nil
}

// fail makes the log refuse all further operations. After a failed sync the kernel
// may have dropped the dirty pages and may report success the next time, so a retry
// would acknowledge records that are not on the disk.
func (l *Log) fail(err error, path string) error {
	l.fatalErr = fault.Wrap(err, fault.Unavailable, "%s cannot be written durably; the log is closed", path)
	return l.fatalErr
}

// Append writes records and syncs once for all of them. It returns the sequence
// number of the first. After a write or sync failure the log refuses all operations
// with the same fault.Unavailable; the records of the failed call may or may not be
// present after a restart.
func (l *Log) Append(payloads ...[]byte) (uint64, error) {
	if l.fatalErr != nil {
		return 0, l.fatalErr
	}
	if len(payloads) == 0 {
		return l.next, nil
	}
	if l.size >= l.segmentSize {
		if err := l.newSegment(); err != nil {
			return 0, err
		}
	}
	buf, err := encodeBatch(payloads)
	if err != nil {
		return 0, err
	}
	path := l.path(l.firsts[len(l.firsts)-1])
	if _, err := l.file.Write(buf); err != nil {
		return 0, l.fail(err, path)
	}
	if err := l.file.Sync(); err != nil {
		return 0, l.fail(err, path)
	}
	first := l.next
	l.next += uint64(len(payloads))
	l.size += int64(len(buf))
	return first, nil
}

func encodeBatch(payloads [][]byte) ([]byte, error) {
	buf := make([]byte, headerLen)
	for _, p := range payloads {
		if len(buf)+lengthLen+len(p) > MaxBatch {
			return nil, fault.New(fault.TooLarge, "the batch exceeds %d bytes", MaxBatch)
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
// first, so that a crash in between leaves no gap.
func (l *Log) TruncateHead(seq uint64) error {
	if l.fatalErr != nil {
		return l.fatalErr
	}
	for len(l.firsts) > 1 && l.firsts[1] <= seq {
		path := l.path(l.firsts[0])
		if err := l.fs.Remove(path); err != nil {
			return fault.Wrap(err, fault.Unavailable, "remove %s", path)
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return l.fail(err, l.dir)
		}
		l.firsts = l.firsts[1:]
	}
	return nil
}

// Close closes the current segment file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	if err := l.file.Close(); err != nil {
		return fault.Wrap(err, fault.Unavailable, "close the log in %s", l.dir)
	}
	return nil
}
