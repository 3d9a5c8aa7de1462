// Package disktest provides an in-memory filesystem for crash tests.
package disktest

import (
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/instance/disk"
)

// Memory is an in-memory filesystem that loses unsynced data at a Crash. File content
// and folder entries are synced separately. As on Linux, a failed sync of a file gives up
// what it did not write: programs still see it, and a later sync succeeds without it. It is
// safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// visible and durable map paths to files: as seen by programs, and as they would
	// be after a crash.
	visible, durable map[string]*memFile
	onSync           func(path string) error
	syncs            int
}

type memFile struct {
	content, synced []byte
	// dirty holds the parts of content that the next sync writes.
	dirty []span
}

// span is the part of a file from begin up to end.
type span struct{ begin, end int }

func newSyncedFile(content []byte) *memFile {
	return &memFile{content: content, synced: slices.Clone(content)}
}

// write writes content at an offset that is not beyond the end.
func (f *memFile) write(offset int, content []byte) {
	end := offset + len(content)
	if end > len(f.content) {
		f.content = append(f.content[:offset], content...)
	} else {
		copy(f.content[offset:], content)
	}
	f.dirty = append(f.dirty, span{offset, end})
}

// truncate shortens the file.
func (f *memFile) truncate(size int) {
	f.content = f.content[:size]
	for i := range f.dirty {
		d := &f.dirty[i]
		d.begin, d.end = min(d.begin, size), min(d.end, size)
	}
}

// sync makes the dirty parts durable. Others that are not yet are lost.
func (f *memFile) sync() {
	size := len(f.content)
	after := slices.Grow(f.synced[:min(len(f.synced), size)], max(0, size-len(f.synced)))[:size]
	clear(after[min(len(f.synced), size):])
	for _, d := range f.dirty {
		copy(after[d.begin:d.end], f.content[d.begin:d.end])
	}
	f.synced, f.dirty = after, nil
}

// NewMemory returns an empty filesystem.
func NewMemory() *Memory {
	return &Memory{visible: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// SetSyncFails sets a function that is called before each sync of a file or folder; if
// it returns an error, the sync fails with it. With nil all syncs succeed.
func (m *Memory) SetSyncFails(f func(path string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onSync = f
}

// Syncs returns the number of file syncs, including failed ones.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash discards unsynced data. torn is the number of bytes of each file's unsynced
// tail that reached the disk nevertheless.
func (m *Memory) Crash(torn int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.visible = map[string]*memFile{}
	for path, f := range m.durable {
		rest := f.content[min(len(f.synced), len(f.content)):]
		rest = rest[:min(torn, len(rest))]
		after := slices.Concat(f.synced, rest)
		n := newSyncedFile(after)
		m.visible[path], m.durable[path] = n, n
	}
}

// Patch replaces the content of a file, to simulate corruption.
func (m *Memory) Patch(path string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[path]
	*f = *newSyncedFile(change(slices.Clone(f.content)))
}

func notExist(op, path string) error {
	return fault.Wrap(&fs.PathError{Op: op, Path: path, Err: fs.ErrNotExist}, fault.NotFound, "no file %s", path)
}

// Create implements disk.FS.
func (m *Memory) Create(path string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.visible[path] != nil {
		return nil, fault.New(fault.Conflict, "%s exists", path)
	}
	f := &memFile{}
	m.visible[path] = f
	return &memHandle{fs: m, path: path, file: f}, nil
}

// Append implements disk.FS.
func (m *Memory) Append(path string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[path]
	if f == nil {
		return nil, notExist("open", path)
	}
	return &memHandle{fs: m, path: path, file: f}, nil
}

// Overwrite implements disk.FS.
func (m *Memory) Overwrite(path string, offset int64, content []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[path]
	if f == nil {
		return notExist("open", path)
	}
	f.write(int(offset), content)
	return nil
}

// ReadFile implements disk.FS.
func (m *Memory) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[path]
	if f == nil {
		return nil, notExist("read", path)
	}
	return slices.Clone(f.content), nil
}

// List implements disk.FS.
func (m *Memory) List(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for path := range m.visible {
		if filepath.Dir(path) == filepath.Clean(dir) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements disk.FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[from]
	if f == nil {
		return notExist("rename", from)
	}
	delete(m.visible, from)
	m.visible[to] = f
	return nil
}

// Remove implements disk.FS.
func (m *Memory) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.visible[path] == nil {
		return notExist("remove", path)
	}
	delete(m.visible, path)
	return nil
}

// MkdirAll implements disk.FS; folders exist implicitly.
func (m *Memory) MkdirAll(string) error { return nil }

// SyncDir implements disk.FS.
func (m *Memory) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.onSync != nil {
		if err := m.onSync(dir); err != nil {
			return err
		}
	}
	prefix := filepath.Clean(dir) + string(filepath.Separator)
	for path := range m.durable {
		if strings.HasPrefix(path, prefix) && filepath.Dir(path) == filepath.Clean(dir) {
			delete(m.durable, path)
		}
	}
	for path, f := range m.visible {
		if filepath.Dir(path) == filepath.Clean(dir) {
			m.durable[path] = f
		}
	}
	return nil
}

type memHandle struct {
	fs   *Memory
	path string
	file *memFile
}

// Write implements disk.File.
func (h *memHandle) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.file.write(len(h.file.content), b)
	return len(b), nil
}

// Sync implements disk.File.
func (h *memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.fs.syncs++
	if h.fs.onSync != nil {
		if err := h.fs.onSync(h.path); err != nil {
			h.file.dirty = nil
			return err
		}
	}
	h.file.sync()
	return nil
}

// Truncate implements disk.File.
func (h *memHandle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.file.truncate(int(size))
	return nil
}

// Close implements disk.File.
func (h *memHandle) Close() error { return nil }
