// This file owns the program as a process.

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

// Program is the program as a process.
type Program struct {
	t      *testing.T
	Cmd    *exec.Cmd
	mu     sync.Mutex
	log    bytes.Buffer
	Exited chan int
	file   string // its configuration
}

// Replace puts this text in place of the configuration file's, and says nothing of it.
func (p *Program) Replace(text []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// Reload replaces the configuration file's text and says so, then waits for a new line of the log with these words.
func (p *Program) Reload(text []byte, words string) {
	p.t.Helper()
	p.Replace(text)
	before := strings.Count(p.Log(), words)
	_ = p.Cmd.Process.Signal(syscall.SIGHUP)
	for end := time.Now().Add(patience); strings.Count(p.Log(), words) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("the log does not say %q", words)
		}
	}
}

var built struct {
	once sync.Once
	path string
	err  error
}

// Built is the path of the program, which is built once.
func Built(t *testing.T) string {
	t.Helper()
	built.once.Do(func() {
		dir, err := os.MkdirTemp("", "thymechute")
		if err != nil {
			built.err = err
			return
		}
		built.path = filepath.Join(dir, "thymechute")
		args := append(strings.Fields("build -ldflags=-linkmode=external -o "+built.path), strings.Fields(os.Getenv("THYMECHUTE_BUILD"))...)
		if out, err := exec.Command("go", append(args, "thymechute/cmd/thymechute")...).CombinedOutput(); err != nil {
			built.err = fmt.Errorf("%v: %s", err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.path
}

// Start builds the program once and starts it with this configuration.
func Start(t *testing.T, given map[string]any) *Program {
	t.Helper()
	return StartWith(t, given, nil)
}

// StartWith logs to the file instead of into the Program's memory; args go on its command line.
func StartWith(t *testing.T, given map[string]any, log *os.File, args ...string) *Program {
	t.Helper()
	p := &Program{t: t, file: filepath.Join(t.TempDir(), "config.json")}
	text, err := json.Marshal(given)
	if err != nil {
		t.Fatal(err)
	}
	p.Replace(text)
	p.start(log, args...)
	return p
}

// StartFrom starts the program with the configuration at that path.
func StartFrom(t *testing.T, path string) *Program {
	t.Helper()
	p := &Program{t: t, file: path}
	p.start(nil)
	return p
}

func (p *Program) start(log *os.File, args ...string) {
	p.t.Helper()
	p.Cmd, p.Exited = exec.Command(Built(p.t), args...), make(chan int, 1)
	p.Cmd.Env = append(os.Environ(), "GW_CONFIG="+p.file)
	if p.Cmd.Stderr = p; log != nil {
		p.Cmd.Stderr = log
	}
	if err := p.Cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.Cmd.Wait()
		p.Exited <- p.Cmd.ProcessState.ExitCode()
	}()
	p.t.Cleanup(func() {
		_ = p.Cmd.Process.Kill()
		if log := p.Log(); p.t.Failed() || strings.Contains(log, "DATA RACE") || strings.Contains(log, "panic") {
			p.t.Error(log)
		}
	})
}

func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log is what it has logged so far.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Kill ends it outright, and waits for that.
func (p *Program) Kill() {
	p.t.Helper()
	_ = p.Cmd.Process.Kill()
	p.Exit()
}

// Descriptors is how many the process has open.
func (p *Program) Descriptors() int {
	p.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(open)
}

// Term sends the notice to leave.
func (p *Program) Term() { _ = p.Cmd.Process.Signal(syscall.SIGTERM) }

// Exit waits for the end and returns the exit code.
func (p *Program) Exit() int {
	p.t.Helper()
	return Next(p.t, p.Exited, "the program's end")
}

// EndsWith waits for the end, and checks the exit code.
func (p *Program) EndsWith(code int) {
	p.t.Helper()
	if found := p.Exit(); found != code {
		p.t.Errorf("exit code %d, expected %d", found, code)
	}
}
