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

// The environment of a cluster's member. Its numbered variables have the port's number appended.
const (
	MemberNameVariable  = "CLUSTER_MEMBER" // set in members only
	MemberBindVariable  = "CLUSTER_BIND"   // address to bind
	MemberProxyVariable = "CLUSTER_PROXY"  // address at which others reach it, through the fault network
	MemberSeedVariable  = "CLUSTER_SEED"   // proxy 0 of the first other member; unset for the first
)

const (
	clusterWaitTimeout = 25 * time.Second
	maxReportedEvents  = 20 // last events in the message of a failed wait
)

// Cluster runs several processes of the test's own binary behind a fault network. Each process writes events of type E to its
// standard output, one JSON object a line. All processes are killed at the end of the test. Its methods may be called from any
// goroutine.
type Cluster[E any] struct {
	Net       *faultnet.Network
	t         testing.TB
	subnet    int // members bind 127.0.subnet.n, their proxies 127.0.subnet+1.n
	ports     int // number of ports of each member
	setMember func(event *E, name string)
	newEvent  chan struct{}

	mu      sync.Mutex // guards all below
	events  []E
	members map[string]*clusterMember
	names   []string // in the order of their first start
}

// clusterMember is one member. Its addresses stay the same when it is started again.
type clusterMember struct {
	binds   []string // addresses that it binds, one for each port
	proxies []string // addresses at which others reach it
	process *exec.Cmd
	stdin   io.Closer     // closed with the test's process
	exited  chan struct{} // closed when the process has exited
}

// NewCluster returns a cluster without members. Each member gets that many ports on addresses of the subnet; setMember sets the
// name of the member that wrote an event.
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

// StartMemberProxy chooses an address to bind for a member, 127.0.subnet.n, and one at which others reach it through the fault
// network, 127.0.subnet+1.n.
func StartMemberProxy(t testing.TB, network *faultnet.Network, name string, subnet, n int) (bind, proxy string) {
	bind = FreeAddressOn(t, fmt.Sprintf("127.0.%d.%d", subnet, n))
	proxy = FreeAddressOn(t, fmt.Sprintf("127.0.%d.%d", subnet+1, n))
	if err := network.StartProxy(name, bind, proxy); err != nil {
		t.Fatal(err)
	}
	return bind, proxy
}

// Start starts a member without any state. A name that was started before gets the same addresses again. environment is added
// to the variables above.
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

// addMember chooses the addresses of a new member; c.mu must be locked.
func (c *Cluster[E]) addMember(name string) *clusterMember {
	m := &clusterMember{}
	n := len(c.names) + 1
	for range c.ports {
		bind, proxy := StartMemberProxy(c.t, c.Net, name, c.subnet, n)
		m.binds = append(m.binds, bind)
		m.proxies = append(m.proxies, proxy)
	}
	c.members[name] = m
	c.names = append(c.names, name)
	return m
}

// environment returns the variables of a member; c.mu must be locked.
func (c *Cluster[E]) environment(name string) []string {
	m := c.members[name]
	variables := []string{MemberNameVariable + "=" + name}
	for port := range c.ports {
		variables = append(variables, fmt.Sprintf("%s%d=%s", MemberBindVariable, port, m.binds[port]),
			fmt.Sprintf("%s%d=%s", MemberProxyVariable, port, m.proxies[port]))
	}
	if n := slices.IndexFunc(c.names, func(other string) bool { return other != name }); n >= 0 {
		variables = append(variables, MemberSeedVariable+"="+c.members[c.names[n]].proxies[0])
	}
	return variables
}

// readEvents collects a process's events until it exits.
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

// Signal sends a signal to a member.
func (c *Cluster[E]) Signal(name string, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.members[name].process.Process.Signal(s)
}

// Kill kills a member and waits until it has exited.
func (c *Cluster[E]) Kill(name string) {
	c.Signal(name, syscall.SIGKILL)
	<-c.Exited(name)
}

// Exited returns a channel that is closed when the present process of that name has exited.
func (c *Cluster[E]) Exited(name string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[name].exited
}

// Names returns all members in the order of their first start.
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

// Last returns the last event that matches, or the zero event.
func (c *Cluster[E]) Last(matches func(E) bool) (last E) {
	for _, event := range c.Events() {
		if matches(event) {
			last = event
		}
	}
	return last
}

// WaitFor returns the first matching event with an index of at least first, and waits for it if necessary. After clusterWaitTimeout the
// test fails.
func (c *Cluster[E]) WaitFor(what string, first int, matches func(E) bool) E {
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
			c.t.Fatalf("no %s; the last events: %+v", what, events[max(len(events)-maxReportedEvents, 0):])
		}
	}
}
