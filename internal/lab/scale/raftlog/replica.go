package raftlog

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/lab/scale"
)

const (
	// programHeartbeatTimeout is the program's, with leases of two seconds.
	programHeartbeatTimeout = 600 * time.Millisecond
	// longHeartbeatTimeout avoids elections where they are not measured and the machine may be busy.
	longHeartbeatTimeout = 1500 * time.Millisecond
)

// Peer is a replica as the leader adds it.
type Peer struct {
	Process string `json:"Process"`
	Address string `json:"Address"`
}

// replicaGroup is the replicas that share a process, and what they have cost.
type replicaGroup struct {
	meter    meter
	replicas []*replica
}

// replica is the program's own log without the driver of the leases. It implements consensus.Subscriber and
// consensus.StateMachine.
type replica struct {
	peer         Peer
	log          *consensus.Log
	appliedIndex atomic.Uint64
	state        []byte
	decodedBytes atomic.Int64 // of the state that it restored
}

// EntryApplied implements consensus.Subscriber.
func (r *replica) EntryApplied(index uint64, _ lease.Command) { r.appliedIndex.Store(index) }

// SnapshotRestored implements consensus.Subscriber.
func (r *replica) SnapshotRestored(*lease.Table, []byte) {}

// Apply implements consensus.StateMachine.
func (r *replica) Apply(uint64, lease.Command, lease.Outcome) {}

// Encode implements consensus.StateMachine.
func (r *replica) Encode() ([]byte, error) { return r.state, nil }

// Decode implements consensus.StateMachine.
func (r *replica) Decode(state []byte) error {
	r.decodedBytes.Store(int64(len(state)))
	return nil
}

// replicaAddress returns the address of the n-th replica of this process: an IP of its own in 127.0.0.0/8 and a port, both
// by the process's id.
func replicaAddress(n int) string {
	const networks, ports = 200, 10_000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid%networks, n/250, n%250+1, 20_000+pid/networks%ports)
}

// replicaConfig is the settings of a replica.
type replicaConfig struct {
	bootstrap        bool
	heartbeatTimeout time.Duration
	state            []byte
	wrapConn         func(net.Conn) net.Conn // beside the counting; nil for none
}

// start starts one more replica.
func (g *replicaGroup) start(config replicaConfig) (*replica, error) {
	n := len(g.replicas)
	process := fmt.Sprintf("checkout-%04d#%x", n, time.Now().UnixMilli())
	r := &replica{peer: Peer{process, replicaAddress(n)}, state: config.state}
	var err error
	r.log, err = consensus.Start(consensus.Config{
		Process:          r.peer.Process,
		Bind:             r.peer.Address,
		Bootstrap:        config.bootstrap,
		Duties:           []string{"ring", "roll"},
		StateMachine:     r,
		HeartbeatTimeout: config.heartbeatTimeout,
		WrapConn: func(conn net.Conn) net.Conn {
			counted := net.Conn(&countedConn{conn, &g.meter})
			if config.wrapConn != nil {
				return config.wrapConn(counted)
			}
			return counted
		},
	}, r)
	if err != nil {
		return nil, err
	}
	g.replicas = append(g.replicas, r)
	return r, nil
}

func (g *replicaGroup) stop() {
	for _, r := range g.replicas {
		_ = r.log.Stop()
	}
	g.replicas = nil
}

func (g *replicaGroup) usage() (Usage, error) {
	own, err := scale.OwnUsage()
	return Usage{
		Sent: g.meter.sent.Load(), Received: g.meter.received.Load(), Writes: g.meter.writes.Load(),
		ProcessorMillis: float64(own.CPU) / float64(time.Millisecond), Resident: float64(own.ResidentBytes),
	}, err
}

// applied returns how far the slowest replica is.
func (g *replicaGroup) applied() uint64 {
	least := ^uint64(0)
	for _, r := range g.replicas {
		least = min(least, r.appliedIndex.Load())
	}
	return least
}
