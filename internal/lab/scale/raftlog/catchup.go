package raftlog

import (
	"context"
	"fmt"
	"time"

	"thymechute/internal/lab/scale"
)

// TargetTenants is the number of tenants in a state of the target size.
const TargetTenants = scale.TargetTenants

// CatchUpResult is the cost of restoring the complete state at a follower that is added late.
type CatchUpResult struct {
	StateBytes   float64 // size of the leader's encoded state
	DecodedBytes float64 // size of the state that the follower restored
	Millis       float64 // from the request to add the follower until the state was restored
	LeaderBytes  float64 // sent and received by the leader during that time
}

const (
	entriesForSnapshot  = 6000 // exceeds the snapshot threshold of the log plus the entries it keeps after a snapshot
	entryInterval       = 200 * time.Microsecond
	entryBodyBytes      = 50
	snapshotWait        = 21 * time.Second // raft checks every 10 to 20 s whether to take a snapshot
	restoreTimeout      = 30 * time.Second
	restorePollInterval = 5 * time.Millisecond
)

// measureCatchUp adds an empty follower to a leader whose log starts with a snapshot of that many tenants. The leader is the only
// voter: with others, a pause of the machine could elect a leader that has no snapshot.
func measureCatchUp(ctx context.Context, tenants int) (CatchUpResult, error) {
	var out CatchUpResult
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
	if out.DecodedBytes, err = late.waitForRestore(ctx, began); err != nil {
		return out, err
	}
	out.Millis = millisSince(began)
	after, err := c.usage()
	used := after.leader.since(before.leader)
	out.LeaderBytes = float64(used.SentBytes + used.ReceivedBytes)
	return out, err
}

// makeSnapshot proposes enough entries for a snapshot, and waits for raft's next check, which takes it.
func (c *cluster) makeSnapshot(ctx context.Context) error {
	entries := request{Operation: opPropose, Count: entriesForSnapshot, Interval: entryInterval, BodyBytes: entryBodyBytes}
	if _, err := c.leader.call(entries); err != nil {
		return err
	}
	return scale.Wait(ctx, snapshotWait)
}

// waitForRestore waits until the child has restored a state, and returns the size of the state.
func (c *childProcess) waitForRestore(ctx context.Context, began time.Time) (decodedBytes float64, err error) {
	for decodedBytes == 0 {
		if time.Since(began) > restoreTimeout {
			return 0, fmt.Errorf("late follower: state not restored within %v", restoreTimeout)
		}
		if err := scale.Wait(ctx, restorePollInterval); err != nil {
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
