// Package member runs a test's own binary as a member of a testutil.Cluster: gossip membership and the replicated log over
// loopback, wired as in the program, with terms for tests (leases of a second, health checks each 200 ms).
//
// It is no part of package testutil, which the tests of the packages that it imports use. Only tests import it.
package member

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/testutil"
)

// BootstrapVariable is set in the environment of the member that bootstraps the log.
const BootstrapVariable = "CLUSTER_FOUNDER"

const (
	maxLifetime         = 100 * time.Second // of a member, whatever its parent does
	lifetimeExitCode    = 3
	maxMembers          = 32
	healthCheckInterval = 200 * time.Millisecond
	exchangeInterval    = 500 * time.Millisecond
	heartbeatTimeout    = 300 * time.Millisecond

	// Indexes of a member's ports in its Cluster.
	membershipPort, logPort = 0, 1
	// PortCount is the number of ports of each member.
	PortCount = 2
)

var (
	// LeaseConfig is that of the log's leases.
	LeaseConfig = lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}
	// VoterConfig is that of the log's voters.
	VoterConfig = quorum.Config{MaxVoters: 5, MinAge: 300 * time.Millisecond, HoldDown: 2 * time.Second}
)

// Main runs a test binary: run, if a Cluster started it as a member, else its tests.
func Main(m *testing.M, run func(*Member)) {
	name := os.Getenv(testutil.MemberNameVariable)
	if name == "" {
		os.Exit(m.Run())
	}
	time.AfterFunc(maxLifetime, func() { os.Exit(lifetimeExitCode) })
	run(newMember(name))
}

// Member is one member of a cluster, in its process.
type Member struct {
	Name        string
	Process     string // Name with Incarnation
	Incarnation uint64
	Membership  *membership.Member // set by Join

	driver atomic.Pointer[consensus.Driver]
	joined chan struct{} // closed once the log has started
	output sync.Mutex

	recordMutex sync.Mutex // guards record
	record      membership.Record
}

func newMember(name string) *Member {
	incarnation := uint64(time.Now().UnixNano())
	return &Member{Name: name, Process: fmt.Sprintf("%s#%x", name, incarnation), Incarnation: incarnation, joined: make(chan struct{})}
}

// Config is how a member joins.
type Config struct {
	Record        membership.Record // its Process, LogAddress and Rank are filled in
	Duties        []string          // leases in the log
	StateMachine  consensus.StateMachine
	Watcher       consensus.Watcher
	OnVoterChange func(quorum.Change) // as the log's leader changes them
}

// Join joins the gossip membership and the log. The process exits if it can't.
func (m *Member) Join(c Config) {
	m.record = c.Record
	m.record.Process, m.record.LogAddress, m.record.Rank = m.Process, proxy(logPort), -1
	var err error
	m.Membership, err = membership.Start(membership.Config{
		Name: m.Name, Bind: bind(membershipPort), Advertise: proxy(membershipPort), Seeds: seeds(), MaxMembers: maxMembers,
		ProbeInterval: healthCheckInterval, SyncInterval: exchangeInterval, Record: m.record, OnMessage: m.receive,
	}, ignoredEvents{})
	m.ExitOn(err)
	driver, err := consensus.StartDriver(consensus.DriverConfig{
		Log: consensus.Config{
			Process: m.Process, Bind: bind(logPort), Advertise: proxy(logPort), Bootstrap: os.Getenv(BootstrapVariable) != "",
			Duties: c.Duties, HeartbeatTimeout: heartbeatTimeout, StateMachine: c.StateMachine,
		},
		Leases: LeaseConfig, Incarnation: m.Incarnation, Watcher: c.Watcher, Send: m.send, OnReady: m.driver.Store,
	})
	m.ExitOn(err)
	close(m.joined)
	for n, duty := range c.Duties {
		driver.SetClaimPosition(duty, m.number()+2*n)
	}
	driver.ManageVoters(m.peers, VoterConfig, c.OnVoterChange)
}

// Driver returns the log's driver. It is there before the Watcher's first call.
func (m *Member) Driver() *consensus.Driver { return m.driver.Load() }

// Emit writes an event to the Cluster.
func (m *Member) Emit(event any) {
	encoded, err := json.Marshal(event)
	m.ExitOn(err)
	m.output.Lock()
	defer m.output.Unlock()
	fmt.Println(string(encoded))
}

// ExitOn ends the process on an error.
func (m *Member) ExitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, m.Name, err)
		os.Exit(1)
	}
}

// UpdateRecord changes the member's record, and announces it.
func (m *Member) UpdateRecord(change func(*membership.Record)) {
	m.recordMutex.Lock()
	defer m.recordMutex.Unlock()
	change(&m.record)
	_ = m.Membership.SetRecord(m.record) // announced again with the next change
}

// PublishApplied announces how far the member has applied the log, if that has changed.
func (m *Member) PublishApplied() {
	applied, _ := m.Driver().Log.Applied()
	m.recordMutex.Lock()
	hasChanged := applied != m.record.AppliedIndex
	m.recordMutex.Unlock()
	if hasChanged {
		m.UpdateRecord(func(r *membership.Record) { r.AppliedIndex = applied })
	}
}

// AwaitParentExit returns when the parent ends.
func (m *Member) AwaitParentExit() { _, _ = io.Copy(io.Discard, os.Stdin) }

// receive hands another member's message to the log, once that has started.
func (m *Member) receive(message []byte) {
	<-m.joined
	m.Driver().ReceiveProposal(message)
}

// send sends a message of the log to a process.
func (m *Member) send(process string, message []byte) error {
	name, _, _ := strings.Cut(process, "#")
	return m.Membership.Send(name, message)
}

// peers are the members that may vote.
func (m *Member) peers() (peers []consensus.Peer) {
	for _, r := range m.Membership.View() {
		peers = append(peers, consensus.Peer{Process: r.Process, Address: r.LogAddress, Zone: r.Zone, Applied: r.AppliedIndex, Draining: r.Flag == membership.FlagLeaving})
	}
	return peers
}

// number is the number in the member's name, such as 3 in m3.
func (m *Member) number() int {
	number, err := strconv.Atoi(m.Name[1:])
	m.ExitOn(err)
	return number
}

// bind and proxy are the addresses of the member's port of that index: the one it binds, and the one others use.
func bind(port int) string  { return os.Getenv(fmt.Sprint(testutil.MemberBindVariable, port)) }
func proxy(port int) string { return os.Getenv(fmt.Sprint(testutil.MemberProxyVariable, port)) }

// seeds are the addresses by which the member joins; none for the first.
func seeds() []string {
	if seed := os.Getenv(testutil.MemberSeedVariable); seed != "" {
		return []string{seed}
	}
	return nil
}

// ignoredEvents is a membership.Watcher that ignores events: the view is polled.
type ignoredEvents struct{}

func (ignoredEvents) Joined(membership.Record)  {}
func (ignoredEvents) Updated(membership.Record) {}
func (ignoredEvents) Left(string)               {}
func (ignoredEvents) Rejected(string, error)    {}
