package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// The fields of /proc/PID/stat after the command name, and the kernel's clock tick in which they count.
const (
	statUserField   = 11
	statSystemField = 12
	clockTick       = 10 * time.Millisecond
)

// PeakMemory returns the largest resident size of the process so far, in bytes; 0 if it has ended.
func (i *Instance) PeakMemory() int64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// CPUTime returns the processor time that the process has used so far; 0 if it has ended.
func (i *Instance) CPUTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseInt(fields[statUserField], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystemField], 10, 64)
	return time.Duration(user+system) * clockTick
}
