// Package crashdisk is a fake of a directory on a disk that can lose power. It implements disk.Directory in memory and tracks
// which changes are durable. Crash loses, truncates or keeps the others as a given random generator decides, so that a test can
// replay it. Any call can be made to fail, and the disk can be made full. The fake is as adversarial as the contract of
// internal/state/disk permits, and so less benign than any single file system: a crash keeps or undoes each unsynced name change
// independently of the others.
//
// A Disk is safe for concurrent use; one mutex guards it. The memory that it uses grows with the data written, without limit.
package crashdisk

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"thymechute/internal/state/disk"
)

// ErrCrashed is returned by all calls on a directory or file that was opened before a crash.
var ErrCrashed = errors.New("crashdisk: opened before the last crash of the disk")

// ErrByteOutOfRange is returned by CorruptByte when the file does not exist or is too short.
var ErrByteOutOfRange = errors.New("file does not exist or is too short")

// unlimited is the capacity of a disk that is never full.
const unlimited = -1

// corruptedBit is the mask of the bit that CorruptByte flips.
const corruptedBit = 0x40

// Random decides what a crash keeps. It returns a number in [0, n).
type Random func(n int) int

// Disk is a fake disk with one directory.
type Disk struct {
	mu              sync.Mutex
	entries         map[string]*inode // by name
	syncedEntries   map[string]*inode // by name, as of the last Sync of the directory or crash
	unsyncedChanges []atomicChanges   // since the last Sync of the directory
	incarnation     int               // number of crashes so far
	locked          bool
	calls           int           // number of calls so far
	failures        map[int]error // errors to return, by the number of the call, from 1
	capacity        int           // bytes, for all files together; negative for no limit
}

// atomicChanges are name changes that a crash keeps or undoes together.
type atomicChanges []entryChange

// entryChange makes a name refer to an inode, or removes the name when inode is nil.
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

func (changes atomicChanges) apply(entries map[string]*inode) {
	for _, change := range changes {
		change.apply(entries)
	}
}

// New creates an empty disk of unlimited capacity.
func New() *Disk {
	return &Disk{entries: map[string]*inode{}, syncedEntries: map[string]*inode{}, failures: map[int]error{}, capacity: unlimited}
}

// FailNthCall makes the n-th call from now fail with err. A failing Append writes half of its bytes. A failing Sync of a file
// loses the bytes that it should have made durable, even if a later Sync succeeds.
func (d *Disk) FailNthCall(n int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures[d.calls+n] = err
}

// CallCount returns the number of calls so far, for tests that crash the disk at every call.
func (d *Disk) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// SetCapacity limits the total size of all files in bytes. A negative number removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// CorruptByte flips a bit of one byte, durable or not, as a bad sector does. It returns ErrByteOutOfRange when the file does not
// exist or is too short.
func (d *Disk) CorruptByte(file string, at int) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.entries[file]
	if n == nil || at < 0 || at >= len(n.data) {
		return fmt.Errorf("crashdisk: cannot corrupt byte %d of %q: %w", at, file, ErrByteOutOfRange)
	}
	n.data[at] ^= corruptedBit
	if at < len(n.synced) {
		n.synced[at] ^= corruptedBit
	}
	return nil
}

// Crash loses the changes that are not durable, or a part of them, as random decides. It invalidates all open files and
// directories and releases the lock. What remains is durable.
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
			survivors[before] = newSyncedInode(before.afterCrash(random))
		}
		d.entries[file] = survivors[before]
	}
	d.syncedEntries = maps.Clone(d.entries)
	d.incarnation++
	d.locked = false
}

func sortedNames(entries map[string]*inode) []string { return slices.Sorted(maps.Keys(entries)) }

// Directory opens the directory, like a process that starts now. It can be used until the next crash.
func (d *Disk) Directory() disk.Directory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &directory{d, d.incarnation}
}

// countCall counts a call and returns the error that it must fail with, if any. The caller holds the mutex.
func (d *Disk) countCall(incarnation int) error {
	if incarnation != d.incarnation {
		return ErrCrashed
	}
	d.calls++
	return d.failures[d.calls]
}

// usedBytes returns the total size of all files. The caller holds the mutex.
func (d *Disk) usedBytes() (bytes int) {
	for _, n := range d.entries {
		bytes += len(n.data)
	}
	return bytes
}
