// Package log carries the fleet's agreed log by hashicorp/raft, over raft's own transport; what members that don't lead
// propose goes to the leader as one of memberlist's reliable messages. No protocol of ours. It owns raft, the entries'
// form and who votes (by internal/decide/quorum), and must never decide what an entry means: internal/decide/lease does.
//
// Without a folder nothing is on disk. A process is therefore known to raft under an identity of its one life (name and
// life): started cold it is another server, and can't vote where it has voted. Only one process, once, founds a log.
//
// Tables: raft keeps keepEntries entries behind a snapshot; proposals wait in raft's own bounded queue.
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
	keepEntries   = 1024
	snapshotEvery = 4096                   // entries
	applyFor      = 200 * time.Millisecond // at most, that a proposal holds up the driver
	dialFor       = time.Second
	connections   = 2 // kept to each other server

	// mostSnapshot is the longest snapshot, in bytes: the settings of 60,000 tenants and 9,800 routes take about 4 MB of it.
	mostSnapshot = 32 << 20
)

// Config of a log.
type Config struct {
	Process          string        // this process's identity, of this life alone
	Bind             string        // host:port, TCP; dials leave from its host
	Advertise        string        // where the others reach it, if not at Bind
	Bootstrap        bool          // the log begins with this process: once in a fleet's life, never again
	Duties           []string      // the same in all members
	StateMachine     StateMachine  // what else is built from the entries and outlives a snapshot; nil: nothing
	HeartbeatTimeout time.Duration // a leader silent for so long is replaced; 50 ms and more, 0: 500 ms
	LogOutput        io.Writer     // raft's own lines; nil: none
	// WrapConn takes the place of each connection with one that counts or delays what passes; nil: none.
	WrapConn func(net.Conn) net.Conn
}

// StateMachine is a state that every member builds alike from the entries, on raft's goroutine. What it encodes replaces all
// entries so far in a member that joins late.
type StateMachine interface {
	Apply(index uint64, c lease.Command, o lease.Outcome)
	Encode() ([]byte, error)
	Decode(b []byte) error
}

// Subscriber hears the log, from raft's goroutine, in the entries' order.
type Subscriber interface {
	EntryApplied(index uint64, c lease.Command)
	SnapshotRestored(t *lease.Table, machine []byte) // a snapshot took the place of all before
}

// Log is one process's end of it.
type Log struct {
	raft   *raft.Raft
	self   raft.Server
	stores *raft.InmemStore
	reader Subscriber
	table  *lease.Table // for snapshots, and the machine; raft's goroutine alone
	more   StateMachine

	contact contact // of this process as the leader
}

// ErrNotLeader is of a proposal made elsewhere than at the leader.
var ErrNotLeader = errors.New("not the leader")

// Start begins. Errors: an address that can't be bound, faulty duties.
func Start(c Config, r Subscriber) (*Log, error) {
	table, err := lease.NewTable(c.Duties...)
	if err != nil {
		return nil, err
	}
	out := c.LogOutput
	if out == nil {
		out = io.Discard
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: c.Process, Output: out, Level: hclog.Warn})
	if c.HeartbeatTimeout == 0 {
		c.HeartbeatTimeout = 500 * time.Millisecond
	}
	rc := raft.DefaultConfig()
	rc.LocalID, rc.Logger = raft.ServerID(c.Process), logger
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout, rc.CommitTimeout = c.HeartbeatTimeout, c.HeartbeatTimeout, c.HeartbeatTimeout/2, c.HeartbeatTimeout/10
	rc.TrailingLogs, rc.SnapshotThreshold, rc.SnapshotInterval = keepEntries, snapshotEvery, 10*time.Second
	layer, err := listen(c.Bind, c.Advertise, c.Process)
	if err != nil {
		return nil, err
	}
	layer.stream = c.WrapConn
	l := &Log{reader: r, table: table, more: c.StateMachine, stores: raft.NewInmemStore()}
	snapshots := raft.NewInmemSnapshotStore()
	transport := raft.NewNetworkTransportWithLogger(layer, connections, dialFor, logger)
	l.self = raft.Server{ID: rc.LocalID, Address: transport.LocalAddr()}
	if l.raft, err = raft.NewRaft(rc, machine{l}, l.stores, l.stores, snapshots, transport); err != nil {
		_ = transport.Close()
		return nil, fmt.Errorf("log: %w", err)
	}
	l.contact.watch(l.raft)
	if c.Bootstrap {
		if err := l.Bootstrap(); err != nil {
			return nil, errors.Join(err, l.Stop())
		}
	}
	return l, nil
}

// Bootstrap begins a log with this process alone: once in a fleet's life, never again. It fails where this process has already
// been taken into one.
func (l *Log) Bootstrap() error {
	if err := l.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{l.self}}).Error(); err != nil {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// Propose puts a command into the log where this process leads; ErrNotLeader elsewhere. It does not wait: what comes of
// it comes back by the Reader, or never.
func (l *Log) Propose(c lease.Command) error {
	if l.raft.State() != raft.Leader {
		return ErrNotLeader
	}
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l.raft.Apply(b, applyFor)
	return nil
}

// Leader is the process that leads, "" where none is known, and whether it is this one.
func (l *Log) Leader() (process string, self bool) {
	_, id := l.raft.LeaderWithID()
	return string(id), l.raft.State() == raft.Leader
}

// Applied is the last entry that has been handed to the Reader, and whether this is all that is known to be agreed.
func (l *Log) Applied() (index uint64, all bool) {
	index = l.raft.AppliedIndex()
	_, id := l.raft.LeaderWithID()
	return index, id != "" && index >= l.raft.CommitIndex() && index > 0
}

// Stop ends it.
func (l *Log) Stop() error { return l.raft.Shutdown().Error() }

// machine is raft's view of the state machine.
type machine struct{ l *Log }

func (m machine) Apply(e *raft.Log) any {
	var c lease.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return err // an entry of another version: the same in every member that reads it so
	}
	o := m.l.table.Apply(e.Index, c)
	if m.l.more != nil {
		m.l.more.Apply(e.Index, c, o)
	}
	m.l.reader.EntryApplied(e.Index, c)
	return nil
}

func (m machine) Snapshot() (raft.FSMSnapshot, error) {
	var k kept
	var err error
	if k.Table, err = m.l.table.Encode(); err == nil && m.l.more != nil {
		k.Machine, err = m.l.more.Encode()
	}
	if err != nil {
		return nil, err
	}
	b, err := json.Marshal(k)
	if err == nil && len(b) > mostSnapshot {
		err = fmt.Errorf("log: snapshot of %d bytes, expected at most %d", len(b), mostSnapshot)
	}
	return snapshot(b), err
}

// kept is a snapshot's form.
type kept struct {
	Table   json.RawMessage
	Machine []byte
}

func (m machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, mostSnapshot+1))
	if err != nil {
		return err
	}
	if len(b) > mostSnapshot {
		return fmt.Errorf("log: snapshot of more than %d bytes", mostSnapshot)
	}
	var k kept
	if err := json.Unmarshal(b, &k); err != nil {
		return err
	}
	t, err := lease.Decode(k.Table)
	if err != nil {
		return err
	}
	if m.l.more != nil {
		if err := m.l.more.Decode(k.Machine); err != nil {
			return err
		}
	}
	m.l.table = t
	m.l.reader.SnapshotRestored(t.Copy(), k.Machine)
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}

// Voters are the processes that vote, as this one has it.
func (l *Log) Voters() (out []string) {
	f := l.raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	for _, s := range f.Configuration().Servers {
		if s.Suffrage == raft.Voter {
			out = append(out, string(s.ID))
		}
	}
	return out
}

// AddLearner lets a process follow the log without a vote; at the leader only. It waits until this is agreed.
func (l *Log) AddLearner(process, address string) error {
	return l.raft.AddNonvoter(raft.ServerID(process), located(address, process), 0, changeFor).Error()
}

// AddVoter makes a process a voter; at the leader only. It waits until this is agreed.
func (l *Log) AddVoter(process, address string) error {
	return l.raft.AddVoter(raft.ServerID(process), located(address, process), 0, changeFor).Error()
}

// Term is raft's, for who watches elections.
func (l *Log) Term() uint64 { return l.raft.CurrentTerm() }
