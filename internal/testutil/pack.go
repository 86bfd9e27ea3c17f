// This file owns packs: several processes of a test's own binary behind a fault network, that tell what they do in
// lines of JSON. It must never leave a process behind, nor wait without a bound.

package testutil

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/fake/faultnet"
)

// Pack is such processes; L is a line of theirs.
type Pack[L any] struct {
	Net    *faultnet.Network
	t      testing.TB
	octet  int // members bind 127.0.octet.n, their proxies stand at 127.0.octet+1.n
	ports  int
	from   func(l *L, name string)
	mu     sync.Mutex
	lines  []L
	more   chan struct{}
	runs   map[string]*exec.Cmd
	stdin  map[string]io.Closer
	ended  map[string]chan struct{}
	binds  map[string][]string
	fronts map[string][]string
	order  []string
}

// NewPack prepares one of members with so many ports each; from notes on a line whose it is. It ends with the test.
func NewPack[L any](t testing.TB, octet, ports int, from func(l *L, name string)) *Pack[L] {
	p := &Pack[L]{Net: faultnet.New(1), t: t, octet: octet, ports: ports, from: from, more: make(chan struct{}, 1),
		runs: map[string]*exec.Cmd{}, stdin: map[string]io.Closer{}, ended: map[string]chan struct{}{}, binds: map[string][]string{}, fronts: map[string][]string{}}
	t.Cleanup(func() {
		for _, name := range p.Names() {
			p.Kill(name)
		}
		p.Net.Close()
	})
	return p
}

// FreePort is an address on a loopback IP with a port free for TCP and UDP both.
func FreePort(t testing.TB, ip string) string {
	address, err := faultnet.FreeAddress(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// Start starts the test's binary as a member, cold; under a name it had before, at the same addresses. It is told by
// its environment: PACK_NAME, PACK_BIND0, PACK_FRONT0 and so on, PACK_SEED (the first other member's first front), and more.
func (p *Pack[L]) Start(name string, more ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.binds[name] == nil {
		n := len(p.order) + 1
		p.order = append(p.order, name)
		for k := range p.ports {
			p.binds[name] = append(p.binds[name], FreePort(p.t, fmt.Sprintf("127.0.%d.%d", p.octet, n)))
			p.fronts[name] = append(p.fronts[name], FreePort(p.t, fmt.Sprintf("127.0.%d.%d", p.octet+1, n)))
			if err := p.Net.StartProxy(name, p.binds[name][k], p.fronts[name][k]); err != nil {
				p.t.Fatal(err)
			}
		}
	}
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(append(os.Environ(), "PACK_NAME="+name), more...)
	for k := range p.ports {
		cmd.Env = append(cmd.Env, fmt.Sprintf("PACK_BIND%d=%s", k, p.binds[name][k]), fmt.Sprintf("PACK_FRONT%d=%s", k, p.fronts[name][k]))
	}
	if at := slices.IndexFunc(p.order, func(other string) bool { return other != name }); at >= 0 {
		cmd.Env = append(cmd.Env, "PACK_SEED="+p.fronts[p.order[at]][0])
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	stdin, err1 := cmd.StdinPipe()
	out, err2 := cmd.StdoutPipe()
	if err1 != nil || err2 != nil {
		p.t.Fatal(err1, err2)
	}
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.runs[name], p.stdin[name], p.ended[name] = cmd, stdin, ended
	go func() {
		defer close(ended)
		defer func() { _ = cmd.Wait() }()
		for in := bufio.NewScanner(out); in.Scan(); {
			var l L
			if json.Unmarshal(in.Bytes(), &l) == nil {
				p.from(&l, name)
				p.mu.Lock()
				p.lines = append(p.lines, l)
				p.mu.Unlock()
				select {
				case p.more <- struct{}{}:
				default:
				}
			}
		}
	}()
}

// Signal sends a member a signal; Kill ends it outright.
func (p *Pack[L]) Signal(name string, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.runs[name].Process.Signal(s)
}

// Kill ends a member outright.
func (p *Pack[L]) Kill(name string) {
	p.Signal(name, syscall.SIGKILL)
	<-p.Ended(name)
}

// Ended is closed once the process that runs under this name now has ended.
func (p *Pack[L]) Ended(name string) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended[name]
}

// Names are all members started so far, in their order.
func (p *Pack[L]) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.order)
}

// Told is how many lines there are.
func (p *Pack[L]) Told() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

// Lines is a copy of all lines.
func (p *Pack[L]) Lines() []L {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

// Last is the last line that holds, the zero line where none does.
func (p *Pack[L]) Last(holds func(L) bool) (last L) {
	for _, l := range p.Lines() {
		if holds(l) {
			last = l
		}
	}
	return last
}

// Until waits for a line from the from-th on that holds; past 25 s the test fails, with what why tells of all lines.
func (p *Pack[L]) Until(what string, from int, holds func(L) bool) L {
	p.t.Helper()
	limit := time.After(25 * time.Second)
	for {
		lines := p.Lines()
		for _, l := range lines[from:] {
			if holds(l) {
				return l
			}
		}
		from = len(lines)
		select {
		case <-p.more:
		case <-limit:
			p.t.Fatalf("no %s; the last lines: %+v", what, lines[max(len(lines)-20, 0):])
		}
	}
}
