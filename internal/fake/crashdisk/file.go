package crashdisk

import (
	"errors"
	"io"
	"os"
	"syscall"
)

// openFile implements disk.File.
type openFile struct {
	directory *directory
	inode     *inode
}

// ReadAt implements disk.File.
func (o *openFile) ReadAt(p []byte, at int64) (n int, err error) {
	err = o.directory.call(nil, func() error {
		if at < 0 || at >= int64(len(o.inode.data)) {
			return io.EOF
		}
		if n = copy(p, o.inode.data[at:]); n < len(p) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

// Size implements disk.File.
func (o *openFile) Size() (size int64, err error) {
	err = o.directory.call(nil, func() error {
		size = int64(len(o.inode.data))
		return nil
	})
	return size, err
}

// Append implements disk.File. When the disk is full it writes the bytes that fit and returns syscall.ENOSPC.
func (o *openFile) Append(p []byte) (int, error) {
	d := o.directory.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.countCall(o.directory.incarnation)
	if errors.Is(err, ErrCrashed) {
		return 0, err
	}
	n := len(p)
	if err != nil {
		n /= 2
	}
	if used := d.usedBytes(); d.capacity >= 0 && used+n > d.capacity {
		n, err = max(d.capacity-used, 0), syscall.ENOSPC
	}
	o.inode.data = append(o.inode.data, p[:n]...)
	return n, err
}

// Truncate implements disk.File. It cannot extend a file.
func (o *openFile) Truncate(size int64) error {
	return o.directory.call(nil, func() error {
		if size < 0 || size > int64(len(o.inode.data)) {
			return os.ErrInvalid
		}
		o.inode.data = o.inode.data[:size:size]
		return nil
	})
}

// Sync implements disk.File.
func (o *openFile) Sync() error {
	d := o.directory.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.countCall(o.directory.incarnation)
	switch {
	case errors.Is(err, ErrCrashed):
	case err != nil:
		o.inode.failSync()
	default:
		o.inode.sync()
	}
	return err
}

// Close implements disk.File. It does nothing.
func (o *openFile) Close() error { return nil }
