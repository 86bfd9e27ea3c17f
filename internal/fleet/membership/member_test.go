package membership

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"thymechute/internal/testutil"
)

// The test binary is also the member process: with MEMBER_CHILD set it runs one member on loopback and prints its
// view after every change, until its standard input closes or its time is up.
func TestMain(m *testing.M) {
	if os.Getenv("MEMBER_CHILD") != "" {
		child()
		return
	}
	os.Exit(m.Run())
}

type printer struct {
	mu     sync.Mutex
	member *Member
	ready  chan struct{}
}

func (p *printer) show() {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0)
	for n := range p.member.View() {
		names = append(names, n)
	}
	slices.Sort(names)
	fmt.Println("view", strings.Join(names, ","))
}
func (p *printer) Joined(r Record)  { p.note("joined", r.Name); go p.show() }
func (p *printer) Updated(r Record) { p.note("updated", r.Name); go p.show() }
func (p *printer) Left(name string) { p.note("left", name); go p.show() }

func (p *printer) note(what, name string) {
	if os.Getenv("MEMBER_DEBUG") != "" {
		fmt.Fprintln(os.Stderr, os.Getenv("MEMBER_NAME"), what, name)
	}
}
func (p *printer) Rejected(name string, why error) {
	p.note("rejected "+why.Error(), name)
	p.mu.Lock()
	fmt.Println("rejected", name)
	p.mu.Unlock()
}

func child() {
	name, bind := os.Getenv("MEMBER_NAME"), os.Getenv("MEMBER_BIND")
	var seeds []string
	if s := os.Getenv("MEMBER_SEEDS"); s != "" {
		seeds = strings.Split(s, ",")
	}
	go func() { time.Sleep(60 * time.Second); os.Exit(3) }() // bounded, whatever the parent does
	if os.Getenv("MEMBER_INVALID") != "" {
		runInvalidMember(name, bind, seeds)
		return
	}
	p := &printer{ready: make(chan struct{})}
	m, err := Start(Config{Name: name, Bind: bind, Seeds: seeds, MaxMembers: 16, ProbeInterval: 200 * time.Millisecond, SyncInterval: 500 * time.Millisecond,
		Record: Record{Zone: "z1", Rank: -1}, LogOutput: debugLog()}, p)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	p.member = m
	close(p.ready)
	p.show()
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = m.Leave(time.Second)
}

// runInvalidMember runs memberlist itself with an invalid record: the others must reject it.
func runInvalidMember(name, bind string, seeds []string) {
	host, port, _ := net.SplitHostPort(bind)
	lc := memberlist.DefaultLocalConfig()
	lc.Name, lc.BindAddr, lc.AdvertiseAddr = name, host, host
	fmt.Sscan(port, &lc.BindPort)
	lc.AdvertisePort = lc.BindPort
	lc.LogOutput = io.Discard
	lc.Delegate = garbage{}
	list, err := memberlist.Create(lc)
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	_, _ = list.Join(seeds)
	fmt.Println("view unknown")
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = list.Shutdown()
}

type garbage struct{}

func (garbage) NodeMeta(int) []byte             { return []byte(`{"v":1,"name":"someone else"}`) }
func (garbage) NotifyMsg([]byte)                {}
func (garbage) GetBroadcasts(int, int) [][]byte { return nil }
func (garbage) LocalState(bool) []byte          { return nil }
func (garbage) MergeRemoteState([]byte, bool)   {}

// proc is one member process as the parent sees it.
type proc struct {
	name, bind string
	cmd        *exec.Cmd
	stdin      io.WriteCloser
}

type fleet struct {
	t        *testing.T
	mu       sync.Mutex
	views    map[string]string // last view line of each
	rejected map[string]bool   // names that some member rejected
	changed  chan struct{}
	procs    map[string]*proc
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, views: map[string]string{}, rejected: map[string]bool{}, changed: make(chan struct{}, 1),
		procs: map[string]*proc{}}
	t.Cleanup(func() {
		for _, p := range f.procs {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	return f
}

// freeAddress is a port free for TCP and UDP on the n-th member's own loopback IP, 127.0.5.n: its sockets and its
// dials (from its bind address) never take a port of 127.0.0.1 that another test picked and is about to bind.
func freeAddress(t *testing.T, n int) string {
	return testutil.FreePort(t, fmt.Sprintf("127.0.5.%d", n))
}

func (f *fleet) start(name, bind string, invalid bool, seeds ...string) {
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), "MEMBER_CHILD=1", "MEMBER_NAME="+name, "MEMBER_BIND="+bind,
		"MEMBER_SEEDS="+strings.Join(seeds, ","))
	if invalid {
		cmd.Env = append(cmd.Env, "MEMBER_INVALID=1")
	}
	stdin, _ := cmd.StdinPipe()
	out, _ := cmd.StdoutPipe()
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = &proc{name, bind, cmd, stdin}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			what, rest, _ := strings.Cut(lines.Text(), " ")
			f.mu.Lock()
			switch what {
			case "view":
				f.views[name] = rest
			case "rejected":
				f.rejected[rest] = true
			}
			f.mu.Unlock()
			select {
			case f.changed <- struct{}{}:
			default:
			}
		}
	}()
}

// until waits for the views to say so, by their changes, for at most limit; it returns how long it took.
func (f *fleet) until(what string, limit time.Duration, holds func(views map[string]string, rejected map[string]bool) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	for {
		f.mu.Lock()
		ok := holds(f.views, f.rejected)
		snapshot, _ := json.Marshal(f.views)
		f.mu.Unlock()
		if ok {
			return time.Since(start)
		}
		select {
		case <-f.changed:
		case <-deadline.C:
			f.t.Fatalf("%s: not within %v; views %s", what, limit, snapshot)
		}
	}
}

// all holds when each named member's view is exactly want.
func all(names []string, want string) func(map[string]string, map[string]bool) bool {
	return func(views map[string]string, _ map[string]bool) bool {
		for _, n := range names {
			if views[n] != want {
				return false
			}
		}
		return true
	}
}

func TestMembersConvergeThroughKillStopInvalidMemberAndRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newFleet(t)
	names := []string{"m0", "m1", "m2", "m3", "m4"}
	first := freeAddress(t, 1)
	for i, n := range names {
		bind := first
		if i > 0 {
			bind = freeAddress(t, i+1)
			f.start(n, bind, false, first)
			continue
		}
		f.start(n, bind, false)
	}
	took := f.until("five agree", 10*time.Second, all(names, "m0,m1,m2,m3,m4"))
	t.Logf("five agreed in %v", took)

	f.start("invalid", freeAddress(t, 9), true, first)
	f.until("the invalid member is rejected", 10*time.Second, func(_ map[string]string, rejected map[string]bool) bool { return rejected["invalid"] })

	_ = f.procs["m4"].cmd.Process.Signal(syscall.SIGKILL)
	took = f.until("m4 dead after kill -9", 10*time.Second, all(names[:4], "m0,m1,m2,m3"))
	t.Logf("kill -9 seen by all in %v", took)

	_ = f.procs["m3"].cmd.Process.Signal(syscall.SIGSTOP)
	took = f.until("m3 dead while stopped", 10*time.Second, all(names[:3], "m0,m1,m2"))
	t.Logf("a stopped member was declared dead in %v", took)
	_ = f.procs["m3"].cmd.Process.Signal(syscall.SIGCONT)
	took = f.until("m3 back after SIGCONT", 15*time.Second, all(names[:4], "m0,m1,m2,m3"))
	t.Logf("it was back in %v", took)

	_ = f.procs["m4"].cmd.Wait()
	f.start("m4", f.procs["m4"].bind, false, first)
	took = f.until("m4 back after a restart", 10*time.Second, all(names, "m0,m1,m2,m3,m4"))
	t.Logf("a restart under the same name was seen in %v", took)

	f.mu.Lock()
	for n, v := range f.views {
		if strings.Contains(v, "invalid") {
			t.Errorf("%s admitted the invalid member: %s", n, v)
		}
	}
	f.mu.Unlock()
	for _, p := range f.procs { // a clean leave: each ends by itself
		p.stdin.Close()
	}
}

func debugLog() io.Writer {
	if os.Getenv("MEMBER_DEBUG") != "" {
		return os.Stderr
	}
	return nil
}
