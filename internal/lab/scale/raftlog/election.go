package raftlog

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/lab/scale"
)

const (
	voterCount           = 5
	electionTimeout      = 30 * time.Second
	quietPeriod          = 5 * time.Second // in which the leader should not change
	electionPollInterval = 10 * time.Millisecond
	commitPollInterval   = time.Millisecond
	measuredCommits      = 5 // before each election
)

// roundTripsMillis are those between regions: from 40 to 150.
var roundTripsMillis = [4][4]int{{0, 40, 80, 150}, {40, 0, 60, 120}, {80, 60, 0, 100}, {150, 120, 100, 0}}

// Election is what was measured on one fleet of voters. Times are in milliseconds.
type Election struct {
	Takeovers    []float64 `json:"Takeovers"`    // from the end of a leader until another has had an entry committed
	Commits      []float64 `json:"Commits"`      // from a proposal at the leader until it is committed
	QuietChanges uint64    `json:"QuietChanges"` // of the term, with nothing failing
}

var (
	errNoLeader     = errors.New("no leader in time")
	errNotCommitted = errors.New("entry not committed in time")
)

// voterRegion returns the region of the n-th voter: five over four regions.
func voterRegion(n int) int { return n % len(roundTripsMillis) }

// Elect runs one fleet of voters whose one-way delays are half the round trips times delayFactor. It ends the leader as
// long as the quorum remains, which is twice.
func Elect(ctx context.Context, delayFactor float64) (Election, error) {
	var out Election
	g := &replicaGroup{}
	defer g.stop()
	if err := g.startVoters(ctx, delayFactor); err != nil {
		return out, err
	}
	for live := slices.Clone(g.replicas); len(live) > voterCount/2+1; {
		ended, err := out.replaceLeader(ctx, live)
		if err != nil {
			return out, err
		}
		live = slices.DeleteFunc(live, func(r *replica) bool { return r == ended })
	}
	return out, nil
}

// startVoters starts voters with the delay of their regions on every connection.
func (g *replicaGroup) startVoters(ctx context.Context, delayFactor float64) error {
	delays := regionDelays(delayFactor)
	for n := range voterCount {
		if _, err := g.start(replicaConfig{bootstrap: n == 0, heartbeatTimeout: programHeartbeatTimeout, wrapConn: delays}); err != nil {
			return err
		}
	}
	first := g.replicas[0]
	if _, err := waitForLeader(ctx, g.replicas[:1]); err != nil {
		return err
	}
	for _, r := range g.replicas[1:] {
		add := func() error { return first.log.AddVoter(r.peer.Process, r.peer.Address) }
		if err := retry(electionTimeout, add); err != nil {
			return fmt.Errorf("add voter %s: %w", r.peer.Process, err)
		}
	}
	return nil
}

// regionDelays returns a wrapper that delays each connection by the distance of its ends' regions.
func regionDelays(delayFactor float64) func(net.Conn) net.Conn {
	regions := map[string]int{} // by host
	for n := range voterCount {
		host, _, _ := net.SplitHostPort(scale.LoopbackAddress(n))
		regions[host] = voterRegion(n)
	}
	return func(conn net.Conn) net.Conn {
		from, _, _ := net.SplitHostPort(conn.LocalAddr().String())
		to, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		oneWayMillis := delayFactor * float64(roundTripsMillis[regions[from]][regions[to]]) / 2
		return newDelayedConn(conn, time.Duration(oneWayMillis*float64(time.Millisecond)))
	}
}

// replaceLeader measures commits, a quiet period, and the election after the leader's end. It returns the ended leader.
func (e *Election) replaceLeader(ctx context.Context, live []*replica) (ended *replica, err error) {
	leader, err := waitForLeader(ctx, live)
	if err != nil {
		return nil, err
	}
	if err := e.measureCommits(ctx, leader); err != nil {
		return nil, err
	}
	term := leader.log.Term()
	if err := scale.Wait(ctx, quietPeriod); err != nil {
		return nil, err
	}
	e.QuietChanges += leader.log.Term() - term
	if ended, err = waitForLeader(ctx, live); err != nil {
		return nil, err
	}
	others := slices.DeleteFunc(slices.Clone(live), func(r *replica) bool { return r == ended })
	began := time.Now()
	_ = ended.log.Stop()
	successor, err := waitForLeader(ctx, others)
	if err != nil {
		return nil, err
	}
	if err := successor.commitEntry(ctx); err != nil {
		return nil, err
	}
	e.Takeovers = append(e.Takeovers, millisSince(began))
	return ended, nil
}

// measureCommits measures some entries, one after the other.
func (e *Election) measureCommits(ctx context.Context, leader *replica) error {
	for range measuredCommits {
		began := time.Now()
		if err := leader.commitEntry(ctx); err != nil {
			return err
		}
		e.Commits = append(e.Commits, millisSince(began))
	}
	return nil
}

func waitForLeader(ctx context.Context, replicas []*replica) (*replica, error) {
	for began := time.Now(); time.Since(began) < electionTimeout; {
		for _, r := range replicas {
			if _, isLeader := r.log.Leader(); isLeader {
				return r, nil
			}
		}
		if err := scale.Wait(ctx, electionPollInterval); err != nil {
			return nil, err
		}
	}
	return nil, errNoLeader
}

// commitEntry proposes one entry and waits until this replica has applied it.
func (r *replica) commitEntry(ctx context.Context) error {
	before := r.appliedIndex.Load()
	if err := r.log.Propose(lease.Command{Kind: lease.Announce, Duty: "ring", Member: r.peer.Process, Body: "x"}); err != nil {
		return err
	}
	for began := time.Now(); r.appliedIndex.Load() <= before; {
		if time.Since(began) > electionTimeout {
			return errNotCommitted
		}
		if err := scale.Wait(ctx, commitPollInterval); err != nil {
			return err
		}
	}
	return nil
}

func millisSince(began time.Time) float64 { return scale.Milliseconds(time.Since(began)) }
