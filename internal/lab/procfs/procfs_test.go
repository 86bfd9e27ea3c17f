package procfs

import (
	"errors"
	"io/fs"
	"os"
	"testing"
	"time"
)

// The values of the calling process are of plausible size, both by Self and by its process ID.
func TestOwnProcess(t *testing.T) {
	for _, pid := range []int{Self, os.Getpid()} {
		resident, err := ResidentBytes(pid)
		if err != nil || resident < 1<<20 {
			t.Errorf("process %d: found %d resident bytes (%v), expected at least 1 MiB", pid, resident, err)
		}
		peak, err := PeakResidentBytes(pid)
		if err != nil || peak < 1<<20 {
			t.Errorf("process %d: found a peak of %d resident bytes (%v), expected at least 1 MiB", pid, peak, err)
		}
		if descriptors, err := DescriptorCount(pid); err != nil || descriptors < 3 {
			t.Errorf("process %d: found %d descriptors (%v), expected at least 3", pid, descriptors, err)
		}
	}
}

// The CPU time increases while the process computes.
func TestCPUTimeGrows(t *testing.T) {
	before, err := CPUTime(Self)
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); ; {
		now, err := CPUTime(Self)
		if err != nil {
			t.Fatal(err)
		}
		if now > before {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("CPU time was %v before and %v after 20 s of computing", before, now)
		}
	}
}

// Each function returns fs.ErrNotExist for a process that does not exist.
func TestMissingProcess(t *testing.T) {
	const missing = 1 << 30 // beyond the kernel's largest process ID
	_, residentErr := ResidentBytes(missing)
	_, peakErr := PeakResidentBytes(missing)
	_, cpuErr := CPUTime(missing)
	_, descriptorErr := DescriptorCount(missing)
	for _, err := range []error{residentErr, peakErr, cpuErr, descriptorErr} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("found %v, expected %v", err, fs.ErrNotExist)
		}
	}
}
