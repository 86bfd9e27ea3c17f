// Package disk defines the file operations that durable state may use: one directory of files that are appended to and
// truncated, and that are created, renamed and removed. Each operation documents what survives a crash. Callers must not rely
// on more; internal/fake/crashdisk simulates crashes to test them for that. Operations are never retried, and their errors are
// returned unchanged. A Directory and a File have no locks of their own: concurrent use is as safe as that of os.File.
package disk

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrLocked reports that the directory is already locked by another process.
var ErrLocked = errors.New("directory is in use by another process")

// maxNameBytes is the maximum length of a file name.
const maxNameBytes = 100

// Directory is a directory without subdirectories. Its file names must be valid according to ValidateName.
type Directory interface {
	// Names returns the names of the files, sorted.
	Names() ([]string, error)
	// Create creates a file for reading and appending. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	// Rename renames a file and replaces the one named to, if any. It is atomic: after a crash it is done completely or not at all.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes all creations, renames and removals so far survive a crash.
	Sync() error
	// Lock locks the directory, or fails with ErrLocked if another process has locked it. A crash releases the lock.
	Lock() (unlock func() error, err error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	// Size returns the size in bytes.
	Size() (int64, error)
	// Append writes at the end. After a crash, any prefix of what was not synced may remain, followed by arbitrary bytes.
	Append(p []byte) (int, error)
	// Truncate sets the size in bytes. A crash before the next Sync may undo it.
	Truncate(size int64) error
	// Sync makes all changes so far survive a crash. After an error, what was written since the last successful Sync may not
	// survive, even if a later Sync succeeds.
	Sync() error
	Close() error
}

// ValidateName returns a *NameError if the name is not valid for a file in a Directory.
func ValidateName(name string) error {
	if len(name) < 1 || len(name) > maxNameBytes || strings.ContainsAny(name, "/\\\x00") || strings.HasPrefix(name, ".") {
		return &NameError{Name: name}
	}
	return nil
}

// NameError reports an invalid file name.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("file name: found %.110q, expected 1 to %d bytes, no slash, backslash or NUL, no leading dot", e.Name, maxNameBytes)
}
