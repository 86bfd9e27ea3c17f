// Package disk defines the file operations that durable state may use: one directory of files that are appended to and
// truncated, and whose names are created, renamed and removed. Each operation documents what survives a crash, and callers may
// rely on no more than that; internal/fake/crashdisk tests them against it. Operations are never retried, and their errors are
// returned as they are. A Directory and a File have no locks of their own: concurrent use is as safe as that of os.File.
package disk

import (
	"errors"
	"fmt"
	"io"
	"strings"
)

// ErrLocked reports that another process has locked the directory.
var ErrLocked = errors.New("directory is in use by another process")

// maxNameBytes bounds the name of a file.
const maxNameBytes = 100

// Directory is a directory without subdirectories. File names are as ValidateName allows.
type Directory interface {
	// Names lists the files in sorted order.
	Names() ([]string, error)
	// Create creates a file; it is an error if the file exists.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	// Rename replaces a file atomically: after a crash it is done or not, never in part.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes all names as they are now survive a crash.
	Sync() error
	// Lock locks the directory; it fails with ErrLocked if another process has locked it. A crash releases the lock.
	Lock() (unlock func() error, err error)
}

// File is an open file.
type File interface {
	io.ReaderAt
	// Size is the size in bytes.
	Size() (int64, error)
	// Append writes at the end. After a crash any prefix of what was not synced may be there, followed by arbitrary bytes.
	Append(p []byte) (int, error)
	// Truncate changes the size in bytes. A crash before the next Sync may undo it.
	Truncate(size int64) error
	// Sync makes everything so far survive a crash. After an error nothing written since the last successful Sync is certain to
	// survive, even if a later Sync succeeds.
	Sync() error
	Close() error
}

// ValidateName returns a *NameError if a file here may not have the name.
func ValidateName(name string) error {
	if len(name) < 1 || len(name) > maxNameBytes || strings.ContainsAny(name, "/\\\x00") || strings.HasPrefix(name, ".") {
		return &NameError{Name: name}
	}
	return nil
}

// NameError reports an invalid file name.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("file name: found %.110q, expected 1 to %d bytes without a slash and not starting with a dot", e.Name, maxNameBytes)
}
