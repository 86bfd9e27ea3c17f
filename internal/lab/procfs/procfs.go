// Package procfs reads the memory, the CPU time and the number of open file descriptors of a process from Linux's /proc. Each call
// reads one file or directory; the package has no state.
package procfs

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Self is the process ID by which the functions of this package read the calling process.
const Self = 0

const (
	clockTick  = 10 * time.Millisecond // unit of CPU time in /proc/PID/stat
	bytesPerKB = 1 << 10
)

// Indexes of fields of /proc/PID/stat, counted from 0 after the command's name.
const (
	statUserField   = 11
	statSystemField = 12
	minStatFields   = 13
)

// FormatError reports a file of /proc in which an expected value is missing or malformed.
type FormatError struct {
	Path     string
	Expected string
	Err      error // of parsing the value; nil when it is missing
}

// Error implements error.
func (e *FormatError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: found no value, expected %s", e.Path, e.Expected)
	}
	return fmt.Sprintf("%s: expected %s: %v", e.Path, e.Expected, e.Err)
}

// Unwrap returns the error of parsing the value, or nil.
func (e *FormatError) Unwrap() error { return e.Err }

// path returns the path of a file of a process under /proc.
func path(pid int, file string) string {
	if pid == Self {
		return "/proc/self/" + file
	}
	return fmt.Sprintf("/proc/%d/%s", pid, file)
}

// ResidentBytes returns the resident memory of a process. It returns the errors of reading the file, and *FormatError.
func ResidentBytes(pid int) (int64, error) {
	file := path(pid, "statm")
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Fscan(bytes.NewReader(text), &size, &resident); err != nil {
		return 0, &FormatError{Path: file, Expected: "the numbers of total and resident pages", Err: err}
	}
	return resident * int64(os.Getpagesize()), nil
}

// PeakResidentBytes returns the peak resident memory of a process so far. It returns the errors of reading the file, and *FormatError,
// as for a zombie process: its file does not have the value.
func PeakResidentBytes(pid int) (int64, error) {
	const label = "VmHWM:"
	file := path(pid, "status")
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), label)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0, &FormatError{Path: file, Expected: label}
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0, &FormatError{Path: file, Expected: label, Err: err}
	}
	return kilobytes * bytesPerKB, nil
}

// CPUTime returns the sum of the user and system time of a process so far, in steps of 10 ms. It returns the errors of reading the
// file, and *FormatError.
func CPUTime(pid int) (time.Duration, error) {
	file := path(pid, "stat")
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	afterName := text[bytes.LastIndexByte(text, ')')+1:] // the name may contain spaces and parentheses
	fields := strings.Fields(string(afterName))
	if len(fields) < minStatFields {
		return 0, &FormatError{Path: file, Expected: "user and system time"}
	}
	user, err := strconv.ParseInt(fields[statUserField], 10, 64)
	if err != nil {
		return 0, &FormatError{Path: file, Expected: "user time", Err: err}
	}
	system, err := strconv.ParseInt(fields[statSystemField], 10, 64)
	if err != nil {
		return 0, &FormatError{Path: file, Expected: "system time", Err: err}
	}
	return time.Duration(user+system) * clockTick, nil
}

// DescriptorCount returns the number of open file descriptors of a process. It returns the errors of reading the directory.
func DescriptorCount(pid int) (int, error) {
	entries, err := os.ReadDir(path(pid, "fd"))
	return len(entries), err
}
