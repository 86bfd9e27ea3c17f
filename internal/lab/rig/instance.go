// This file owns the program as a process: its start, its log, what it uses, its end. It must never leave a process
// behind: each is killed with the thread that started it.

package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Instance is the program as a process.
type Instance struct {
	Name, Listen string
	cmd          *exec.Cmd
	exited       chan struct{}
	mu           sync.Mutex
	log          bytes.Buffer
	wrote        chan struct{} // one slot, filled at each write: who waits for a line waits on it
}

// Launch starts the program at its runtime, with its configuration in the folder; settings is the operator's file, or empty.
// Who starts it ends it, by Kill or Drain.
func Launch(program, folder, name, runtime, settings string, memoryMB int, seed uint64) (*Instance, error) {
	listen, err := Free()
	if err != nil {
		return nil, err
	}
	nobody, err := Free()
	if err != nil {
		return nil, err
	}
	text, _ := json.Marshal(map[string]any{"name": name, "listen": listen, "runtime": runtime, "index": nobody, "directory": nobody,
		"seed": strconv.FormatUint(seed, 16), "stop_ms": 3000, "settings": deployment(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 384}})
	file := filepath.Join(folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	i := &Instance{Name: name, Listen: listen, exited: make(chan struct{}), wrote: make(chan struct{}, 1)}
	args := []string{"serve"}
	if settings != "" {
		args = append(args, "--settings", settings)
	}
	i.cmd = exec.Command(program, args...)
	i.cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
	i.cmd.Stderr = i
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the rig
	if err := i.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.cmd.Wait()
		close(i.exited)
	}()
	return i, nil
}

func (i *Instance) Write(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < 1<<20 {
		i.log.Write(p)
	}
	select {
	case i.wrote <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Signal sends it a signal (SIGSTOP and SIGCONT for a pause).
func (i *Instance) Signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// Log is what it has logged, a mebibyte at most.
func (i *Instance) Log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// Memory is the most that it has held so far, in bytes, as the kernel counts it.
func (i *Instance) Memory() int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if rest, ok := strings.CutPrefix(in.Text(), "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// CPU is the processor time that it has used so far.
func (i *Instance) CPU() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // the kernel's ticks
}

// Kill ends it outright.
func (i *Instance) Kill() {
	_ = i.cmd.Process.Kill()
	<-i.exited
}

// Drain gives it the notice (SIGTERM) and waits for its end; an end with another code than 0 is an error, as is none in 5 s.
func (i *Instance) Drain() error {
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.exited:
		if code := i.cmd.ProcessState.ExitCode(); code != 0 {
			return fmt.Errorf("%s ended with %d: %s", i.Name, code, i.Log())
		}
		return nil
	case <-time.After(5 * time.Second):
		i.Kill()
		return errors.New(i.Name + " did not end")
	}
}
