package instance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"thymechute/internal/lab/procfs"
)

const (
	startTimeout        = 20 * time.Second // from exec to the first successful health check
	healthCheckTimeout  = time.Second      // for one health check
	healthCheckInterval = 2 * time.Millisecond
	maxLogLines         = 10_000 // stored lines; further ones are dropped
	bytesPerMB          = 1 << 20
)

// logLine is a line of the program's log and the time at which it was read.
type logLine struct {
	at   time.Time
	text string
}

// process is the measured program, with up to maxLogLines of its log.
type process struct {
	listen, file string
	startTime    time.Time
	cmd          *exec.Cmd
	exited       chan struct{}
	lineAdded    chan struct{} // capacity 1, signalled for each line
	mu           sync.Mutex
	lines        []logLine
}

// startError reports that the program did not serve within startTimeout.
type startError struct{ reason string }

func (e *startError) Error() string { return "the program did not start: " + e.reason }

// startProcess starts the program with the configuration file at that path. The kernel kills the program if this process ends.
func startProcess(program, file, listen string) (*process, error) {
	p := &process{listen: listen, file: file, exited: make(chan struct{}), lineAdded: make(chan struct{}, 1)}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.startTime = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.exited)
		for in := bufio.NewScanner(log); in.Scan(); {
			p.appendLog(in.Text())
		}
		_ = p.cmd.Wait()
	}()
	return p, nil
}

// appendLog stores a line of the log and wakes awaitLine.
func (p *process) appendLog(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) < maxLogLines {
		p.lines = append(p.lines, logLine{time.Now(), text})
	}
	select {
	case p.lineAdded <- struct{}{}:
	default:
	}
}

// lineCount returns the number of stored log lines.
func (p *process) lineCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

// findLine returns the first log line, starting at index from, that contains one of the phrases.
func (p *process) findLine(from int, phrases []string) (logLine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines[from:] {
		for _, phrase := range phrases {
			if strings.Contains(line.text, phrase) {
				return line, true
			}
		}
	}
	return logLine{}, false
}

// awaitLine waits for a log line, starting at index from, that contains one of the phrases. ok is false if there is none within limit.
func (p *process) awaitLine(ctx context.Context, from int, limit time.Duration, phrases ...string) (logLine, bool) {
	timeout := time.After(limit)
	for {
		if line, ok := p.findLine(from, phrases); ok {
			return line, true
		}
		select {
		case <-p.lineAdded:
		case <-p.exited:
			return p.findLine(from, phrases)
		case <-timeout:
			return logLine{}, false
		case <-ctx.Done():
			return logLine{}, false
		}
	}
}

// signalReload makes the program reload its configuration.
func (p *process) signalReload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// waitUntilServing waits for the first successful health check and returns the time since exec. It fails with a *startError, or with
// the context's error.
func (p *process) waitUntilServing(ctx context.Context) (time.Duration, error) {
	for time.Since(p.startTime) < startTimeout && ctx.Err() == nil {
		if isServing(p.listen) {
			return time.Since(p.startTime), nil
		}
		select {
		case <-p.exited:
			return 0, &startError{"process exited, log: " + p.logText()}
		case <-time.After(healthCheckInterval):
		}
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	return 0, &startError{fmt.Sprintf("no successful health check within %v, log: %s", startTimeout, p.logText())}
}

// logText returns the stored log in one line.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var text strings.Builder
	for _, line := range p.lines {
		text.WriteString(line.text + "; ")
	}
	return text.String()
}

// isServing reports whether one health check succeeds.
func isServing(address string) bool {
	c, err := net.DialTimeout("tcp", address, healthCheckTimeout)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(healthCheckTimeout))
	fmt.Fprintln(c, `{"jsonrpc":"2.0","id":1,"method":"check"}`)
	var answer struct{ Result struct{ Serving bool } }
	return json.NewDecoder(c).Decode(&answer) == nil && answer.Result.Serving
}

// residentMB returns the current resident memory in megabytes.
func (p *process) residentMB() (float64, error) {
	resident, err := procfs.ResidentBytes(p.cmd.Process.Pid)
	return float64(resident) / bytesPerMB, err
}

// peakMB returns the peak resident memory in megabytes; 0 if the process has ended.
func (p *process) peakMB() float64 {
	peak, err := procfs.PeakResidentBytes(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return float64(peak) / bytesPerMB
}

// cpuTime returns the CPU time used so far, in steps of 10 ms; 0 if the process has ended.
func (p *process) cpuTime() time.Duration {
	used, err := procfs.CPUTime(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return used
}

// descriptorCount returns the number of open file descriptors; 0 if the process has ended.
func (p *process) descriptorCount() int {
	count, err := procfs.DescriptorCount(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return count
}

// kill kills the program and waits for its end. Its graceful shutdown is not measured.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
