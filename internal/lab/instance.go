// Package lab runs experiments: the real program and stand-ins on loopback, bounded in count and time, each with a
// claim that it holds or not. This file owns the program as a process. It must never touch an address that is not
// loopback, nor leave a process behind.
package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bands of the labs' site: pure, receipted, effectful.
const (
	Trace     = "trace"
	Excursion = "excursion"
	Seal      = "seal"
	Patience  = 30 * time.Second
	Window    = 120 * time.Second
)

// site is the settings of a small deployment with many cores, so that what is measured is the program.
func site() map[string]any {
	var classes []any
	for n, c := range [][2]string{{Trace, "repeatable"}, {Excursion, "by_key"}, {Seal, "once"}} {
		classes = append(classes, map[string]any{"name": c[0], "repeat": c[1], "worth": n + 1, "aim_s": Patience.Seconds(),
			"deadline_s": Patience.Seconds(), "window_s": Window.Seconds(), "late_value": 0})
	}
	return map[string]any{"classes": classes, "tenants": []any{map[string]any{"name": "acme", "quota_per_s": 1e6}},
		"fleet_size": 2, "rules": map[string]any{"drain_grace_s": 1, "fall_multiple": 8},
		"policy_limits": map[string]any{"max_retry_after_s": 1, "retry_after": true},
		"domain": map[string]any{"cores": 16, "ram_kb": 1e7, "blowup": 2, "entry_kb": 0.1, "halt": "abort", "say": "threshold",
			"depends_on": "shared", "dep_share": 50, "dep_window_s": 5, "linger_s": 0.2, "calls_by_class": []any{false, false, false},
			"degraded_worth": []any{0, 0, 0}, "caller_idle_s": 30, "clients_total": 3, "gauges": []any{"cpu_busy", "runnable"}}}
}

// Instance is the program as a process.
type Instance struct {
	Name, Listen string
	cmd          *exec.Cmd
	exited       chan struct{}
	mu           sync.Mutex
	log          bytes.Buffer
	wrote        chan struct{} // one slot, filled at each write: who waits for a line waits on it
}

// programName is the file name of the program that the experiments start.
const programName = "thymechute"

// MissingProgramError says that an experiment has no program to start.
type MissingProgramError struct {
	Path  string // where it was looked for
	Found string // what stands there instead
}

func (e *MissingProgramError) Error() string {
	return fmt.Sprintf("program of the experiment: %s: found %s, expected the executable %s (build both into one folder: go build -o bin/ ./cmd/...)",
		e.Path, e.Found, programName)
}

// ProgramBeside is the path of the program in the folder of another executable, or a *MissingProgramError.
func ProgramBeside(executable string) (string, error) {
	path := filepath.Join(filepath.Dir(executable), programName)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "", &MissingProgramError{Path: path, Found: "nothing"}
	case err != nil:
		return "", &MissingProgramError{Path: path, Found: err.Error()}
	case !info.Mode().IsRegular():
		return "", &MissingProgramError{Path: path, Found: "no regular file"}
	case info.Mode().Perm()&0o111 == 0:
		return "", &MissingProgramError{Path: path, Found: "a file that may not be executed"}
	}
	return path, nil
}

// free is a loopback address that nothing listens on (freeOn, fleet.go).
func free() (string, error) { return freeOn("127.0.0.1") }

// Launch starts the program at its runtime; settings is the operator's file, or empty.
func Launch(program, folder, name, runtime, settings string, memoryMB int, seed uint64) (*Instance, error) {
	listen, err := free()
	if err != nil {
		return nil, err
	}
	nobody, err := free()
	if err != nil {
		return nil, err
	}
	text, _ := json.Marshal(map[string]any{"name": name, "listen": listen, "runtime": runtime, "index": nobody, "directory": nobody,
		"seed": strconv.FormatUint(seed, 16), "stop_ms": 3000, "settings": site(),
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

// Leave gives it the notice and waits for its end.
func (i *Instance) Leave() error {
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
