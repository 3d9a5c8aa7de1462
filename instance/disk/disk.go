// Package disk defines the filesystem operations that the write-ahead log and the
// snapshots need, as an interface, so that tests can inject failed syncs and crashes
// that lose unsynced data.
package disk

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"github.com/comfreyladder/comfreyladder/core/fault"
)

// File is an open file. Writes are durable only after Sync.
type File interface {
	io.Writer
	io.Closer
	// Sync makes the content durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// FS is a filesystem. Paths are joined with path/filepath.
type FS interface {
	// Create creates a new, empty file; it fails if the file exists.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	// Overwrite replaces the part of an existing file that begins at offset, without a sync.
	Overwrite(path string, offset int64, content []byte) error
	ReadFile(path string) ([]byte, error)
	// List returns the names in a folder, sorted.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	MkdirAll(dir string) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(dir string) error
}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// OS is the filesystem of the operating system.
type OS struct{}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// Overwrite implements FS.
func (OS) Overwrite(path string, offset int64, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.WriteAt(content, offset)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// MkdirAll implements FS. It also syncs the parents of new folders.
func (o OS) MkdirAll(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := o.MkdirAll(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, dirMode); err != nil && !os.IsExist(err) {
		return err
	}
	return o.SyncDir(parent)
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}

// WriteFile replaces the content of a file atomically and durably: it writes a
// temporary file, syncs it, renames it and syncs the folder. A crash at any point
// leaves either the old or the new content. It fails with fault.Unavailable.
func WriteFile(f FS, path string, content []byte) error {
	temp := path + TempSuffix
	if err := f.Remove(temp); err != nil && !IsNotExist(err) {
		return fault.Wrap(err, fault.Unavailable, "remove %s", temp)
	}
	file, err := f.Create(temp)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "create %s", temp)
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = f.Rename(temp, path)
	}
	if err == nil {
		err = f.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "write %s", path)
	}
	return nil
}

// TempSuffix is the suffix of the temporary files of WriteFile.
const TempSuffix = ".tmp"

// IsNotExist reports whether an FS method failed because the file does not exist.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
