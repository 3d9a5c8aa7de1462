// Package disktest is a filesystem for tests of what survives a crash.
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

// Memory is a filesystem in memory that forgets at a Crash what was not synced:
// the content of files and, apart from it, the names in folders. It is for
// tests. It is safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// now and kept map paths to files: as programs see it, and as it would be
	// after a crash.
	now, kept map[string]*memFile
	fails     func(path string) error
	syncs     int
}

type memFile struct {
	content, synced []byte
}

// NewMemory returns an empty filesystem.
func NewMemory() *Memory {
	return &Memory{now: map[string]*memFile{}, kept: map[string]*memFile{}}
}

// SetSyncFails has f asked before each sync of a file or folder; what it returns
// is what the sync returns. nil lets syncs succeed.
func (m *Memory) SetSyncFails(f func(path string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fails = f
}

// Syncs returns how many syncs of files there were.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash drops what was not synced. torn says how many bytes of each file's
// unsynced end have reached the disk nevertheless.
func (m *Memory) Crash(torn int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = map[string]*memFile{}
	for path, f := range m.kept {
		rest := f.content[min(len(f.synced), len(f.content)):]
		rest = rest[:min(torn, len(rest))]
		after := slices.Concat(f.synced, rest)
		n := &memFile{content: after, synced: slices.Clone(after)}
		m.now[path], m.kept[path] = n, n
	}
}

// Patch changes the bytes of a file in place, as damage would.
func (m *Memory) Patch(path string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.now[path]
	f.content = change(slices.Clone(f.content))
	f.synced = slices.Clone(f.content)
}

func notExist(op, path string) error {
	return fault.Wrap(&fs.PathError{Op: op, Path: path, Err: fs.ErrNotExist}, fault.NotFound, "no file %s", path)
}

// Create implements disk.FS.
func (m *Memory) Create(path string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now[path] != nil {
		return nil, fault.New(fault.Conflict, "%s exists", path)
	}
	f := &memFile{}
	m.now[path] = f
	return &memHandle{fs: m, path: path, file: f}, nil
}

// Append implements disk.FS.
func (m *Memory) Append(path string) (disk.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.now[path]
	if f == nil {
		return nil, notExist("open", path)
	}
	return &memHandle{fs: m, path: path, file: f}, nil
}

// ReadFile implements disk.FS.
func (m *Memory) ReadFile(path string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.now[path]
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
	for path := range m.now {
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
	f := m.now[from]
	if f == nil {
		return notExist("rename", from)
	}
	delete(m.now, from)
	m.now[to] = f
	return nil
}

// Remove implements disk.FS.
func (m *Memory) Remove(path string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.now[path] == nil {
		return notExist("remove", path)
	}
	delete(m.now, path)
	return nil
}

// MkdirAll implements disk.FS; folders need no making here.
func (m *Memory) MkdirAll(string) error { return nil }

// SyncDir implements disk.FS.
func (m *Memory) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fails != nil {
		if err := m.fails(dir); err != nil {
			return err
		}
	}
	prefix := filepath.Clean(dir) + string(filepath.Separator)
	for path := range m.kept {
		if strings.HasPrefix(path, prefix) && filepath.Dir(path) == filepath.Clean(dir) {
			delete(m.kept, path)
		}
	}
	for path, f := range m.now {
		if filepath.Dir(path) == filepath.Clean(dir) {
			m.kept[path] = f
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
	h.file.content = append(h.file.content, b...)
	return len(b), nil
}

// Sync implements disk.File.
func (h *memHandle) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.fs.syncs++
	if h.fs.fails != nil {
		if err := h.fs.fails(h.path); err != nil {
			return err
		}
	}
	h.file.synced = slices.Clone(h.file.content)
	return nil
}

// Truncate implements disk.File.
func (h *memHandle) Truncate(size int64) error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	h.file.content = h.file.content[:size]
	return nil
}

// Close implements disk.File.
func (h *memHandle) Close() error { return nil }
