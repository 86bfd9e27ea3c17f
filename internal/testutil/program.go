package testutil

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// buildFlagsVariable is the environment variable with further flags of the program's build, such as -race.
const buildFlagsVariable = "THYMECHUTE_BUILD"

// Program is a process of the program.
type Program struct {
	t          *testing.T
	Cmd        *exec.Cmd
	Exited     chan int // receives the exit code
	configPath string
	mu         sync.Mutex // guards log
	log        bytes.Buffer
}

// ProgramOptions are the options of StartProgramWith.
type ProgramOptions struct {
	Log  *os.File // receives standard error; nil: collected for Program.Log
	Args []string // command-line arguments
}

// builtProgram is the executable, which is built once per test process.
var builtProgram struct {
	once sync.Once
	path string
	err  error
}

// BuildProgram builds the program on the first call and returns the path of the executable.
func BuildProgram(t *testing.T) string {
	t.Helper()
	builtProgram.once.Do(func() { builtProgram.path, builtProgram.err = buildProgram() })
	if builtProgram.err != nil {
		t.Fatal(builtProgram.err)
	}
	return builtProgram.path
}

func buildProgram() (path string, err error) {
	directory, err := os.MkdirTemp("", "thymechute")
	if err != nil {
		return "", err
	}
	path = filepath.Join(directory, "thymechute")
	args := []string{"build", "-ldflags=-linkmode=external", "-o", path}
	args = append(args, strings.Fields(os.Getenv(buildFlagsVariable))...)
	args = append(args, "thymechute/cmd/thymechute")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// StartProgram starts the program with a configuration.
func StartProgram(t *testing.T, config map[string]any) *Program {
	t.Helper()
	return StartProgramWith(t, config, ProgramOptions{})
}

// StartProgramWith starts the program with a configuration and options.
func StartProgramWith(t *testing.T, config map[string]any, options ProgramOptions) *Program {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	p := &Program{t: t, configPath: filepath.Join(t.TempDir(), "config.json")}
	p.WriteConfig(text)
	p.start(options)
	return p
}

// StartProgramFromFile starts the program with the configuration file at path.
func StartProgramFromFile(t *testing.T, path string) *Program {
	t.Helper()
	p := &Program{t: t, configPath: path}
	p.start(ProgramOptions{})
	return p
}

func (p *Program) start(options ProgramOptions) {
	p.t.Helper()
	p.Exited = make(chan int, 1)
	p.Cmd = exec.Command(BuildProgram(p.t), options.Args...)
	p.Cmd.Env = append(os.Environ(), "GW_CONFIG="+p.configPath)
	p.Cmd.Stderr = p
	if options.Log != nil {
		p.Cmd.Stderr = options.Log
	}
	if err := p.Cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.Cmd.Wait()
		p.Exited <- p.Cmd.ProcessState.ExitCode()
	}()
	p.t.Cleanup(p.cleanUp)
}

// cleanUp kills the process. It prints the log if the test failed, and fails the test if the log has a data race or a panic.
func (p *Program) cleanUp() {
	_ = p.Cmd.Process.Kill()
	log := p.Log()
	if p.t.Failed() || strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
		p.t.Error(log)
	}
}

// Write implements io.Writer for the process's standard error.
func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log returns what the program has written to its log so far.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WriteConfig replaces the content of the configuration file, without signalling the program to reload it.
func (p *Program) WriteConfig(config []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath, config, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// SignalReload signals the program to reload its configuration file.
func (p *Program) SignalReload() { _ = p.Cmd.Process.Signal(syscall.SIGHUP) }

// Reload replaces the content of the configuration file, signals the program to reload it, and waits until logText has occurred in
// the log once more.
func (p *Program) Reload(config []byte, logText string) {
	p.t.Helper()
	p.WriteConfig(config)
	countBefore := strings.Count(p.Log(), logText)
	p.SignalReload()
	for deadline := time.Now().Add(waitTimeout); strings.Count(p.Log(), logText) == countBefore; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for %q in the log after a reload", logText)
		}
	}
}

// OpenDescriptors returns the number of file descriptors that the process has open.
func (p *Program) OpenDescriptors() int {
	p.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(open)
}

// Kill kills the process and waits until it has exited.
func (p *Program) Kill() {
	p.t.Helper()
	_ = p.Cmd.Process.Kill()
	p.AwaitExit()
}

// Terminate signals the program to shut down gracefully.
func (p *Program) Terminate() { _ = p.Cmd.Process.Signal(syscall.SIGTERM) }

// AwaitExit waits until the process has exited and returns the exit code.
func (p *Program) AwaitExit() int {
	p.t.Helper()
	return Next(p.t, p.Exited, "the program's exit")
}

// ExpectExit waits until the process has exited and checks the exit code.
func (p *Program) ExpectExit(code int) {
	p.t.Helper()
	if got := p.AwaitExit(); got != code {
		p.t.Errorf("exit code %d, want %d", got, code)
	}
}
