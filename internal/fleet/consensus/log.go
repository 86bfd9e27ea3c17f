// Package consensus replicates the fleet's log with hashicorp/raft, and runs the leader election for each duty on that log.
// Log is one process's replica, and Driver runs its elector. At raft's leader the Driver also manages raft's servers, that
// is, which processes replicate the log and which of them vote, as internal/decide/quorum decides. The meaning of an entry
// is defined by internal/decide/lease and by the StateMachines.
//
// The transport is raft's own over TCP. A member that is not the leader sends its proposals to the leader as reliable
// messages of the membership layer.
//
// Nothing is written to disk. A raft server is therefore one process, identified by its name and incarnation: a restarted
// process is another server, and cannot vote again in a term in which its predecessor has voted. The log is bootstrapped
// by exactly one process, once.
//
// Bounds: raft keeps trailingEntries entries from before a snapshot, which is at most maxSnapshotBytes long. Proposals wait
// in raft's own bounded queue.
package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"thymechute/internal/decide/lease"
)

const (
	trailingEntries         = 1024
	snapshotThreshold       = 4096 // entries
	snapshotInterval        = 10 * time.Second
	defaultHeartbeatTimeout = 500 * time.Millisecond
	applyTimeout            = 200 * time.Millisecond // how long a proposal may block the driver
	configurationTimeout    = 2 * time.Second        // for one change of raft's configuration
	dialTimeout             = time.Second
	maxIdleConnections      = 2 // per other server
)

// Config configures a Log.
type Config struct {
	Process   string   // ID of this process, unique to its incarnation
	Bind      string   // host:port of the TCP listener; outgoing connections use the same host
	Advertise string   // host:port at which the others reach this process; empty for Bind
	Bootstrap bool     // starts a new log, as Log.Bootstrap does
	Duties    []string // the duties whose leases the log grants; the same in all members
	// StateMachine applies each entry after the lease table has, and is part of snapshots; nil for none.
	StateMachine StateMachine
	// HeartbeatTimeout is how long a follower waits for the leader before it starts an election: at least 50 ms; 0 for 500 ms.
	HeartbeatTimeout time.Duration
	LogOutput        io.Writer // receives raft's own log lines; nil discards them
	// WrapConn may replace each connection, for example with one that counts bytes or adds delay; nil for none.
	WrapConn func(net.Conn) net.Conn
}

// Subscriber receives the log's entries, in order, on raft's goroutine.
type Subscriber interface {
	EntryApplied(index uint64, c lease.Command)
	// SnapshotRestored is called after a snapshot has replaced all earlier entries. state is the encoded StateMachine.
	SnapshotRestored(t *lease.Table, state []byte)
}

// Log is one process's replica of the log. Its methods are safe for concurrent use.
type Log struct {
	raft         *raft.Raft
	self         raft.Server
	subscriber   Subscriber
	table        *lease.Table // for snapshots; it and stateMachine are used on raft's goroutine only
	stateMachine StateMachine // nil for none

	heartbeats heartbeatMonitor
}

// ErrNotLeader is returned by Propose if this process is not the leader.
var ErrNotLeader = errors.New("consensus: propose: this process is not the leader of the replicated log")

// Start starts a replica. Errors: an address that cannot be bound or resolved, invalid duties, a failed bootstrap.
func Start(c Config, s Subscriber) (*Log, error) {
	table, err := lease.NewTable(c.Duties...)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	layer, err := listen(c)
	if err != nil {
		return nil, err
	}
	config := raftConfig(c)
	transport := raft.NewNetworkTransportWithLogger(layer, maxIdleConnections, dialTimeout, config.Logger)
	l := &Log{subscriber: s, table: table, stateMachine: c.StateMachine,
		self: raft.Server{ID: config.LocalID, Address: transport.LocalAddr()}}
	store := raft.NewInmemStore()
	if l.raft, err = raft.NewRaft(config, fsm{l}, store, store, raft.NewInmemSnapshotStore(), transport); err != nil {
		_ = transport.Close()
		return nil, fmt.Errorf("consensus: start raft: %w", err)
	}
	l.heartbeats.observe(l.raft)
	if c.Bootstrap {
		if err := l.Bootstrap(); err != nil {
			return nil, errors.Join(err, l.Stop())
		}
	}
	return l, nil
}

// raftConfig returns raft's configuration. All of raft's timeouts are derived from the heartbeat timeout.
func raftConfig(c Config) *raft.Config {
	output := c.LogOutput
	if output == nil {
		output = io.Discard
	}
	timeout := c.HeartbeatTimeout
	if timeout == 0 {
		timeout = defaultHeartbeatTimeout
	}
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(c.Process)
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: c.Process, Output: output, Level: hclog.Warn})
	config.HeartbeatTimeout = timeout
	config.ElectionTimeout = timeout
	config.LeaderLeaseTimeout = timeout / 2
	config.CommitTimeout = timeout / 10
	config.TrailingLogs = trailingEntries
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	return config
}

// Bootstrap starts a new log with this process as its only server. It must be called only once in the lifetime of a fleet.
// It fails if this process already belongs to a log.
func (l *Log) Bootstrap() error {
	configuration := raft.Configuration{Servers: []raft.Server{l.self}}
	if err := l.raft.BootstrapCluster(configuration).Error(); err != nil {
		return fmt.Errorf("consensus: bootstrap: %w", err)
	}
	return nil
}

// Propose appends a command to the log, or returns ErrNotLeader if this process is not the leader. It does not wait until
// the entry is committed. The entry may be lost; otherwise the Subscriber receives it.
func (l *Log) Propose(c lease.Command) error {
	if l.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	b, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("consensus: encode command: %w", err)
	}
	l.raft.Apply(b, applyTimeout)
	return nil
}

// Leader returns raft's leader, empty if none is known, and whether this process is the leader.
func (l *Log) Leader() (process string, isSelf bool) {
	_, id := l.raft.LeaderWithID()
	return string(id), l.raft.State() == raft.Leader
}

// Applied returns the index of the last entry that raft has passed on to be applied, and whether that is the last entry
// known to be committed.
func (l *Log) Applied() (index uint64, isCurrent bool) {
	index = l.raft.AppliedIndex()
	_, leader := l.raft.LeaderWithID()
	return index, leader != "" && index >= l.raft.CommitIndex() && index > 0
}

// Term returns raft's current term.
func (l *Log) Term() uint64 { return l.raft.CurrentTerm() }

// Voters returns the processes that vote, according to the latest configuration that this process knows.
func (l *Log) Voters() (voters []string) {
	servers, err := l.servers()
	if err != nil {
		return nil
	}
	for _, s := range servers {
		if s.Suffrage == raft.Voter {
			voters = append(voters, string(s.ID))
		}
	}
	return voters
}

func (l *Log) servers() ([]raft.Server, error) {
	future := l.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return nil, err
	}
	return future.Configuration().Servers, nil
}

// AddNonvoter adds a process, reachable at host:port, as a server without a vote. It must be called at the leader. It waits
// until the change is committed, or fails with raft's error after configurationTimeout.
func (l *Log) AddNonvoter(process, address string) error {
	return l.raft.AddNonvoter(raft.ServerID(process), serverAddress(address, process), 0, configurationTimeout).Error()
}

// AddVoter makes a process, reachable at host:port, a voter. It waits and fails as AddNonvoter does.
func (l *Log) AddVoter(process, address string) error {
	return l.raft.AddVoter(raft.ServerID(process), serverAddress(address, process), 0, configurationTimeout).Error()
}

// removeServer removes a process from raft's servers. It waits and fails as AddNonvoter does.
func (l *Log) removeServer(process string) error {
	return l.raft.RemoveServer(raft.ServerID(process), 0, configurationTimeout).Error()
}

// Stop ends the replica, and returns once raft's goroutines have ended.
func (l *Log) Stop() error { return l.raft.Shutdown().Error() }
