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

// The environment variables of a member. The names of those for a port have its index appended, such as CLUSTER_BIND0.
const (
	MemberNameVariable  = "CLUSTER_MEMBER" // name of the member; set only in the processes of members
	MemberBindVariable  = "CLUSTER_BIND"   // address to bind, for each port
	MemberProxyVariable = "CLUSTER_PROXY"  // address at which other members reach it through the fault network, for each port
	MemberSeedVariable  = "CLUSTER_SEED"   // address of port 0 of the first other member, to join; unset for the first member
)

const (
	clusterWaitTimeout = 25 * time.Second // after which WaitFor fails its test
	maxReportedEvents  = 20               // last events in the message of a failed WaitFor
)

// Cluster runs processes of the test's own binary as members that reach each other through a fault network. Each process writes
// events of type E to its standard output, one JSON object per line. All processes are killed at the end of the test. The methods
// may be called from any goroutine.
type Cluster[E any] struct {
	Net       *faultnet.Network
	t         testing.TB
	subnet    int // members bind 127.0.<subnet>.n, their proxies 127.0.<subnet+1>.n
	ports     int // number of ports of each member
	setMember func(event *E, name string)
	newEvent  chan struct{} // signals that events has grown; for one waiting test

	mu      sync.Mutex // guards the fields below
	events  []E
	members map[string]*clusterMember
	names   []string // in the order of their first start
}

// clusterMember is one member. It keeps its addresses when it is restarted.
type clusterMember struct {
	bindAddresses  []string // that it binds, one for each port
	proxyAddresses []string // at which other members reach it, one for each port
	process        *exec.Cmd
	stdin          io.Closer     // closed when the test's process exits
	exited         chan struct{} // closed when process has exited
}

// NewCluster returns a cluster without members. Each member has the given number of ports, on loopback addresses of the subnet
// and, for the proxies, of subnet+1. setMember sets in an event the name of the member that wrote it.
func NewCluster[E any](t testing.TB, subnet, ports int, setMember func(event *E, name string)) *Cluster[E] {
	c := &Cluster[E]{
		Net:       faultnet.New(1),
		t:         t,
		subnet:    subnet,
		ports:     ports,
		setMember: setMember,
		newEvent:  make(chan struct{}, 1),
		members:   map[string]*clusterMember{},
	}
	t.Cleanup(func() {
		for _, name := range c.Names() {
			c.Kill(name)
		}
		c.Net.Close()
	})
	return c
}

// FreeAddressOn returns an address on a loopback IP with a port that is free for TCP and UDP.
func FreeAddressOn(t testing.TB, ip string) string {
	address, err := faultnet.FreeAddress(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// StartMemberProxy starts a proxy of the fault network for the nth member. It returns a free address for the member to bind, on
// 127.0.<subnet>.n, and the proxy's address at which the others reach it, on 127.0.<subnet+1>.n.
func StartMemberProxy(t testing.TB, network *faultnet.Network, name string, subnet, n int) (bind, proxy string) {
	bind = FreeAddressOn(t, fmt.Sprintf("127.0.%d.%d", subnet, n))
	proxy = FreeAddressOn(t, fmt.Sprintf("127.0.%d.%d", subnet+1, n))
	if err := network.StartProxy(name, bind, proxy); err != nil {
		t.Fatal(err)
	}
	return bind, proxy
}

// Start starts a new process of a member, without state of an earlier one. A restarted member keeps its addresses. environment
// holds further variables for the process.
func (c *Cluster[E]) Start(name string, environment ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	if m == nil {
		m = c.addMember(name)
	}
	m.process = exec.Command(os.Args[0], "-test.run=^$")
	m.process.Env = append(append(os.Environ(), c.environment(name)...), environment...)
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.process.Stderr = os.Stderr
	stdin, stdinErr := m.process.StdinPipe()
	stdout, stdoutErr := m.process.StdoutPipe()
	if stdinErr != nil || stdoutErr != nil {
		c.t.Fatal(stdinErr, stdoutErr)
	}
	if err := m.process.Start(); err != nil {
		c.t.Fatal(err)
	}
	m.stdin = stdin
	m.exited = make(chan struct{})
	go c.readEvents(name, stdout, m.process, m.exited)
}

// addMember adds a member and starts its proxies; c.mu must be locked.
func (c *Cluster[E]) addMember(name string) *clusterMember {
	m := &clusterMember{}
	n := len(c.names) + 1
	for range c.ports {
		bind, proxy := StartMemberProxy(c.t, c.Net, name, c.subnet, n)
		m.bindAddresses = append(m.bindAddresses, bind)
		m.proxyAddresses = append(m.proxyAddresses, proxy)
	}
	c.members[name] = m
	c.names = append(c.names, name)
	return m
}

// environment returns the environment variables of a member; c.mu must be locked.
func (c *Cluster[E]) environment(name string) []string {
	m := c.members[name]
	variables := []string{MemberNameVariable + "=" + name}
	for port := range c.ports {
		variables = append(variables, fmt.Sprintf("%s%d=%s", MemberBindVariable, port, m.bindAddresses[port]),
			fmt.Sprintf("%s%d=%s", MemberProxyVariable, port, m.proxyAddresses[port]))
	}
	if n := slices.IndexFunc(c.names, func(other string) bool { return other != name }); n >= 0 {
		variables = append(variables, MemberSeedVariable+"="+c.members[c.names[n]].proxyAddresses[0])
	}
	return variables
}

// readEvents collects the events of a process until it exits. Lines that are not events are skipped.
func (c *Cluster[E]) readEvents(name string, stdout io.Reader, process *exec.Cmd, exited chan<- struct{}) {
	defer close(exited)
	defer func() { _ = process.Wait() }()
	for lines := bufio.NewScanner(stdout); lines.Scan(); {
		var event E
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		c.setMember(&event, name)
		c.mu.Lock()
		c.events = append(c.events, event)
		c.mu.Unlock()
		select {
		case c.newEvent <- struct{}{}:
		default:
		}
	}
}

// Signal sends a signal to a member's process.
func (c *Cluster[E]) Signal(name string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.members[name].process.Process.Signal(s)
}

// Kill kills a member's process and waits until it has exited.
func (c *Cluster[E]) Kill(name string) {
	c.Signal(name, syscall.SIGKILL)
	<-c.Exited(name)
}

// Exited returns a channel that is closed when the member's current process has exited.
func (c *Cluster[E]) Exited(name string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name].exited
}

// Names returns the names of all members in the order of their first start.
func (c *Cluster[E]) Names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.names)
}

// EventCount returns the number of events so far.
func (c *Cluster[E]) EventCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.events)
}

// Events returns a copy of all events so far.
func (c *Cluster[E]) Events() []E {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Last returns the last matching event so far, or the zero event.
func (c *Cluster[E]) Last(matches func(E) bool) (last E) {
	for _, event := range c.Events() {
		if matches(event) {
			last = event
		}
	}
	return last
}

// WaitFor returns the first matching event from the index first on, and waits for it if necessary. The test fails after
// clusterWaitTimeout.
func (c *Cluster[E]) WaitFor(description string, first int, matches func(E) bool) E {
	c.t.Helper()
	timeout := time.After(clusterWaitTimeout)
	for {
		events := c.Events()
		for _, event := range events[first:] {
			if matches(event) {
				return event
			}
		}
		first = len(events)
		select {
		case <-c.newEvent:
		case <-timeout:
			c.t.Fatalf("timed out waiting for: %s; last events: %+v", description, events[max(len(events)-maxReportedEvents, 0):])
		}
	}
}
