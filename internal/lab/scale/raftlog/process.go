// This file owns the logs that share a process: the program's own internal/fleet/consensus, with no duties' driver round it. It
// must never leave one running.

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
	// programBeat is the program's, of a lease of two seconds.
	programBeat = 600 * time.Millisecond
	// calmBeat keeps the leader where what is tried is not its beat and the machine may be busy.
	calmBeat = 1500 * time.Millisecond
)

// Peer is a log as the leader adds it.
type Peer struct{ Process, Address string }

// process is the logs of one process, and what they have cost.
type process struct {
	meter meter
	logs  []*hollow
}

// hollow is one log with nothing round it. It implements consensus.Reader and consensus.Machine.
type hollow struct {
	peer    Peer
	log     *consensus.Log
	applied atomic.Uint64
	state   []byte
	decoded atomic.Int64 // bytes of the state that it was handed
}

func (h *hollow) EntryApplied(index uint64, _ lease.Command) { h.applied.Store(index) }
func (h *hollow) SnapshotRestored(*lease.Table, []byte)      {}
func (h *hollow) Apply(uint64, lease.Command, lease.Outcome) {}
func (h *hollow) Encode() ([]byte, error)                    { return h.state, nil }
func (h *hollow) Decode(state []byte) error                  { h.decoded.Store(int64(len(state))); return nil }

// address is of the n-th log of this process: an IP of its own in 127.0.0.0/8 and a port, both by the process's id.
func address(n int) string {
	const networks, ports = 200, 10_000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+pid%networks, n/250, n%250+1, 20_000+pid/networks%ports)
}

// start starts one more log. wrap, if not nil, stands between the log and each of its connections.
func (p *process) start(found bool, beat time.Duration, state []byte, wrap func(net.Conn) net.Conn) (*hollow, error) {
	n := len(p.logs)
	h := &hollow{peer: Peer{fmt.Sprintf("checkout-%04d#%x", n, time.Now().UnixMilli()), address(n)}, state: state}
	var err error
	h.log, err = consensus.Start(consensus.Config{Process: h.peer.Process, Bind: h.peer.Address, Bootstrap: found, Duties: []string{"ring", "roll"}, StateMachine: h,
		HeartbeatTimeout: beat, WrapConn: func(conn net.Conn) net.Conn {
			counted := net.Conn(&countedConn{conn, &p.meter})
			if wrap != nil {
				return wrap(counted)
			}
			return counted
		}}, h)
	if err != nil {
		return nil, err
	}
	p.logs = append(p.logs, h)
	return h, nil
}

func (p *process) end() {
	for _, h := range p.logs {
		_ = h.log.Stop()
	}
	p.logs = nil
}

func (p *process) read() (Reading, error) {
	usage, err := scale.OwnUsage()
	return Reading{Sent: p.meter.sent.Load(), Received: p.meter.received.Load(), Writes: p.meter.writes.Load(),
		ProcessorMillis: float64(usage.Processor) / float64(time.Millisecond), Resident: float64(usage.Resident)}, err
}

// applied is how far the slowest of its logs is.
func (p *process) applied() uint64 {
	least := ^uint64(0)
	for _, h := range p.logs {
		least = min(least, h.applied.Load())
	}
	return least
}
