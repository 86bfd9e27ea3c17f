package procfs

import (
	"errors"
	"io/fs"
	"os"
	"testing"
	"time"
)

// This process has values of plausible size, by its process ID and by Self.
func TestOwnProcess(t *testing.T) {
	for _, pid := range []int{Self, os.Getpid()} {
		resident, err := ResidentBytes(pid)
		if err != nil || resident < 1<<20 {
			t.Errorf("process %d: %d resident bytes, %v", pid, resident, err)
		}
		peak, err := PeakResidentBytes(pid)
		if err != nil || peak < 1<<20 {
			t.Errorf("process %d: %d resident bytes at most, %v", pid, peak, err)
		}
		if descriptors, err := DescriptorCount(pid); err != nil || descriptors < 3 {
			t.Errorf("process %d: %d descriptors, %v", pid, descriptors, err)
		}
	}
}

// CPU time grows while the process computes.
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
			t.Fatalf("%v before, %v after 20 s of computing", before, now)
		}
	}
}

// A process that does not exist is an error of each function.
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
