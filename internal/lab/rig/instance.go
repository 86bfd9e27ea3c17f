package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"thymechute/internal/fake/faultnet"
)

const (
	maxLogBytes  = 1 << 20
	drainTimeout = 5 * time.Second
)

// Instance is the program as a process.
type Instance struct {
	Name, Listen string // its name, and the address that it listens on
	command      *exec.Cmd
	exited       chan struct{}

	mu    sync.Mutex
	log   bytes.Buffer
	wrote chan struct{} // holds one signal, set at each write to the log
}

// Launch starts the program with its configuration in the folder, connected to a runtime; settings is the path of the
// operator's file, or empty. The caller ends it by Kill or Drain; it is also killed with the thread that started it.
func Launch(program, folder, name, runtime, settings string, memoryMB int, seed uint64) (*Instance, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	configuration, err := writeConfiguration(folder, name, listen, runtime, memoryMB, seed)
	if err != nil {
		return nil, err
	}
	arguments := []string{"serve"}
	if settings != "" {
		arguments = append(arguments, "--settings", settings)
	}
	i := &Instance{Name: name, Listen: listen, exited: make(chan struct{}), wrote: make(chan struct{}, 1)}
	i.command = exec.Command(program, arguments...)
	i.command.Env = append(os.Environ(), "GW_CONFIG="+configuration)
	i.command.Stderr = i
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.command.Wait()
		close(i.exited)
	}()
	return i, nil
}

// writeConfiguration writes the platform's file of an instance and returns its path. Nobody listens at the addresses of
// its index and directory.
func writeConfiguration(folder, name, listen, runtime string, memoryMB int, seed uint64) (path string, err error) {
	unused, err := freeAddress()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "runtime": runtime, "index": unused, "directory": unused,
		"seed": strconv.FormatUint(seed, 16), "stop_ms": 3000, "settings": deployment(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 384}})
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() (string, error) { return faultnet.FreeAddress("127.0.0.1") }

// Write takes what the process writes to its log, maxLogBytes at most.
func (i *Instance) Write(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < maxLogBytes {
		i.log.Write(p)
	}
	select {
	case i.wrote <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Log returns what the process has logged, about 1 MiB at most.
func (i *Instance) Log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// Signal sends the process a signal, SIGSTOP and SIGCONT for example.
func (i *Instance) Signal(signal syscall.Signal) { _ = i.command.Process.Signal(signal) }

// Kill ends the process at once.
func (i *Instance) Kill() {
	_ = i.command.Process.Kill()
	<-i.exited
}

// Drain sends SIGTERM and waits for the process to end. It is a *DrainError if its exit status is not 0, or if it does not
// end within 5 s and is killed.
func (i *Instance) Drain() error {
	_ = i.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.exited:
		if status := i.command.ProcessState.ExitCode(); status != 0 {
			return &DrainError{Instance: i.Name, ExitStatus: status, Log: i.Log()}
		}
		return nil
	case <-time.After(drainTimeout):
		i.Kill()
		return &DrainError{Instance: i.Name, TimedOut: true}
	}
}

// DrainError reports an instance that did not drain in order.
type DrainError struct {
	Instance   string
	TimedOut   bool   // it had not ended in time
	ExitStatus int    // otherwise
	Log        string // all that it logged, if it ended
}

// Error implements error.
func (e *DrainError) Error() string {
	if e.TimedOut {
		return e.Instance + " did not end"
	}
	return fmt.Sprintf("%s ended with %d: %s", e.Instance, e.ExitStatus, e.Log)
}
