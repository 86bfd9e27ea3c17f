package raftlog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"thymechute/internal/decide/lease"
)

// ChildCommand is the sub-command of the program that calls RunChild.
const ChildCommand = "scale-log"

const (
	addServersTimeout = 30 * time.Second      // to add all servers, one after the other
	leaderTimeout     = 10 * time.Second      // to elect the leader of a bootstrapped log, and to add one server
	retryInterval     = 20 * time.Millisecond // between attempts of a failed operation
)

// RunChild answers the requests of the parent process, one JSON object each, until the input ends. It returns the error of writing
// to out.
func RunChild(ctx context.Context, in io.Reader, out io.Writer) error {
	g := &replicaGroup{}
	defer g.stop()
	requests, responses := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var r request
		if err := requests.Decode(&r); err != nil {
			return nil // the parent has closed the input
		}
		reply, err := g.handle(ctx, r)
		if err != nil {
			reply.Error = err.Error()
		}
		if err := responses.Encode(reply); err != nil {
			return err
		}
	}
}

// handle executes one request.
func (g *replicaGroup) handle(ctx context.Context, r request) (reply response, err error) {
	switch r.Operation {
	case opStart:
		err = g.startReplicas(r, &reply)
	case opAdd:
		err = g.addServers(r.Peers, r.Voters)
	case opPropose:
		err = g.proposeEntries(r)
	case opElect:
		reply.Election, err = RunElections(ctx, r.DelayFactor)
		return reply, err
	case opUsage:
		if r.CollectGarbage {
			runtime.GC()
			debug.FreeOSMemory()
		}
		reply.Usage, err = g.usage()
	}
	if err != nil {
		return reply, err
	}
	if len(g.replicas) > 0 {
		reply.Applied, reply.DecodedBytes = g.minAppliedIndex(), g.replicas[len(g.replicas)-1].decodedBytes.Load()
	}
	return reply, nil
}

// startReplicas starts replicas. With Bootstrap it waits until the first one is the leader.
func (g *replicaGroup) startReplicas(r request, reply *response) error {
	state := EncodeSettings(r.Tenants)
	reply.StateBytes = len(state)
	for n := range r.Count {
		started, err := g.start(replicaConfig{bootstrap: r.Bootstrap && n == 0, heartbeatTimeout: r.HeartbeatTimeout, state: state})
		if err != nil {
			return err
		}
		reply.Peers = append(reply.Peers, started.peer)
	}
	if r.Bootstrap {
		return retry(leaderTimeout, func() error { return g.propose(0) })
	}
	return nil
}

// addServers adds servers through the first replica, which must be the leader. The first ones, as many as voters, become voters.
func (g *replicaGroup) addServers(peers []Peer, voters int) error {
	began := time.Now()
	for n, peer := range peers {
		if time.Since(began) > addServersTimeout {
			return fmt.Errorf("add servers: %d of %d added within %v", n, len(peers), addServersTimeout)
		}
		add := g.replicas[0].log.AddNonvoter
		if n < voters {
			add = g.replicas[0].log.AddVoter
		}
		if err := retry(leaderTimeout, func() error { return add(peer.Process, peer.Address) }); err != nil {
			return fmt.Errorf("add server at index %d of %d servers: %w", n, len(peers), err)
		}
	}
	return nil
}

// proposeEntries proposes entries through the first replica, which must be the leader.
func (g *replicaGroup) proposeEntries(r request) error {
	for range r.Count {
		if err := g.propose(r.BodyBytes); err != nil {
			return err
		}
		time.Sleep(r.Interval)
	}
	return nil
}

// propose proposes one entry through the first replica.
func (g *replicaGroup) propose(bodyBytes int) error {
	first := g.replicas[0]
	return first.log.Propose(lease.Command{Kind: lease.Announce, Duty: "ring", Member: first.peer.Process,
		Body: strings.Repeat("x", bodyBytes)})
}

// retry calls f until it succeeds or the timeout has passed, and returns the last error.
func retry(timeout time.Duration, f func() error) error {
	for began := time.Now(); ; time.Sleep(retryInterval) {
		err := f()
		if err == nil || time.Since(began) > timeout {
			return err
		}
	}
}
