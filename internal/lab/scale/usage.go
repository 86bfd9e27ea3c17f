package scale

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// Usage is the resources that a process uses.
type Usage struct {
	CPU           time.Duration // user and system time so far, by getrusage
	ResidentBytes int64         // now, by /proc/self/statm
}

// OwnUsage returns the usage of this process. Its errors are those of the kernel's interfaces.
func OwnUsage() (Usage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return Usage{}, err
	}
	resident, err := readStatm("/proc/self/statm")
	if err != nil {
		return Usage{}, err
	}
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return Usage{CPU: cpu, ResidentBytes: resident}, nil
}

// ProcessResidentBytes returns the resident memory of another process.
func ProcessResidentBytes(pid int) (int64, error) {
	return readStatm(fmt.Sprintf("/proc/%d/statm", pid))
}

// readStatm reads the resident memory in bytes from a statm file.
func readStatm(path string) (int64, error) {
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
