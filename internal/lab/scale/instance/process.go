// This file owns the measured program as a process: its log by line and time, its health, its processor time and memory.

package instance

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"thymechute/internal/lab/scale"
)

const (
	startLimit  = 20 * time.Second // from exec to the first good health check, at the most
	healthLimit = time.Second      // of one health check
	healthGap   = 2 * time.Millisecond
	mostLines   = 10_000 // of a log that are kept
	clockTick   = 10 * time.Millisecond
)

type logLine struct {
	at   time.Time
	text string
}

// process is the program under measurement; its log is kept, mostLines at most.
type process struct {
	listen, file string
	began        time.Time
	cmd          *exec.Cmd
	exited       chan struct{}
	more         chan struct{} // one slot, filled with each line
	mu           sync.Mutex
	lines        []logLine
}

// startError says why the program does not serve.
type startError struct{ why string }

func (e *startError) Error() string { return "the program did not start: " + e.why }

// startProcess starts the program with the configuration at that path.
func startProcess(program, file, listen string) (*process, error) {
	p := &process{listen: listen, file: file, exited: make(chan struct{}), more: make(chan struct{}, 1)}
	p.cmd = exec.Command(program)
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the measurement
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.began = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.exited)
		for in := bufio.NewScanner(log); in.Scan(); {
			p.took(in.Text())
		}
		_ = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) took(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) < mostLines {
		p.lines = append(p.lines, logLine{time.Now(), text})
	}
	select {
	case p.more <- struct{}{}:
	default:
	}
}

// logged is how many lines there are.
func (p *process) logged() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

func (p *process) find(from int, words []string) (logLine, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines[from:] {
		for _, word := range words {
			if strings.Contains(line.text, word) {
				return line, true
			}
		}
	}
	return logLine{}, false
}

// await waits for a line from the from-th on that holds one of the words; false: not within the limit.
func (p *process) await(ctx context.Context, from int, limit time.Duration, words ...string) (logLine, bool) {
	over := time.After(limit)
	for {
		if line, ok := p.find(from, words); ok {
			return line, true
		}
		select {
		case <-p.more:
		case <-p.exited:
			return p.find(from, words)
		case <-over:
			return logLine{}, false
		case <-ctx.Done():
			return logLine{}, false
		}
	}
}

func (p *process) reload() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// untilServing waits for the first health check that says so, and returns the time since exec.
func (p *process) untilServing(ctx context.Context) (time.Duration, error) {
	for time.Since(p.began) < startLimit && ctx.Err() == nil {
		if serving(p.listen) {
			return time.Since(p.began), nil
		}
		select {
		case <-p.exited:
			return 0, &startError{"it ended: " + p.log()}
		case <-time.After(healthGap):
		}
	}
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	return 0, &startError{fmt.Sprintf("not serving within %v: %s", startLimit, p.log())}
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var text strings.Builder
	for _, line := range p.lines {
		text.WriteString(line.text + "; ")
	}
	return text.String()
}

func serving(address string) bool {
	c, err := net.DialTimeout("tcp", address, healthLimit)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(healthLimit))
	fmt.Fprintln(c, `{"jsonrpc":"2.0","id":1,"method":"check"}`)
	var answer struct{ Result struct{ Serving bool } }
	return json.NewDecoder(c).Decode(&answer) == nil && answer.Result.Serving
}

// resident is the memory now, in megabytes.
func (p *process) resident() (float64, error) {
	held, err := scale.ProcessResidentBytes(p.cmd.Process.Pid)
	return float64(held) / (1 << 20), err
}

// peak is the most memory so far, in megabytes.
func (p *process) peak() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rest, _ := bytes.Cut(text, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(fields[0]), 64)
	return kb / 1024
}

// processor is the time used so far, to 10 ms.
func (p *process) processor() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// descriptors is how many are open.
func (p *process) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// end kills it: how it drains is no part of what is measured.
func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}
