package raftlog

import (
	"context"
	"time"

	"thymechute/internal/lab/scale"
)

// Plan describes one trial.
type Plan struct {
	Voters           int
	HeartbeatTimeout time.Duration
	NonVoters        int
	IdlePeriod       time.Duration
	Entries          int
	EntryInterval    time.Duration
	EntryBytes       int // size of an entry's body
}

const (
	followersTimeout = 30 * time.Second
	settlePeriod     = time.Second // after the first entry, before the measurement
)

func defaultPlan(nonVoters int) Plan {
	return Plan{Voters: voterCount, HeartbeatTimeout: defaultHeartbeatTimeout, NonVoters: nonVoters, IdlePeriod: 6 * time.Second,
		Entries: 50, EntryInterval: 100 * time.Millisecond, EntryBytes: 300}
}

// Outcome holds the measurements of one trial.
type Outcome struct {
	Followers        int // all servers except the leader
	Leader, Follower Cost
	AddSeconds       float64 // until all followers were added
}

// runTrial measures the cost of a leader and its followers, idle and with entries.
func runTrial(ctx context.Context, plan Plan) (Outcome, error) {
	began := time.Now()
	c, _, err := startCluster(ctx, clusterConfig{plan.HeartbeatTimeout, plan.Voters, plan.NonVoters, 0})
	if err != nil {
		return Outcome{}, err
	}
	defer c.stop()
	out := Outcome{Followers: c.followerCount, AddSeconds: time.Since(began).Seconds()}
	if _, err := c.leader.call(request{Operation: opPropose, Count: 1, BodyBytes: plan.EntryBytes}); err != nil {
		return out, err
	}
	if err := c.waitForFollowers(ctx); err != nil {
		return out, err
	}
	if err := scale.Wait(ctx, settlePeriod); err != nil {
		return out, err
	}
	err = c.measure(ctx, plan, &out)
	return out, err
}

func (c *cluster) measure(ctx context.Context, plan Plan, out *Outcome) error {
	start, err := c.usage()
	if err != nil {
		return err
	}
	if err := scale.Wait(ctx, plan.IdlePeriod); err != nil {
		return err
	}
	idle, err := c.usage()
	if err != nil {
		return err
	}
	entries := request{Operation: opPropose, Count: plan.Entries, Interval: plan.EntryInterval, BodyBytes: plan.EntryBytes}
	if _, err := c.leader.call(entries); err != nil {
		return err
	}
	if err := c.waitForFollowers(ctx); err != nil {
		return err
	}
	loaded, err := c.usage()
	if err != nil {
		return err
	}
	leader := usageSamples{start.leader, idle.leader, loaded.leader, idle.at.Sub(start.at), loaded.at.Sub(idle.at), plan.Entries, 1}
	followers := leader
	followers.start, followers.idle, followers.loaded = start.followers, idle.followers, loaded.followers
	followers.servers = c.followerCount
	out.Leader, out.Follower = leader.costPerServer(), followers.costPerServer()
	if out.Leader.ResidentBytes, err = c.leader.residentBytes(1); err != nil {
		return err
	}
	out.Follower.ResidentBytes, err = c.followers.residentBytes(c.followerCount)
	return err
}

// residentBytes returns the memory of a child per replica, after garbage collection.
func (c *childProcess) residentBytes(replicas int) (float64, error) {
	reply, err := c.call(request{Operation: opUsage, CollectGarbage: true})
	return reply.Usage.ResidentBytes / float64(replicas), err
}
