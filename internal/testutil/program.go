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

// buildFlagsVariable names the environment variable with further flags for building the program, such as -race.
const buildFlagsVariable = "THYMECHUTE_BUILD"

// Program is the program as a process.
type Program struct {
	t          *testing.T
	Cmd        *exec.Cmd
	Exited     chan int // receives the exit code
	configPath string
	mu         sync.Mutex
	log        bytes.Buffer
}

// ProgramOptions are the options of StartProgramWith.
type ProgramOptions struct {
	Log  *os.File // standard error; nil collects it for Program.Log
	Args []string // of the command line
}

// builtProgram is the executable, which is built once per test binary.
var builtProgram struct {
	once sync.Once
	path string
	err  error
}

// BuildProgram builds the program at its first call, and returns the path of the executable.
func BuildProgram(t *testing.T) string {
	t.Helper()
	builtProgram.once.Do(func() { builtProgram.path, builtProgram.err = buildProgram() })
	if builtProgram.err != nil {
		t.Fatal(builtProgram.err)
	}
	return builtProgram.path
}

func buildProgram() (path string, err error) {
	folder, err := os.MkdirTemp("", "thymechute")
	if err != nil {
		return "", err
	}
	path = filepath.Join(folder, "thymechute")
	args := []string{"build", "-ldflags=-linkmode=external", "-o", path}
	args = append(args, strings.Fields(os.Getenv(buildFlagsVariable))...)
	args = append(args, "thymechute/cmd/thymechute")
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// StartProgram starts the program with this configuration.
func StartProgram(t *testing.T, config map[string]any) *Program {
	t.Helper()
	return StartProgramWith(t, config, ProgramOptions{})
}

// StartProgramWith starts the program with this configuration and the options.
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

// StartProgramFromFile starts the program with the configuration at that path.
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

// cleanUp kills the process. It reports the log if the test failed, and fails the test over a data race or a panic.
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

// Log returns what the program has logged so far.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// WriteConfig replaces the content of the configuration file without a signal to the program.
func (p *Program) WriteConfig(text []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// SignalReload makes the program read its configuration file again.
func (p *Program) SignalReload() { _ = p.Cmd.Process.Signal(syscall.SIGHUP) }

// Reload replaces the content of the configuration file, makes the program read it, and waits for one more occurrence of
// the words in its log.
func (p *Program) Reload(text []byte, words string) {
	p.t.Helper()
	p.WriteConfig(text)
	before := strings.Count(p.Log(), words)
	p.SignalReload()
	for deadline := time.Now().Add(waitTimeout); strings.Count(p.Log(), words) == before; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			p.t.Fatalf("the log does not contain %q", words)
		}
	}
}

// OpenDescriptors returns how many file descriptors the process has open.
func (p *Program) OpenDescriptors() int {
	p.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(open)
}

// Kill kills the process and waits for its end.
func (p *Program) Kill() {
	p.t.Helper()
	_ = p.Cmd.Process.Kill()
	p.AwaitExit()
}

// Terminate starts a graceful shutdown.
func (p *Program) Terminate() { _ = p.Cmd.Process.Signal(syscall.SIGTERM) }

// AwaitExit waits for the end of the process and returns the exit code.
func (p *Program) AwaitExit() int {
	p.t.Helper()
	return Next(p.t, p.Exited, "the program's end")
}

// ExpectExit waits for the end of the process and checks the exit code.
func (p *Program) ExpectExit(code int) {
	p.t.Helper()
	if found := p.AwaitExit(); found != code {
		p.t.Errorf("exit code %d, expected %d", found, code)
	}
}
