package raftlog

import (
	"context"
	"fmt"
	"time"

	"thymechute/internal/lab/scale"
)

const followersPollInterval = 50 * time.Millisecond

// cluster is a leader and its followers. The leader runs in its own process, so that its usage is measured separately. The
// followers share a process.
type cluster struct {
	leader, followers *childProcess
	followerCount     int
}

// clusterConfig configures a cluster.
type clusterConfig struct {
	heartbeatTimeout time.Duration
	voters           int // including the leader
	nonVoters        int
	tenants          int // in the state of the leader's state machine; 0 for no state
}

// startCluster starts a cluster. It also returns the leader's response to opStart.
func startCluster(ctx context.Context, config clusterConfig) (*cluster, response, error) {
	c := &cluster{followerCount: config.voters - 1 + config.nonVoters}
	var err error
	if c.leader, err = startChild(ctx); err != nil {
		return nil, response{}, err
	}
	if c.followers, err = startChild(ctx); err != nil {
		c.leader.stop()
		return nil, response{}, err
	}
	leaderStarted, err := c.startServers(config)
	if err != nil {
		c.stop()
		return nil, leaderStarted, err
	}
	return c, leaderStarted, nil
}

func (c *cluster) startServers(config clusterConfig) (leaderStarted response, err error) {
	leaderStarted, err = c.leader.call(request{Operation: opStart, Count: 1, Bootstrap: true,
		HeartbeatTimeout: config.heartbeatTimeout, Tenants: config.tenants})
	if err != nil {
		return leaderStarted, err
	}
	followersStarted, err := c.followers.call(request{Operation: opStart, HeartbeatTimeout: config.heartbeatTimeout, Count: c.followerCount})
	if err != nil {
		return leaderStarted, err
	}
	_, err = c.leader.call(request{Operation: opAdd, Peers: followersStarted.Peers, Voters: config.voters - 1})
	return leaderStarted, err
}

func (c *cluster) stop() {
	c.leader.stop()
	c.followers.stop()
}

// clusterUsage is the usage of both processes at one time.
type clusterUsage struct {
	at                time.Time
	leader, followers Usage
}

func (c *cluster) usage() (clusterUsage, error) {
	leader, err := c.leader.call(request{Operation: opUsage})
	if err != nil {
		return clusterUsage{}, err
	}
	followers, err := c.followers.call(request{Operation: opUsage})
	return clusterUsage{time.Now(), leader.Usage, followers.Usage}, err
}

// waitForFollowers waits until all followers have applied the entries that the leader has applied.
func (c *cluster) waitForFollowers(ctx context.Context) error {
	for began := time.Now(); time.Since(began) < followersTimeout; {
		leader, err := c.leader.call(request{Operation: opApplied})
		if err != nil {
			return err
		}
		followers, err := c.followers.call(request{Operation: opApplied})
		if err != nil {
			return err
		}
		if followers.Applied >= leader.Applied {
			return nil
		}
		if err := scale.Wait(ctx, followersPollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("followers did not catch up with the leader within %v", followersTimeout)
}
