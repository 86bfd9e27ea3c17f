package scale

import (
	"syscall"
	"time"

	"thymechute/internal/lab/procfs"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU           time.Duration // user and system time so far, from getrusage
	ResidentBytes int64         // current, from /proc/self/statm
}

// OwnUsage returns the usage of this process. It fails when getrusage or /proc fails.
func OwnUsage() (Usage, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return Usage{}, err
	}
	resident, err := procfs.ResidentBytes(procfs.Self)
	if err != nil {
		return Usage{}, err
	}
	cpu := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return Usage{CPU: cpu, ResidentBytes: resident}, nil
}
