package crashdisk

import (
	"os"

	"thymechute/internal/state/disk"
)

// directory implements disk.Directory for one incarnation, the time between two crashes.
type directory struct {
	disk        *Disk
	incarnation int
}

// call counts a call and runs act with the mutex held, unless a name is invalid or the call must fail.
func (f *directory) call(names []string, act func() error) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	for _, name := range names {
		if err := disk.ValidateName(name); err != nil {
			return err
		}
	}
	if err := f.disk.countCall(f.incarnation); err != nil {
		return err
	}
	return act()
}

// applyChanges applies name changes that a crash keeps or undoes together. The caller holds the mutex.
func (f *directory) applyChanges(changes ...entryChange) {
	atomicChanges(changes).apply(f.disk.entries)
	f.disk.unsyncedChanges = append(f.disk.unsyncedChanges, changes)
}

// Names implements disk.Directory.
func (f *directory) Names() (names []string, err error) {
	err = f.call(nil, func() error {
		names = sortedNames(f.disk.entries)
		return nil
	})
	return names, err
}

// Create implements disk.Directory.
func (f *directory) Create(name string) (disk.File, error) {
	created := &inode{}
	err := f.call([]string{name}, func() error {
		if f.disk.entries[name] != nil {
			return os.ErrExist
		}
		f.applyChanges(entryChange{name, created})
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &openFile{f, created}, nil
}

// Open implements disk.Directory.
func (f *directory) Open(name string) (disk.File, error) {
	var opened *inode
	err := f.call([]string{name}, func() error {
		if opened = f.disk.entries[name]; opened == nil {
			return os.ErrNotExist
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &openFile{f, opened}, nil
}

// Rename implements disk.Directory.
func (f *directory) Rename(from, to string) error {
	return f.call([]string{from, to}, func() error {
		renamed := f.disk.entries[from]
		if renamed == nil {
			return os.ErrNotExist
		}
		if from != to {
			f.applyChanges(entryChange{from, nil}, entryChange{to, renamed})
		}
		return nil
	})
}

// Remove implements disk.Directory.
func (f *directory) Remove(name string) error {
	return f.call([]string{name}, func() error {
		if f.disk.entries[name] == nil {
			return os.ErrNotExist
		}
		f.applyChanges(entryChange{name, nil})
		return nil
	})
}

// Sync implements disk.Directory.
func (f *directory) Sync() error {
	return f.call(nil, func() error {
		for _, changes := range f.disk.unsyncedChanges {
			changes.apply(f.disk.syncedEntries)
		}
		f.disk.unsyncedChanges = nil
		return nil
	})
}

// Lock implements disk.Directory.
func (f *directory) Lock() (unlock func() error, err error) {
	err = f.call(nil, func() error {
		if f.disk.locked {
			return disk.ErrLocked
		}
		f.disk.locked = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	return f.unlock, nil
}

// unlock releases the lock. It does nothing after a crash, which has released the lock already.
func (f *directory) unlock() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.incarnation == f.disk.incarnation {
		f.disk.locked = false
	}
	return nil
}
