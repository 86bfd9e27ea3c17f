package membership

import (
	"bufio"
	"fmt"
	"io"
	"maps"
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

// Environment variables of a member process.
const (
	childVariable   = "MEMBER_CHILD" // set: the test binary runs one member
	nameVariable    = "MEMBER_NAME"
	bindVariable    = "MEMBER_BIND"
	seedsVariable   = "MEMBER_SEEDS"   // separated by commas
	invalidVariable = "MEMBER_INVALID" // set: the member publishes an invalid record
	debugVariable   = "MEMBER_DEBUG"   // set: events and memberlist's log go to standard error
)

// Lines that a member process prints start with one of these words, followed by an argument.
const (
	viewLine     = "view"     // the names in its view, sorted and separated by commas
	rejectedLine = "rejected" // the name of a rejected peer
	errorLine    = "error"    // the error that ends the process
)

// maxChildLifetime bounds the lifetime of a member process that its parent does not end.
const maxChildLifetime = 60 * time.Second

// TestMain runs the tests or, with childVariable set, a member on loopback. The member prints its view after every change,
// until its standard input is closed or maxChildLifetime is over.
func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		runChild()
		return
	}
	os.Exit(m.Run())
}

// viewPrinter is the Watcher of a member process. It prints the view and the rejected peers.
type viewPrinter struct {
	mu     sync.Mutex // serializes the lines
	member *Member
	ready  chan struct{} // closed once member is set
}

func (p *viewPrinter) printView() {
	<-p.ready
	p.mu.Lock()
	defer p.mu.Unlock()
	names := slices.Sorted(maps.Keys(p.member.View()))
	fmt.Println(viewLine, strings.Join(names, ","))
}

// Joined implements Watcher.
func (p *viewPrinter) Joined(record Record) {
	p.debug("joined", record.Name)
	go p.printView()
}

// Updated implements Watcher.
func (p *viewPrinter) Updated(record Record) {
	p.debug("updated", record.Name)
	go p.printView()
}

// Left implements Watcher.
func (p *viewPrinter) Left(name string) {
	p.debug("left", name)
	go p.printView()
}

// Rejected implements Watcher.
func (p *viewPrinter) Rejected(name string, reason error) {
	p.debug("rejected "+reason.Error(), name)
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Println(rejectedLine, name)
}

func (p *viewPrinter) debug(event, name string) {
	if os.Getenv(debugVariable) != "" {
		fmt.Fprintln(os.Stderr, os.Getenv(nameVariable), event, name)
	}
}

// debugLog returns the output for memberlist's log lines; nil discards them.
func debugLog() io.Writer {
	if os.Getenv(debugVariable) != "" {
		return os.Stderr
	}
	return nil
}

// runChild is the main function of a member process.
func runChild() {
	time.AfterFunc(maxChildLifetime, func() { os.Exit(3) })
	var seeds []string
	if list := os.Getenv(seedsVariable); list != "" {
		seeds = strings.Split(list, ",")
	}
	if os.Getenv(invalidVariable) != "" {
		runInvalidMember(os.Getenv(nameVariable), os.Getenv(bindVariable), seeds)
		return
	}
	runMember(Config{
		Name: os.Getenv(nameVariable), Bind: os.Getenv(bindVariable), Seeds: seeds, MaxMembers: 16,
		ProbeInterval: 200 * time.Millisecond, SyncInterval: 500 * time.Millisecond,
		Record: Record{Zone: "z1", Rank: -1}, LogOutput: debugLog(),
	})
}

// runMember runs a member until its standard input is closed, and then leaves.
func runMember(config Config) {
	printer := &viewPrinter{ready: make(chan struct{})}
	member, err := Start(config, printer)
	exitOn(err)
	printer.member = member
	close(printer.ready)
	printer.printView()
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = member.Leave(time.Second)
}

// runInvalidMember runs memberlist directly, with an invalid record that the others must reject.
func runInvalidMember(name, bind string, seeds []string) {
	host, port, _ := net.SplitHostPort(bind)
	config := memberlist.DefaultLocalConfig()
	config.Name, config.BindAddr, config.AdvertiseAddr = name, host, host
	fmt.Sscan(port, &config.BindPort)
	config.AdvertisePort = config.BindPort
	config.LogOutput = io.Discard
	config.Delegate = invalidDelegate{}
	list, err := memberlist.Create(config)
	exitOn(err)
	_, _ = list.Join(seeds)
	fmt.Println(viewLine, "unknown")
	_, _ = io.Copy(io.Discard, os.Stdin)
	_ = list.Shutdown()
}

// exitOn ends a member process if err is not nil.
func exitOn(err error) {
	if err != nil {
		fmt.Println(errorLine, err)
		os.Exit(1)
	}
}

// invalidDelegate is a memberlist.Delegate that publishes another member's record.
type invalidDelegate struct{}

func (invalidDelegate) NodeMeta(int) []byte             { return []byte(`{"v":1,"name":"someone else"}`) }
func (invalidDelegate) NotifyMsg([]byte)                {}
func (invalidDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (invalidDelegate) LocalState(bool) []byte          { return nil }
func (invalidDelegate) MergeRemoteState([]byte, bool)   {}

// memberProcess is a member process, in its parent.
type memberProcess struct {
	bind  string
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// processFleet holds the member processes of a test, which are killed when the test ends, and what they have printed.
type processFleet struct {
	t         *testing.T
	processes map[string]*memberProcess // by name
	changed   chan struct{}             // signals that another line was read

	mu       sync.Mutex        // guards the fields below
	views    map[string]string // by name, as last printed
	rejected map[string]bool   // names that some member rejected
}

func newProcessFleet(t *testing.T) *processFleet {
	f := &processFleet{t: t, processes: map[string]*memberProcess{}, changed: make(chan struct{}, 1),
		views: map[string]string{}, rejected: map[string]bool{}}
	t.Cleanup(func() {
		for _, p := range f.processes {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	})
	return f
}

// freeAddress returns an address that is free for TCP and UDP on the n-th member's own loopback IP, 127.0.5.n. Thus neither
// its listeners nor its outgoing connections take a port of 127.0.0.1 that another test has chosen and is about to bind.
func freeAddress(t *testing.T, n int) string {
	return testutil.FreeAddressOn(t, fmt.Sprintf("127.0.5.%d", n))
}

// start starts a member process. environment is added to that of the test.
func (f *processFleet) start(name, bind string, seeds []string, environment ...string) {
	f.t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), childVariable+"=1", nameVariable+"="+name, bindVariable+"="+bind,
		seedsVariable+"="+strings.Join(seeds, ","))
	cmd.Env = append(cmd.Env, environment...)
	cmd.Stderr = os.Stderr
	stdin, _ := cmd.StdinPipe()
	stdout, _ := cmd.StdoutPipe()
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = &memberProcess{bind: bind, cmd: cmd, stdin: stdin}
	go f.readLines(name, stdout)
}

// readLines reads what a member process prints, until the process ends.
func (f *processFleet) readLines(name string, stdout io.Reader) {
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		f.handleLine(name, lines.Text())
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}
}

func (f *processFleet) handleLine(name, line string) {
	word, argument, _ := strings.Cut(line, " ")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch word {
	case viewLine:
		f.views[name] = argument
	case rejectedLine:
		f.rejected[argument] = true
	}
}

// waitFor waits until a condition on what the members have printed is met, and returns how long that took. The test fails
// after the timeout.
func (f *processFleet) waitFor(what string, timeout time.Duration, isMet func(views map[string]string, rejected map[string]bool) bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	expired := time.After(timeout)
	for {
		f.mu.Lock()
		ok := isMet(f.views, f.rejected)
		views := maps.Clone(f.views)
		f.mu.Unlock()
		if ok {
			return time.Since(start)
		}
		select {
		case <-f.changed:
		case <-expired:
			f.t.Fatalf("%s: not within %v; views %v", what, timeout, views)
		}
	}
}

// haveView returns the condition that the view of each named member is exactly want.
func haveView(names []string, want string) func(map[string]string, map[string]bool) bool {
	return func(views map[string]string, _ map[string]bool) bool {
		return !slices.ContainsFunc(names, func(name string) bool { return views[name] != want })
	}
}

func TestMembersConvergeThroughKillSuspensionInvalidMemberAndRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := newProcessFleet(t)
	names := []string{"m0", "m1", "m2", "m3", "m4"}
	first := freeAddress(t, 1)
	seeds := []string{first}
	f.start(names[0], first, nil)
	for n, name := range names[1:] {
		f.start(name, freeAddress(t, n+2), seeds)
	}
	took := f.waitFor("five agree", 10*time.Second, haveView(names, "m0,m1,m2,m3,m4"))
	t.Logf("five agreed in %v", took)

	f.start("invalid", freeAddress(t, 9), seeds, invalidVariable+"=1")
	f.waitFor("the invalid member is rejected", 10*time.Second, func(_ map[string]string, rejected map[string]bool) bool {
		return rejected["invalid"]
	})

	_ = f.processes["m4"].cmd.Process.Signal(syscall.SIGKILL)
	took = f.waitFor("m4 dead after SIGKILL", 10*time.Second, haveView(names[:4], "m0,m1,m2,m3"))
	t.Logf("a killed member was declared dead by all in %v", took)

	_ = f.processes["m3"].cmd.Process.Signal(syscall.SIGSTOP)
	took = f.waitFor("m3 dead while suspended", 10*time.Second, haveView(names[:3], "m0,m1,m2"))
	t.Logf("a suspended member was declared dead by all in %v", took)
	_ = f.processes["m3"].cmd.Process.Signal(syscall.SIGCONT)
	took = f.waitFor("m3 back after SIGCONT", 15*time.Second, haveView(names[:4], "m0,m1,m2,m3"))
	t.Logf("the resumed member was back in all views in %v", took)

	_ = f.processes["m4"].cmd.Wait()
	f.start("m4", f.processes["m4"].bind, seeds)
	took = f.waitFor("m4 back after a restart", 10*time.Second, haveView(names, "m0,m1,m2,m3,m4"))
	t.Logf("a restart under the same name was seen by all in %v", took)

	f.checkNotInAnyView("invalid")
	for _, p := range f.processes {
		p.stdin.Close() // the member leaves
	}
}

// checkNotInAnyView checks that no member has admitted the named peer.
func (f *processFleet) checkNotInAnyView(peer string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, view := range f.views {
		if strings.Contains(view, peer) {
			f.t.Errorf("%s admitted %s: view %s", name, peer, view)
		}
	}
}
