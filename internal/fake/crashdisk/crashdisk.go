// Package crashdisk is a fake of a directory on a disk that loses power. It implements disk.Directory in memory and tracks what
// would survive a crash: Crash loses, truncates or keeps the rest as a given generator decides, so that a test can replay it.
// Any call can be made to fail, and the disk to be full. It is as adversarial as the contract of internal/state/disk allows, not
// as benign as any one file system: each name change that was not synced is kept or undone on its own.
//
// A Disk is safe for concurrent use, by one mutex. Its tables hold all files with their synced contents and grow with what is
// written, without bound.
package crashdisk

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"thymechute/internal/state/disk"
)

// ErrCrashed is the error of all calls on a directory or file that was opened before a crash.
var ErrCrashed = errors.New("the disk has crashed since")

// ErrByteOutOfRange is the error of CorruptByte for a file that does not exist or is shorter.
var ErrByteOutOfRange = errors.New("no such byte")

// unlimited is the capacity of a disk that is never full.
const unlimited = -1

// corruptedBit is the bit that CorruptByte flips.
const corruptedBit = 0x40

// Random decides what a crash keeps. It returns a number from 0 to below n.
type Random func(n int) int

// Disk is a fake disk with one directory.
type Disk struct {
	mu              sync.Mutex
	entries         map[string]*inode
	syncedEntries   map[string]*inode
	unsyncedChanges []renames // since the last Sync of the directory
	incarnation     int       // crashes so far
	locked          bool
	calls           int
	failures        map[int]error // by number of the call, from 1
	capacity        int           // bytes of all files together; negative for no limit
}

// renames are changes of names that a crash keeps or undoes together.
type renames []entryChange

// entryChange makes a name refer to an inode, or removes it where inode is nil.
type entryChange struct {
	name  string
	inode *inode
}

func (c entryChange) apply(entries map[string]*inode) {
	if c.inode == nil {
		delete(entries, c.name)
	} else {
		entries[c.name] = c.inode
	}
}

func (changes renames) apply(entries map[string]*inode) {
	for _, change := range changes {
		change.apply(entries)
	}
}

// New creates an empty disk of unlimited capacity.
func New() *Disk {
	return &Disk{entries: map[string]*inode{}, syncedEntries: map[string]*inode{}, failures: map[int]error{}, capacity: unlimited}
}

// FailNthCall makes the n-th call from now fail with err. A failing Append writes half of its bytes; a failing Sync of a file loses
// the bytes that it should have made durable, whatever later calls do.
func (d *Disk) FailNthCall(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures[d.calls+n] = err
}

// CallCount is the number of calls so far, for tests that crash at every call.
func (d *Disk) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// SetCapacity bounds the bytes of all files together; a negative number removes the bound.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// CorruptByte flips a bit of one byte, durable or not, as a bad sector does. It returns ErrByteOutOfRange.
func (d *Disk) CorruptByte(file string, at int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.entries[file]
	if n == nil || at < 0 || at >= len(n.data) {
		return fmt.Errorf("corrupt byte %d of %q: %w", at, file, ErrByteOutOfRange)
	}
	n.data[at] ^= corruptedBit
	if at < len(n.synced) {
		n.synced[at] ^= corruptedBit
	}
	return nil
}

// Crash loses what is not durable, or a part of it as random decides, and ends everything that is open. What remains is
// durable.
func (d *Disk) Crash(random Random) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, changes := range d.unsyncedChanges {
		if random(2) == 0 {
			changes.apply(d.syncedEntries)
		}
	}
	d.unsyncedChanges = nil
	d.entries = map[string]*inode{}
	survivors := map[*inode]*inode{}
	for _, file := range sortedNames(d.syncedEntries) {
		before := d.syncedEntries[file]
		if survivors[before] == nil {
			survivors[before] = newInode(before.afterCrash(random))
		}
		d.entries[file] = survivors[before]
	}
	d.syncedEntries = maps.Clone(d.entries)
	d.incarnation++
	d.locked = false
}

func sortedNames(entries map[string]*inode) []string { return slices.Sorted(maps.Keys(entries)) }

// Directory opens the directory, as a process that starts now. It is usable until the next crash.
func (d *Disk) Directory() disk.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &directory{d, d.incarnation}
}

// countCall counts a call and returns the error it must fail with; the lock is held.
func (d *Disk) countCall(incarnation int) error {
	if incarnation != d.incarnation {
		return ErrCrashed
	}
	d.calls++
	return d.failures[d.calls]
}

// usedBytes is the size of all files; the lock is held.
func (d *Disk) usedBytes() (bytes int) {
	for _, n := range d.entries {
		bytes += len(n.data)
	}
	return bytes
}
