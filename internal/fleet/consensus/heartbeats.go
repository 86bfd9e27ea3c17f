package consensus

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// newLeaderPeriod is for how long a leader changes no voters: by then, each heartbeat to an ended process has failed.
	newLeaderPeriod = dialTimeout + reconcileInterval
	// failedHeartbeatTTL is for how long a failed heartbeat counts. The next failure comes well within it, while one that is
	// left from an earlier term expires by itself.
	failedHeartbeatTTL = 2 * dialTimeout
)

// heartbeatMonitor knows which servers a leader's raft heartbeats do not reach. The membership layer detects failures only
// seconds later, and with a voter added meanwhile beside failed ones the quorum could be lost
// permanently. It holds at most one entry
// per server of raft's configuration, and is cleared when this process becomes or ceases to be the leader.
type heartbeatMonitor struct {
	mu           sync.Mutex // raft's goroutines write, the voter manager reads
	failed       map[raft.ServerID]time.Time
	stateChanged time.Time // when raft's state last changed: since when a leader leads
}

// observe subscribes to raft's observations. They are handled within raft's call, so that nothing queues up.
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

// isNewLeader reports whether this leader has led for too short a time to know whom its heartbeats do not reach.
func (m *heartbeatMonitor) isNewLeader(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.stateChanged) < newLeaderPeriod
}
