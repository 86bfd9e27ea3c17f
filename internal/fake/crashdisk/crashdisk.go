// Package crashdisk is a stand-in for a folder on a disk that loses power: it keeps what is there apart from what
// would outlive a crash, and loses, tears or keeps the rest as a told generator says. Any call can be made to fail,
// and the disk to be full. It is as hard as internal/state/disk allows, not as kind as any one file system: names
// that were not synced come back or go one by one. It must never act by chance that can't be told again. Its tables
// grow with what is written, for as long as the test runs.
package crashdisk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"syscall"

	"thymechute/internal/state/disk"
)

// ErrCrashed is the answer to all calls on what was open when the disk crashed.
var ErrCrashed = errors.New("the disk has crashed since")

// Chance is the generator that decides what a crash keeps: 0 to under n.
type Chance func(n int) int

type inode struct {
	now    []byte
	safe   []byte // what the last good Sync made sure
	doomed int    // a Sync failed: bytes from here to doomedTo are never made sure, though later ones may be
	upTo   int
}

type name struct {
	name  string
	inode *inode // nil: removed
}

// Disk is one folder on it.
type Disk struct {
	mu      sync.Mutex
	now     map[string]*inode
	safe    map[string]*inode
	pending [][]name // changes of names since the last Sync; those of one rename go together
	life    int      // crashes so far
	locked  bool
	calls   int
	fail    map[int]error // by number of the call, from 1
	room    int           // bytes; negative: no bound
}

// New makes an empty one.
func New() *Disk {
	return &Disk{now: map[string]*inode{}, safe: map[string]*inode{}, fail: map[int]error{}, room: -1}
}

// FailAt has the nth call from now on fail; a failing Append writes half, a failing Sync dooms what it should have kept.
func (d *Disk) FailAt(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail[d.calls+n] = err
}

// Calls is how many calls there were: a test that crashes at every step counts by it.
func (d *Disk) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Room bounds the bytes of all files together; negative: not at all.
func (d *Disk) Room(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = bytes
}

// Flip changes one byte, as a bad sector does.
func (d *Disk) Flip(file string, at int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.now[file]
	if n == nil || at < 0 || at >= len(n.now) {
		return fmt.Errorf("flip: found no byte %d of %s", at, file)
	}
	n.now[at] ^= 0x40
	if at < len(n.safe) {
		n.safe[at] ^= 0x40
	}
	return nil
}

// Crash loses what was not made sure, or part of it, and ends all that is open. What is left is sure.
func (d *Disk) Crash(chance Chance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, change := range d.pending {
		if chance(2) == 0 {
			for _, n := range change {
				set(d.safe, n)
			}
		}
	}
	d.pending = nil
	d.now = map[string]*inode{}
	kept := map[*inode]*inode{}
	for _, file := range sorted(d.safe) {
		old := d.safe[file]
		if kept[old] == nil {
			b := old.after(chance)
			kept[old] = &inode{now: b, safe: append([]byte(nil), b...)}
		}
		d.now[file] = kept[old]
	}
	d.safe = map[string]*inode{}
	for file, n := range d.now {
		d.safe[file] = n
	}
	d.life++
	d.locked = false
}

// after is what a crash leaves of a file: what is sure, and any beginning of what was appended behind it, of which the
// last part may be rubbish. A cut that was not synced may be undone.
func (n *inode) after(chance Chance) []byte {
	b := append([]byte(nil), n.safe...)
	if len(n.now) < len(n.safe) {
		if chance(2) == 0 {
			b = b[:len(n.now)]
		}
		return b
	}
	more := n.now[len(n.safe):]
	keep := chance(len(more) + 1)
	b = append(b, more[:keep]...)
	if rubbish := chance(3); rubbish == 0 && keep < len(more) { // the size was written, and the bytes were not
		b = append(b, make([]byte, chance(len(more)-keep+1))...)
	}
	if n.upTo > n.doomed { // pages that a failed Sync has dropped read as zeros, whatever came later
		for i := n.doomed; i < min(n.upTo, len(b)); i++ {
			b[i] = 0
		}
	}
	return b
}

func set(names map[string]*inode, n name) {
	if n.inode == nil {
		delete(names, n.name)
	} else {
		names[n.name] = n.inode
	}
}

func sorted(names map[string]*inode) (all []string) {
	for n := range names {
		all = append(all, n)
	}
	sort.Strings(all)
	return all
}

// call counts one and tells whether it fails. The lock is held.
func (d *Disk) call(life int) error {
	if life != d.life {
		return ErrCrashed
	}
	d.calls++
	return d.fail[d.calls]
}

// Folder is the folder as a process of this life sees it.
func (d *Disk) Folder() disk.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &folder{d, d.life}
}

type folder struct {
	d    *Disk
	life int
}

// do runs f under the lock, unless the call fails.
func (f *folder) do(names []string, act func() error) error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	for _, n := range names {
		if err := disk.ValidateName(n); err != nil {
			return err
		}
	}
	if err := f.d.call(f.life); err != nil {
		return err
	}
	return act()
}

func (f *folder) Names() (names []string, err error) {
	err = f.do(nil, func() error {
		names = sorted(f.d.now)
		return nil
	})
	return names, err
}

func (f *folder) change(all ...name) {
	for _, n := range all {
		set(f.d.now, n)
	}
	f.d.pending = append(f.d.pending, all)
}

func (f *folder) Create(file string) (disk.File, error) {
	n := &inode{}
	err := f.do([]string{file}, func() error {
		if f.d.now[file] != nil {
			return os.ErrExist
		}
		f.change(name{file, n})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &open{f, n}, nil
}

func (f *folder) Open(file string) (disk.File, error) {
	var n *inode
	err := f.do([]string{file}, func() error {
		if n = f.d.now[file]; n == nil {
			return os.ErrNotExist
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &open{f, n}, nil
}

func (f *folder) Rename(from, to string) error {
	return f.do([]string{from, to}, func() error {
		n := f.d.now[from]
		if n == nil {
			return os.ErrNotExist
		}
		if from != to {
			f.change(name{from, nil}, name{to, n})
		}
		return nil
	})
}

func (f *folder) Remove(file string) error {
	return f.do([]string{file}, func() error {
		if f.d.now[file] == nil {
			return os.ErrNotExist
		}
		f.change(name{file, nil})
		return nil
	})
}

func (f *folder) Sync() error {
	return f.do(nil, func() error {
		for _, change := range f.d.pending {
			for _, n := range change {
				set(f.d.safe, n)
			}
		}
		f.d.pending = nil
		return nil
	})
}

func (f *folder) Lock() (func() error, error) {
	err := f.do(nil, func() error {
		if f.d.locked {
			return disk.ErrLocked
		}
		f.d.locked = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	return func() error {
		f.d.mu.Lock()
		defer f.d.mu.Unlock()
		if f.life == f.d.life {
			f.d.locked = false
		}
		return nil
	}, nil
}

type open struct {
	f *folder
	n *inode
}

func (o *open) ReadAt(p []byte, at int64) (n int, err error) {
	err = o.f.do(nil, func() error {
		if at < 0 || at >= int64(len(o.n.now)) {
			return io.EOF
		}
		if n = copy(p, o.n.now[at:]); n < len(p) {
			return io.EOF
		}
		return nil
	})
	return n, err
}

func (o *open) Size() (size int64, err error) {
	err = o.f.do(nil, func() error {
		size = int64(len(o.n.now))
		return nil
	})
	return size, err
}

func (o *open) Append(p []byte) (int, error) {
	d := o.f.d
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.call(o.f.life)
	if errors.Is(err, ErrCrashed) {
		return 0, err
	}
	n := len(p)
	if err != nil {
		n /= 2
	}
	if used := d.used(); d.room >= 0 && used+n > d.room {
		n, err = max(d.room-used, 0), syscall.ENOSPC
	}
	o.n.now = append(o.n.now, p[:n]...)
	return n, err
}

func (d *Disk) used() (bytes int) {
	for _, n := range d.now {
		bytes += len(n.now)
	}
	return bytes
}

func (o *open) Truncate(size int64) error {
	return o.f.do(nil, func() error {
		if size < 0 || size > int64(len(o.n.now)) {
			return os.ErrInvalid
		}
		o.n.now = o.n.now[:size:size]
		return nil
	})
}

func (o *open) Sync() error {
	d := o.f.d
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.call(o.f.life)
	if errors.Is(err, ErrCrashed) {
		return err
	}
	if err != nil {
		if o.n.upTo <= o.n.doomed {
			o.n.doomed = min(len(o.n.safe), len(o.n.now))
		}
		o.n.upTo = len(o.n.now)
		return err
	}
	o.n.safe = append([]byte(nil), o.n.now...)
	return nil
}

func (o *open) Close() error { return nil }
