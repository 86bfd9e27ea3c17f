package raftlog

import (
	"context"
	"fmt"
	"time"

	"thymechute/internal/lab/scale"
)

// TargetTenants is the number of tenants in a state of the planned size.
const TargetTenants = scale.TargetTenants

// CatchUp is what it took a late follower to restore the complete state.
type CatchUp struct {
	StateBytes   float64 // of the leader's encoded state
	DecodedBytes float64 // that the follower restored
	Millis       float64
	LeaderBytes  float64 // sent and received by the leader meanwhile
}

const (
	entriesForSnapshot = 6000 // beyond the log's snapshot threshold and the entries it keeps behind a snapshot
	entryInterval      = 200 * time.Microsecond
	entryBodyBytes     = 50
	snapshotPeriod     = 21 * time.Second // raft checks for one every 10 to 20 s
	catchUpTimeout     = 30 * time.Second
	catchUpPoll        = 5 * time.Millisecond
)

// measureCatchUp adds an empty follower to a leader whose log begins with a snapshot of that many tenants. The leader is
// the only voter: otherwise a pause of the machine could make another one the leader, which has no snapshot.
func measureCatchUp(ctx context.Context, tenants int) (CatchUp, error) {
	var out CatchUp
	c, leaderStarted, err := startCluster(ctx, clusterConfig{longHeartbeatTimeout, 1, 0, tenants})
	if err != nil {
		return out, err
	}
	defer c.stop()
	out.StateBytes = float64(leaderStarted.StateBytes)
	if err := c.makeSnapshot(ctx); err != nil {
		return out, err
	}
	late, err := startChild(ctx)
	if err != nil {
		return out, err
	}
	defer late.stop()
	lateStarted, err := late.call(request{Operation: opStart, HeartbeatTimeout: longHeartbeatTimeout, Count: 1})
	if err != nil {
		return out, err
	}
	before, err := c.usage()
	if err != nil {
		return out, err
	}
	began := time.Now()
	if _, err := c.leader.call(request{Operation: opAdd, Peers: lateStarted.Peers}); err != nil {
		return out, err
	}
	if out.DecodedBytes, err = late.waitForState(ctx, began); err != nil {
		return out, err
	}
	out.Millis = millisSince(began)
	after, err := c.usage()
	used := after.leader.since(before.leader)
	out.LeaderBytes = float64(used.Sent + used.Received)
	return out, err
}

// makeSnapshot proposes entries until raft makes a snapshot.
func (c *cluster) makeSnapshot(ctx context.Context) error {
	entries := request{Operation: opPropose, Count: entriesForSnapshot, Interval: entryInterval, BodyBytes: entryBodyBytes}
	if _, err := c.leader.call(entries); err != nil {
		return err
	}
	return scale.Wait(ctx, snapshotPeriod)
}

// waitForState waits until the child has restored a state, and returns its size.
func (c *childProcess) waitForState(ctx context.Context, began time.Time) (decodedBytes float64, err error) {
	for decodedBytes == 0 {
		if time.Since(began) > catchUpTimeout {
			return 0, fmt.Errorf("no state restored within %v", catchUpTimeout)
		}
		if err := scale.Wait(ctx, catchUpPoll); err != nil {
			return 0, err
		}
		reply, err := c.call(request{Operation: opApplied})
		if err != nil {
			return 0, err
		}
		decodedBytes = float64(reply.DecodedBytes)
	}
	return decodedBytes, nil
}
