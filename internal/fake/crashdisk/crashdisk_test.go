package crashdisk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"thymechute/internal/state/disk"
)

// readAll returns the content of a file.
func readAll(t interface{ Fatal(...any) }, f disk.File) []byte {
	size, err := f.Size()
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, size)
	if _, err := f.ReadAt(b, 0); err != nil && size > 0 {
		t.Fatal(err)
	}
	return b
}

// operation is the kind of a step of TestMatchesRealDirectory.
type operation int

const (
	createFile operation = iota
	appendToFile
	appendAgain // same as appendToFile, so that it is drawn twice as often as the others
	renameFile
	removeFile
	truncateFile
	operationCount
)

// directoryStep is one step of TestMatchesRealDirectory.
type directoryStep struct {
	operation operation
	file      string
	newName   string // of renameFile
	text      []byte // of appendToFile
}

func drawStep(t *rapid.T) directoryStep {
	return directoryStep{
		file:      rapid.SampledFrom([]string{"a", "b", ".c", "d/e"}).Draw(t, "file"),
		newName:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to"),
		operation: operation(rapid.IntRange(0, int(operationCount)-1).Draw(t, "step")),
		text:      rapid.SliceOfN(rapid.Byte(), 0, 9).Draw(t, "text"),
	}
}

// apply performs the step in a directory. It returns the file that it opened, or nil if there is none.
func (s directoryStep) apply(directory disk.Directory) (opened disk.File, err error) {
	switch s.operation {
	case createFile:
		return directory.Create(s.file)
	case appendToFile, appendAgain:
		if opened, err = directory.Open(s.file); err == nil {
			_, err = opened.Append(s.text)
		}
	case renameFile:
		err = directory.Rename(s.file, s.newName)
	case removeFile:
		err = directory.Remove(s.file)
	case truncateFile:
		if opened, err = directory.Open(s.file); err == nil {
			size, _ := opened.Size()
			err = errors.Join(opened.Truncate(size/2), opened.Sync(), directory.Sync())
		}
	}
	return opened, err
}

// applyAndDescribe performs the step and describes its outcome, the directory's names and the file's content as text.
func (s directoryStep) applyAndDescribe(t *rapid.T, directory disk.Directory) string {
	opened, err := s.apply(directory)
	names, listed := directory.Names()
	outcome := fmt.Sprint(err == nil, errors.Is(err, os.ErrExist), errors.Is(err, os.ErrNotExist), names, listed)
	if opened != nil {
		outcome += fmt.Sprintf(" %q", readAll(t, opened))
		opened.Close()
	}
	return outcome
}

// Without crashes and failures, the fake behaves like a directory of the operating system.
func TestMatchesRealDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path, err := os.MkdirTemp("", "disk")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(path)
		real, err := disk.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		fake := New().Directory()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step := drawStep(t)
			found, expected := step.applyAndDescribe(t, fake), step.applyAndDescribe(t, real)
			if found != expected {
				t.Fatalf("%+v: the fake directory returned %s, the real directory %s", step, found, expected)
			}
		}
	})
}

// A crash keeps synced data. Only a prefix of the data appended since the last Sync, and zeros, can follow it.
func TestCrashKeepsSyncedData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New()
		f := d.Directory()
		file, err := f.Create("log")
		if err != nil || f.Sync() != nil {
			t.Fatal(err)
		}
		var all []byte
		synced := 0
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			p := rapid.SliceOfN(rapid.ByteRange(1, 255), 1, 20).Draw(t, "text")
			if _, err := file.Append(p); err != nil {
				t.Fatal(err)
			}
			all = append(all, p...)
			if rapid.Bool().Draw(t, "sync") {
				if err := file.Sync(); err != nil {
					t.Fatal(err)
				}
				synced = len(all)
			}
		}
		d.Crash(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "chance") })
		if _, err := file.Append(nil); !errors.Is(err, ErrCrashed) {
			t.Fatalf("append to a file opened before the crash: found %v, expected ErrCrashed", err)
		}
		again, err := d.Directory().Open("log")
		if err != nil {
			t.Fatal(err)
		}
		got := readAll(t, again)
		text := bytes.TrimRight(got, "\x00")
		if len(text) < synced || !bytes.HasPrefix(all, text) || len(got) > len(all) {
			t.Fatalf("appended %[2]q, synced the first %[1]d bytes, found %[3]q after the crash", synced, all, got)
		}
	})
}

func TestCrashKeepsOrUndoesUnsyncedNames(t *testing.T) {
	for keep, want := range map[int]string{0: "[b]", 1: "[a]"} {
		d := New()
		f := d.Directory()
		if _, err := f.Create("a"); err != nil || f.Sync() != nil {
			t.Fatal(err)
		}
		if err := f.Rename("a", "b"); err != nil {
			t.Fatal(err)
		}
		d.Crash(func(n int) int { return min(keep, n-1) })
		if names, _ := d.Directory().Names(); fmt.Sprint(names) != want {
			t.Errorf("random number %d: names %v after the crash, want %s", keep, names, want)
		}
	}
}

// A successful Sync does not make the bytes durable that an earlier Sync failed to write.
func TestFailedSyncLosesData(t *testing.T) {
	d := New()
	f := d.Directory()
	file, _ := f.Create("log")
	_ = f.Sync()
	_, _ = file.Append([]byte("sure"))
	_ = file.Sync()
	_, _ = file.Append([]byte("lost"))
	d.FailNthCall(1, syscall.EIO)
	if err := file.Sync(); !errors.Is(err, syscall.EIO) {
		t.Fatal(err)
	}
	_, _ = file.Append([]byte("later"))
	if err := file.Sync(); err != nil || string(readAll(t, file)) != "surelostlater" {
		t.Fatal(err)
	}
	d.Crash(func(int) int { return 0 })
	again, _ := d.Directory().Open("log")
	if got := string(readAll(t, again)); got != "sure\x00\x00\x00\x00later" {
		t.Errorf("content after the crash: %q", got)
	}
}

func TestAppendFailureFullDiskAndLock(t *testing.T) {
	d := New()
	f := d.Directory()
	file, _ := f.Create("log")
	d.FailNthCall(1, syscall.EIO)
	if n, err := file.Append([]byte("1234")); n != 2 || !errors.Is(err, syscall.EIO) {
		t.Errorf("%d, %v", n, err)
	}
	d.SetCapacity(5)
	if n, err := file.Append([]byte("5678")); n != 3 || !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("%d, %v", n, err)
	}
	d.SetCapacity(-1)
	if n, err := file.Append([]byte("9")); n != 1 || err != nil || string(readAll(t, file)) != "125679" {
		t.Errorf("%d, %v", n, err)
	}
	unlock, err := f.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Lock(); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("second lock: found error %v, expected ErrLocked", err)
	}
	_ = unlock()
	if _, err := f.Lock(); err != nil {
		t.Error(err)
	}
	d.Crash(func(int) int { return 0 })
	if _, err := d.Directory().Lock(); err != nil {
		t.Errorf("lock after a crash: %v, expected it released", err)
	}
}

func TestRealDirectoryIsLockedOnce(t *testing.T) {
	path := t.TempDir()
	f, err := disk.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	unlock, err := f.Lock()
	if err != nil {
		t.Fatal(err)
	}
	other, _ := disk.Open(path)
	if _, err := other.Lock(); !errors.Is(err, disk.ErrLocked) {
		t.Errorf("second lock: found error %v, expected ErrLocked", err)
	}
	if err := unlock(); err != nil {
		t.Fatal(err)
	}
	if _, err := other.Lock(); err != nil {
		t.Error(err)
	}
	if _, err := disk.Open(path + "/none"); err == nil {
		t.Error("a directory that does not exist: no error")
	}
}
