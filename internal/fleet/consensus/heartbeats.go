package consensus

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// newLeaderPeriod is how long a new leader changes no voters. After it, a heartbeat to each ended process has failed.
	newLeaderPeriod = dialTimeout + reconcileInterval
	// failedHeartbeatTTL is how long a server counts as failing after a failed heartbeat. While it does not answer, the next
	// heartbeat fails well before that; a failure left over from an earlier term expires.
	failedHeartbeatTTL = 2 * dialTimeout
)

// heartbeatMonitor records which servers do not answer the leader's raft heartbeats. The membership layer detects a failure
// only seconds later; if a voter were added before that, while others have failed, the quorum could be lost permanently.
// The monitor holds at most one entry per server of raft's configuration, and is cleared whenever raft's state at this
// process changes.
type heartbeatMonitor struct {
	mu           sync.Mutex // guards the fields below: raft's goroutines write them, the voter manager reads them
	failed       map[raft.ServerID]time.Time
	stateChanged time.Time // when raft's state last changed; at a leader, when it was elected
}

// observe subscribes to raft's observations. They are handled in raft's filter callback, so that none are queued.
func (m *heartbeatMonitor) observe(r *raft.Raft) {
	m.failed = map[raft.ServerID]time.Time{}
	r.RegisterObserver(raft.NewObserver(nil, false, func(o *raft.Observation) bool {
		m.handle(o.Data, time.Now())
		return false
	}))
}

func (m *heartbeatMonitor) handle(event any, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch e := event.(type) {
	case raft.RaftState:
		clear(m.failed)
		m.stateChanged = now
	case raft.FailedHeartbeatObservation:
		m.failed[e.PeerID] = now
	case raft.ResumedHeartbeatObservation:
		delete(m.failed, e.PeerID)
	case raft.PeerObservation:
		delete(m.failed, e.Peer.ID)
	}
}

// isFailing reports whether the last heartbeat to a process failed.
func (m *heartbeatMonitor) isFailing(process string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	failedAt, hasFailed := m.failed[raft.ServerID(process)]
	return hasFailed && now.Sub(failedAt) < failedHeartbeatTTL
}

// isNewLeader reports whether this leader was elected too recently for heartbeats to all failed servers to have failed.
func (m *heartbeatMonitor) isNewLeader(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.stateChanged) < newLeaderPeriod
}
