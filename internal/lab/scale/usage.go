package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration // user and system, by getrusage
	Resident  int64         // bytes now, by /proc/self/statm
}

// OwnUsage reads the usage of this process.
func OwnUsage() (Usage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return Usage{}, err
	}
	resident, err := residentBytes("/proc/self/statm")
	if err != nil {
		return Usage{}, err
	}
	processor := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return Usage{Processor: processor, Resident: resident}, nil
}

// ResidentOf is the resident memory of another process, in bytes.
func ResidentOf(pid int) (int64, error) { return residentBytes(fmt.Sprintf("/proc/%d/statm", pid)) }

func residentBytes(path string) (int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Fscan(strings.NewReader(string(text)), &size, &resident); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	return resident * int64(os.Getpagesize()), nil
}
