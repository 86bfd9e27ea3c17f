// This file owns what the leader knows by the log's own heartbeats: whom it does not reach now. Membership finds the same out
// seconds later, and a voter added meanwhile beside dead ones could cost the quorum for good. It must never block raft, which
// calls it.

package consensus

import (
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// leadFirst is how long a leader leads before it changes who votes: until then each heartbeat to one that is gone has failed.
	leadFirst = dialFor + careEvery
	// missedFor is how long a failed heartbeat counts; each that fails comes well within it, while a late one of a term before ends by itself.
	missedFor = 2 * dialFor
)

// contact holds at most the servers of raft's configuration; it is emptied when this process begins or ceases to lead.
type contact struct {
	mu     sync.Mutex // raft's goroutines write, the leader's care reads
	missed map[raft.ServerID]time.Time
	leads  time.Time // since when
}

// watch has raft call note; nothing is queued.
func (c *contact) watch(r *raft.Raft) {
	c.missed = map[raft.ServerID]time.Time{}
	r.RegisterObserver(raft.NewObserver(nil, false, func(o *raft.Observation) bool {
		c.note(o.Data, time.Now())
		return false
	}))
}

func (c *contact) note(event any, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e := event.(type) {
	case raft.RaftState:
		clear(c.missed)
		c.leads = now
	case raft.FailedHeartbeatObservation:
		c.missed[e.PeerID] = now
	case raft.ResumedHeartbeatObservation:
		delete(c.missed, e.PeerID)
	case raft.PeerObservation:
		delete(c.missed, e.Peer.ID)
	}
}

// misses tells whether the last heartbeat to this process failed.
func (c *contact) misses(process string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, missed := c.missed[raft.ServerID(process)]
	return missed && now.Sub(at) < missedFor
}

// early tells whether it has led for too short a time to know whom it misses.
func (c *contact) early(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leads) < leadFirst
}
