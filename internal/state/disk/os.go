package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// filePermissions let only the owner read and write a file.
const filePermissions = 0o600

// osDirectory is the path of a directory of the operating system. It implements Directory.
type osDirectory string

// Open returns the existing directory at a path. Errors: an *os.PathError.
func Open(path string) (Directory, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOTDIR}
	}
	return osDirectory(path), nil
}

func (d osDirectory) path(name string) string { return filepath.Join(string(d), name) }

// Names implements Directory.
func (d osDirectory) Names() (names []string, err error) {
	entries, err := os.ReadDir(string(d))
	for _, e := range entries {
		if e.Type().IsRegular() && ValidateName(e.Name()) == nil {
			names = append(names, e.Name())
		}
	}
	return names, err
}

// Create implements Directory.
func (d osDirectory) Create(name string) (File, error) {
	return d.openFile(name, os.O_CREATE|os.O_EXCL)
}

// Open implements Directory.
func (d osDirectory) Open(name string) (File, error) { return d.openFile(name, 0) }

func (d osDirectory) openFile(name string, flags int) (File, error) {
	if err := ValidateName(name); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_APPEND|flags, filePermissions)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements Directory.
func (d osDirectory) Rename(from, to string) error {
	if err := errors.Join(ValidateName(from), ValidateName(to)); err != nil {
		return err
	}
	return os.Rename(d.path(from), d.path(to))
}

// Remove implements Directory.
func (d osDirectory) Remove(name string) error {
	if err := ValidateName(name); err != nil {
		return err
	}
	return os.Remove(d.path(name))
}

// Sync implements Directory.
func (d osDirectory) Sync() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Lock implements Directory. It locks the directory itself, so that no lock file is left behind after a crash.
func (d osDirectory) Lock() (unlock func() error, err error) {
	dir, err := os.Open(string(d))
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(dir.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		dir.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, err
	}
	return dir.Close, nil
}

// osFile is a file of the operating system, open for appending. It implements File.
type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Append implements File.
func (f osFile) Append(p []byte) (int, error) { return f.Write(p) }
