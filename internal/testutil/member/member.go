// Package member runs a test's own binary as a member of a testutil.Cluster: gossip membership and the replicated log over
// loopback, wired as in the program, with short intervals for tests (leases of one second, a probe every 200 ms).
//
// It is separate from package testutil to avoid import cycles: the tests of packages that it imports use testutil. Only tests
// import it.
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

// BootstrapVariable is the environment variable that is set for the member that bootstraps the log.
const BootstrapVariable = "CLUSTER_FOUNDER"

const (
	maxProcessLifetime       = 100 * time.Second // a member exits after this time even if its parent does not end
	lifetimeExceededExitCode = 3
	maxMembers               = 32
	probeInterval            = 200 * time.Millisecond
	syncInterval             = 500 * time.Millisecond
	heartbeatTimeout         = 300 * time.Millisecond

	// Indexes of a member's ports in the Cluster.
	membershipPort, logPort = 0, 1
	// PortCount is the number of ports of each member.
	PortCount = 2
)

var (
	// LeaseConfig configures the log's leases.
	LeaseConfig = lease.Config{Duration: time.Second, MaxDrift: 0.01, SafetyMargin: 20 * time.Millisecond}
	// VoterConfig configures the choice of the log's voters.
	VoterConfig = quorum.Config{MaxVoters: 5, MinAge: 300 * time.Millisecond, HoldDown: 2 * time.Second}
)

// Main is the TestMain of a test binary: it calls run if a Cluster started the process as a member, and else runs the tests.
func Main(m *testing.M, run func(*Member)) {
	name := os.Getenv(testutil.MemberNameVariable)
	if name == "" {
		os.Exit(m.Run())
	}
	time.AfterFunc(maxProcessLifetime, func() { os.Exit(lifetimeExceededExitCode) })
	run(newMember(name))
}

// Member is the member of a cluster that runs in this process.
type Member struct {
	Name        string
	Process     string // Name and Incarnation
	Incarnation uint64
	Membership  *membership.Member // set by Join

	driver      atomic.Pointer[consensus.Driver]
	joined      chan struct{} // closed once the log has started
	outputMutex sync.Mutex    // guards standard output

	recordMutex sync.Mutex // guards record
	record      membership.Record
}

func newMember(name string) *Member {
	incarnation := uint64(time.Now().UnixNano())
	return &Member{Name: name, Process: fmt.Sprintf("%s#%x", name, incarnation), Incarnation: incarnation, joined: make(chan struct{})}
}

// Config configures Join.
type Config struct {
	Record        membership.Record // Join sets Process, LogAddress and Rank
	Duties        []string          // that the log leases
	StateMachine  consensus.StateMachine
	Watcher       consensus.Watcher
	OnVoterChange func(quorum.Change) // called as the leader changes the log's voters
}

// Join joins the gossip membership and the log. The process exits on an error.
func (m *Member) Join(c Config) {
	m.record = c.Record
	m.record.Process, m.record.LogAddress, m.record.Rank = m.Process, proxyAddress(logPort), -1
	var err error
	m.Membership, err = membership.Start(membership.Config{
		Name: m.Name, Bind: bindAddress(membershipPort), Advertise: proxyAddress(membershipPort), Seeds: seedAddresses(),
		MaxMembers: maxMembers, ProbeInterval: probeInterval, SyncInterval: syncInterval, Record: m.record, OnMessage: m.receive,
	}, ignoringWatcher{})
	m.ExitOn(err)
	driver, err := consensus.StartDriver(consensus.DriverConfig{
		Log: consensus.Config{
			Process: m.Process, Bind: bindAddress(logPort), Advertise: proxyAddress(logPort), Bootstrap: os.Getenv(BootstrapVariable) != "",
			Duties: c.Duties, HeartbeatTimeout: heartbeatTimeout, StateMachine: c.StateMachine,
		},
		Leases: LeaseConfig, Incarnation: m.Incarnation, Watcher: c.Watcher, Send: m.send, OnReady: m.driver.Store,
	})
	m.ExitOn(err)
	close(m.joined)
	for n, duty := range c.Duties {
		driver.SetClaimPosition(duty, m.memberNumber()+2*n)
	}
	driver.ManageVoters(m.peers, VoterConfig, c.OnVoterChange)
}

// Driver returns the log's driver. It is set before the first call of the Watcher.
func (m *Member) Driver() *consensus.Driver { return m.driver.Load() }

// Emit writes an event for the Cluster to standard output.
func (m *Member) Emit(event any) {
	encoded, err := json.Marshal(event)
	m.ExitOn(err)
	m.outputMutex.Lock()
	defer m.outputMutex.Unlock()
	fmt.Println(string(encoded))
}

// ExitOn prints err and exits with status 1, unless err is nil.
func (m *Member) ExitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, m.Name, err)
		os.Exit(1)
	}
}

// UpdateRecord changes the member's record and announces it.
func (m *Member) UpdateRecord(change func(*membership.Record)) {
	m.recordMutex.Lock()
	defer m.recordMutex.Unlock()
	change(&m.record)
	_ = m.Membership.SetRecord(m.record) // an error is ignored: the next change announces the whole record again
}

// PublishApplied announces the index up to which the member has applied the log, if it has changed.
func (m *Member) PublishApplied() {
	applied, _ := m.Driver().Log.Applied()
	m.recordMutex.Lock()
	hasChanged := applied != m.record.AppliedIndex
	m.recordMutex.Unlock()
	if hasChanged {
		m.UpdateRecord(func(r *membership.Record) { r.AppliedIndex = applied })
	}
}

// AwaitParentExit returns when the parent process has exited, which closes standard input.
func (m *Member) AwaitParentExit() { _, _ = io.Copy(io.Discard, os.Stdin) }

// receive passes another member's message to the log, once the log has started.
func (m *Member) receive(message []byte) {
	<-m.joined
	m.Driver().ReceiveProposal(message)
}

// send sends a message of the log to the member that is the process.
func (m *Member) send(process string, message []byte) error {
	name, _, _ := strings.Cut(process, "#")
	return m.Membership.Send(name, message)
}

// peers returns the known members, from which the leader chooses the log's voters.
func (m *Member) peers() (peers []consensus.Peer) {
	for _, r := range m.Membership.View() {
		peers = append(peers, consensus.Peer{Process: r.Process, Address: r.LogAddress, Zone: r.Zone, Applied: r.AppliedIndex, Draining: r.Flag == membership.FlagLeaving})
	}
	return peers
}

// memberNumber returns the number in the member's name, such as 3 for m3.
func (m *Member) memberNumber() int {
	number, err := strconv.Atoi(m.Name[1:])
	m.ExitOn(err)
	return number
}

// bindAddress and proxyAddress return the addresses of a port of this member, by its index: the one that it binds and the one
// that other members use.
func bindAddress(port int) string  { return os.Getenv(fmt.Sprint(testutil.MemberBindVariable, port)) }
func proxyAddress(port int) string { return os.Getenv(fmt.Sprint(testutil.MemberProxyVariable, port)) }

// seedAddresses returns the addresses through which the member joins; none for the first member.
func seedAddresses() []string {
	if seed := os.Getenv(testutil.MemberSeedVariable); seed != "" {
		return []string{seed}
	}
	return nil
}

// ignoringWatcher is a membership.Watcher that ignores all events, as the members poll the view.
type ignoringWatcher struct{}

func (ignoringWatcher) Joined(membership.Record)  {}
func (ignoringWatcher) Updated(membership.Record) {}
func (ignoringWatcher) Left(string)               {}
func (ignoringWatcher) Rejected(string, error)    {}
