package raftlog

import (
	"context"
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
	stablePeriod         = 5 * time.Second // during which the leader should not change
	electionPollInterval = 10 * time.Millisecond
	commitPollInterval   = time.Millisecond
	measuredCommits      = 5 // before each election
)

// roundTripsMillis are the round-trip times between regions, from 40 to 150 ms.
var roundTripsMillis = [4][4]int{{0, 40, 80, 150}, {40, 0, 60, 120}, {80, 60, 0, 100}, {150, 120, 100, 0}}

// ElectionResult is what was measured with one fleet of voters. Times are in milliseconds.
type ElectionResult struct {
	Takeovers             []float64 `json:"Takeovers"`    // from the end of the leader until its successor has committed an entry
	Commits               []float64 `json:"Commits"`      // from the proposal of an entry at the leader until it is committed
	UnexpectedTermChanges uint64    `json:"QuietChanges"` // in quiet periods, without a failure
}

var (
	errNoLeader     = fmt.Errorf("no replica became the leader within %v", electionTimeout)
	errNotCommitted = fmt.Errorf("proposed entry not committed within %v", electionTimeout)
)

// voterRegion returns the region of the n-th voter. Five voters are distributed over four regions.
func voterRegion(n int) int { return n % len(roundTripsMillis) }

// RunElections runs one fleet of voters. The one-way delay between regions is delayFactor times half of the round-trip time. It stops
// the leader as long as a quorum remains after that, which is twice.
func RunElections(ctx context.Context, delayFactor float64) (ElectionResult, error) {
	var out ElectionResult
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

// startVoters starts voters whose connections have the delay between their regions.
func (g *replicaGroup) startVoters(ctx context.Context, delayFactor float64) error {
	delays := regionDelays(delayFactor)
	for n := range voterCount {
		if _, err := g.start(replicaConfig{bootstrap: n == 0, heartbeatTimeout: defaultHeartbeatTimeout, wrapConn: delays}); err != nil {
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

// regionDelays returns a wrapper that adds the one-way delay between the regions of its two ends to each connection.
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

// replaceLeader measures commits, a quiet period, and the election after the leader is stopped. It returns the stopped leader.
func (e *ElectionResult) replaceLeader(ctx context.Context, live []*replica) (ended *replica, err error) {
	leader, err := waitForLeader(ctx, live)
	if err != nil {
		return nil, err
	}
	if err := e.measureCommits(ctx, leader); err != nil {
		return nil, err
	}
	term := leader.log.Term()
	if err := scale.Wait(ctx, stablePeriod); err != nil {
		return nil, err
	}
	e.UnexpectedTermChanges += leader.log.Term() - term
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

// measureCommits measures the commit times of measuredCommits entries, one after the other.
func (e *ElectionResult) measureCommits(ctx context.Context, leader *replica) error {
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

// commitEntry proposes one entry and waits until the applied index of this replica has advanced.
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
