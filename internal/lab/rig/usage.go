package rig

import (
	"time"

	"thymechute/internal/lab/procfs"
)

// PeakMemory returns the peak resident memory of the process so far, in bytes; 0 if it has ended.
func (i *Instance) PeakMemory() int64 {
	peak, err := procfs.PeakResidentBytes(i.command.Process.Pid)
	if err != nil {
		return 0
	}
	return peak
}

// CPUTime returns the CPU time that the process has used so far, in steps of 10 ms; 0 if it has ended.
func (i *Instance) CPUTime() time.Duration {
	used, err := procfs.CPUTime(i.command.Process.Pid)
	if err != nil {
		return 0
	}
	return used
}
