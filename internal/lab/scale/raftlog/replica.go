package raftlog

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/lab/scale"
)

const (
	// defaultHeartbeatTimeout is that of cmd/thymechute with leases of two seconds.
	defaultHeartbeatTimeout = 600 * time.Millisecond
	// longHeartbeatTimeout avoids unwanted elections on a busy machine, where elections are not measured.
	longHeartbeatTimeout = 1500 * time.Millisecond
)

// Peer is the identity and address by which a leader adds a replica.
type Peer struct {
	Process string `json:"Process"`
	Address string `json:"Address"`
}

// replicaGroup holds the replicas that share a process, and counts their traffic.
type replicaGroup struct {
	traffic  scale.ConnCounter // of all TCP connections of the process
	replicas []*replica
}

// replica is a replicated log as in the program, but without lease electors. It implements consensus.Subscriber and
// consensus.StateMachine.
type replica struct {
	peer         Peer
	log          *consensus.Log
	appliedIndex atomic.Uint64
	state        []byte
	decodedBytes atomic.Int64 // size of the last state that it restored
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

// replicaConfig configures a replica.
type replicaConfig struct {
	bootstrap        bool
	heartbeatTimeout time.Duration
	state            []byte
	wrapConn         func(net.Conn) net.Conn // applied on top of the byte counting; nil for none
}

// start starts another replica and adds it to the group.
func (g *replicaGroup) start(config replicaConfig) (*replica, error) {
	n := len(g.replicas)
	process := fmt.Sprintf("checkout-%04d#%x", n, time.Now().UnixMilli())
	r := &replica{peer: Peer{process, scale.LoopbackAddress(n)}, state: config.state}
	var err error
	r.log, err = consensus.Start(consensus.Config{
		Process:          r.peer.Process,
		Bind:             r.peer.Address,
		Bootstrap:        config.bootstrap,
		Duties:           []string{"ring", "roll"},
		StateMachine:     r,
		HeartbeatTimeout: config.heartbeatTimeout,
		WrapConn: func(conn net.Conn) net.Conn {
			counted := &scale.CountedConn{Conn: conn, Counter: &g.traffic}
			if config.wrapConn == nil {
				return counted
			}
			return config.wrapConn(counted)
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
	process, err := scale.OwnUsage()
	return newUsage(g.traffic.Counts(), process), err
}

// minAppliedIndex returns the applied index of the slowest replica.
func (g *replicaGroup) minAppliedIndex() uint64 {
	least := ^uint64(0)
	for _, r := range g.replicas {
		least = min(least, r.appliedIndex.Load())
	}
	return least
}
