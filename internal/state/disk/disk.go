// Package disk is the few file calls that state which outlives the process may make: one folder, files that are only
// appended to and cut, names that are made, renamed and removed. What outlives a crash is said at each call, and no
// more may be relied on; internal/fake/crashdisk holds callers to it. It keeps no table, and must never retry, hide
// an error, or touch anything outside its folder.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrLocked: another process has the folder.
var ErrLocked = errors.New("folder is in use by another process")

// Folder is one, without folders in it. Names are 1 to 100 bytes without a slash, and do not begin with a dot.
type Folder interface {
	Names() ([]string, error)             // of its files, sorted
	Create(name string) (File, error)     // an error where it is there
	Open(name string) (File, error)       // to read and to append
	Rename(from, to string) error         // what stood under to is gone; after a crash it is done or not, never half
	Remove(name string) error             //
	Sync() error                          // all names as they are now outlive a crash
	Lock() (unlock func() error, _ error) // ErrLocked where another has it; a crash unlocks
}

// File is one that is open.
type File interface {
	io.ReaderAt
	Size() (int64, error)
	Append(p []byte) (int, error) // after a crash any beginning of what was not synced may be there, and rubbish behind it
	Truncate(size int64) error    // may be undone by a crash before the next Sync
	Sync() error                  // all up to here outlives a crash. After an error nothing since the last good one is sure, also if a later one is good
	Close() error
}

// Name tells whether it may name a file here.
func Name(name string) error {
	if len(name) < 1 || len(name) > 100 || strings.ContainsAny(name, "/\\\x00") || strings.HasPrefix(name, ".") {
		return fmt.Errorf("file name: found %.110q, expected 1 to 100 bytes without a slash or a dot in front", name)
	}
	return nil
}

type folder string

// Open takes a folder that is there.
func Open(path string) (Folder, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s: found a file, expected a folder", path)
	}
	return folder(path), nil
}

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

func (f folder) Names() (names []string, err error) {
	all, err := os.ReadDir(string(f))
	for _, e := range all {
		if e.Type().IsRegular() && Name(e.Name()) == nil {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (f folder) Create(name string) (File, error) { return f.open(name, os.O_CREATE|os.O_EXCL) }

func (f folder) Open(name string) (File, error) { return f.open(name, 0) }

func (f folder) open(name string, how int) (File, error) {
	if err := Name(name); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(f.path(name), os.O_RDWR|os.O_APPEND|how, 0o600)
	if err != nil {
		return nil, err
	}
	return open{file}, nil
}

func (f folder) Rename(from, to string) error {
	if err := errors.Join(Name(from), Name(to)); err != nil {
		return err
	}
	return os.Rename(f.path(from), f.path(to))
}

func (f folder) Remove(name string) error {
	if err := Name(name); err != nil {
		return err
	}
	return os.Remove(f.path(name))
}

func (f folder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock holds a lock of the kernel's on the folder itself, so that no file is left by a crash.
func (f folder) Lock() (func() error, error) {
	d, err := os.Open(string(f))
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(d.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		d.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, err
	}
	return d.Close, nil
}

type open struct{ *os.File }

func (o open) Size() (int64, error) {
	info, err := o.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (o open) Append(p []byte) (int, error) { return o.Write(p) }
