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
	"thymechute/internal/lab/deployment"
)

const (
	maxLogBytes  = 1 << 20
	drainTimeout = 5 * time.Second
	stopMillis   = 3000 // that the platform grants from SIGTERM to SIGKILL
	maxSockets   = 384
)

// Instance is a process of the program.
type Instance struct {
	Name          string
	ListenAddress string // address that it listens on
	command       *exec.Cmd
	exited        chan struct{}

	mu         sync.Mutex
	log        bytes.Buffer
	logWritten chan struct{} // of capacity 1; signalled by each write to the log
}

// LaunchOptions are the options of Launch.
type LaunchOptions struct {
	Program        string // path of the executable
	Folder         string // for the configuration file
	Name           string // of the instance; unique in the folder
	RuntimeAddress string // address of its runtime
	SettingsPath   string // path of the operator's file; empty for none
	Seed           uint64
}

// Launch writes a configuration file with a memory limit of MemoryMB to the folder and starts the program with it. The caller ends
// the process by Kill or Drain; the kernel also kills it when the thread that started it ends. The errors are those of finding free
// ports, of writing the file and of starting the process.
func Launch(options LaunchOptions) (*Instance, error) {
	configuration, err := newConfiguration(options)
	if err != nil {
		return nil, err
	}
	path, err := writeConfiguration(options.Folder, configuration)
	if err != nil {
		return nil, err
	}
	arguments := []string{"serve"}
	if options.SettingsPath != "" {
		arguments = append(arguments, "--settings", options.SettingsPath)
	}
	i := &Instance{Name: options.Name, ListenAddress: configuration.Listen, exited: make(chan struct{}), logWritten: make(chan struct{}, 1)}
	i.command = exec.Command(options.Program, arguments...)
	i.command.Env = append(os.Environ(), "GW_CONFIG="+path)
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

// newConfiguration returns the configuration of an instance, which listens on a free address. The addresses of its index and
// directory are free too, so that connections to them are refused.
func newConfiguration(options LaunchOptions) (deployment.Configuration, error) {
	listen, err := freeAddress()
	if err != nil {
		return deployment.Configuration{}, err
	}
	unused, err := freeAddress()
	if err != nil {
		return deployment.Configuration{}, err
	}
	return deployment.Configuration{
		Name:       options.Name,
		Listen:     listen,
		Runtime:    options.RuntimeAddress,
		Index:      unused,
		Directory:  unused,
		Seed:       strconv.FormatUint(options.Seed, 16),
		StopMillis: stopMillis,
		Limits:     deployment.Limits{Cores: 1, MemoryMB: MemoryMB, Sockets: maxSockets},
		Settings:   newSettings(),
	}, nil
}

// writeConfiguration writes the configuration file of an instance and returns its path.
func writeConfiguration(folder string, configuration deployment.Configuration) (path string, err error) {
	text, err := json.Marshal(configuration)
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, configuration.Name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// freeAddress returns a loopback address with a port that is free for TCP and UDP.
func freeAddress() (string, error) { return faultnet.FreeAddress("127.0.0.1") }

// Write appends output of the process to the log, and discards it once the log has maxLogBytes.
func (i *Instance) Write(p []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.log.Len() < maxLogBytes {
		i.log.Write(p)
	}
	select {
	case i.logWritten <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Log returns the output of the process so far, at most about 1 MiB.
func (i *Instance) Log() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.String()
}

// Signal sends a signal to the process, for example SIGSTOP.
func (i *Instance) Signal(signal syscall.Signal) { _ = i.command.Process.Signal(signal) }

// Kill sends SIGKILL and waits for the process to end.
func (i *Instance) Kill() {
	_ = i.command.Process.Kill()
	<-i.exited
}

// Drain sends SIGTERM and waits for the process to end. It returns a *DrainError if the exit status is not 0, or if the process does
// not end within 5 s and is killed.
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

// DrainError reports an instance whose graceful shutdown failed.
type DrainError struct {
	Instance   string
	TimedOut   bool   // it did not end in time and was killed
	ExitStatus int    // if it ended in time
	Log        string // as of Instance.Log, if it ended in time
}

// Error implements error.
func (e *DrainError) Error() string {
	if e.TimedOut {
		return fmt.Sprintf("instance %s: still running %v after SIGTERM, killed", e.Instance, drainTimeout)
	}
	return fmt.Sprintf("instance %s: exit status %d after SIGTERM, expected 0; log: %s", e.Instance, e.ExitStatus, e.Log)
}
