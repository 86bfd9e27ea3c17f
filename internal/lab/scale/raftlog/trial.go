// This file owns what is measured at one number of followers, and how long a late one takes to catch up. It must never
// measure leader and followers in one process.

package raftlog

import (
	"context"
	"fmt"
	"time"

	"thymechute/internal/lab/scale"
)

// Plan is what one trial does.
type Plan struct {
	Voters     int
	Beat       time.Duration
	Followers  int // that have no vote
	Idle       time.Duration
	Entries    int // proposed, one an EntryEvery
	EntryEvery time.Duration
	EntryBytes int
}

func defaultPlan(followers int) Plan {
	return Plan{Voters: voters, Beat: programBeat, Followers: followers, Idle: 6 * time.Second, Entries: 50, EntryEvery: 100 * time.Millisecond, EntryBytes: 300}
}

// Cost is what one process spent: leader, or a follower on the mean.
type Cost struct {
	IdleSent, IdleReceived float64 // bytes a second with no entry: heartbeats, and the commit index again
	IdleMessages           float64 // sent a second
	IdleProcessor          float64 // per cent of a core
	EntryBytes             float64 // both directions, above the idle, for one entry
	EntryProcessor         float64 // ms, above the idle, for one entry
	Resident               float64 // bytes
}

func (c Cost) idleBytes() float64 { return c.IdleSent + c.IdleReceived }

// Outcome is what one trial has measured.
type Outcome struct {
	Size             int // processes that follow: voters but the leader, and those without a vote
	Leader, Follower Cost
	AddSeconds       float64 // for all to be added
}

// pair is a leader and its followers, each kind in a process of its own.
type pair struct {
	leader, followers *child
	count             int
}

func startPair(ctx context.Context, beat time.Duration, votes, followers, state int) (*pair, answer, error) {
	p := &pair{count: votes - 1 + followers}
	var err error
	if p.leader, err = startChild(ctx); err != nil {
		return nil, answer{}, err
	}
	if p.followers, err = startChild(ctx); err != nil {
		p.leader.end()
		return nil, answer{}, err
	}
	founded, err := p.leader.ask(request{Do: "start", Count: 1, Found: true, Beat: beat, State: state})
	if err != nil {
		p.end()
		return nil, founded, err
	}
	started, err := p.followers.ask(request{Do: "start", Beat: beat, Count: p.count})
	if err == nil {
		_, err = p.leader.ask(request{Do: "add", Peers: started.Peers, Voters: votes - 1})
	}
	if err != nil {
		p.end()
		return nil, founded, err
	}
	return p, founded, nil
}

func (p *pair) end() {
	p.leader.end()
	p.followers.end()
}

// readings of the leader and of all followers.
type readings struct {
	at                time.Time
	leader, followers Reading
}

func (p *pair) read() (readings, error) {
	leader, err := p.leader.ask(request{Do: "read"})
	if err != nil {
		return readings{}, err
	}
	followers, err := p.followers.ask(request{Do: "read"})
	return readings{time.Now(), leader.Reading, followers.Reading}, err
}

// agree waits until all followers have what the leader has.
func (p *pair) agree(ctx context.Context, within time.Duration) error {
	for began := time.Now(); time.Since(began) < within; {
		leader, err := p.leader.ask(request{Do: "applied"})
		if err != nil {
			return err
		}
		followers, err := p.followers.ask(request{Do: "applied"})
		if err != nil {
			return err
		}
		if followers.Applied >= leader.Applied {
			return nil
		}
		if err := wait(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("followers not caught up within %v", within)
}

// try runs one plan.
func try(ctx context.Context, plan Plan) (Outcome, error) {
	began := time.Now()
	p, _, err := startPair(ctx, plan.Beat, plan.Voters, plan.Followers, 0)
	if err != nil {
		return Outcome{}, err
	}
	defer p.end()
	out := Outcome{Size: p.count, AddSeconds: time.Since(began).Seconds()}
	if _, err := p.leader.ask(request{Do: "propose", Count: 1, Bytes: plan.EntryBytes}); err != nil {
		return out, err
	}
	if err := p.agree(ctx, 30*time.Second); err != nil {
		return out, err
	}
	if err := wait(ctx, time.Second); err != nil {
		return out, err
	}
	err = p.measure(ctx, plan, &out)
	return out, err
}

func (p *pair) measure(ctx context.Context, plan Plan, out *Outcome) error {
	start, err := p.read()
	if err != nil {
		return err
	}
	if err := wait(ctx, plan.Idle); err != nil {
		return err
	}
	idle, err := p.read()
	if err != nil {
		return err
	}
	if _, err := p.leader.ask(request{Do: "propose", Count: plan.Entries, Every: plan.EntryEvery, Bytes: plan.EntryBytes}); err != nil {
		return err
	}
	if err := p.agree(ctx, 30*time.Second); err != nil {
		return err
	}
	loaded, err := p.read()
	if err != nil {
		return err
	}
	followers := float64(p.count)
	out.Leader = cost(start.leader, idle.leader, loaded.leader, idle.at.Sub(start.at), loaded.at.Sub(idle.at), plan.Entries, 1)
	out.Follower = cost(start.followers, idle.followers, loaded.followers, idle.at.Sub(start.at), loaded.at.Sub(idle.at), plan.Entries, followers)
	for _, side := range []struct {
		child *child
		cost  *Cost
		share float64
	}{{p.leader, &out.Leader, 1}, {p.followers, &out.Follower, followers}} {
		read, err := side.child.ask(request{Do: "read", Collect: true})
		if err != nil {
			return err
		}
		side.cost.Resident = read.Reading.Resident / side.share
	}
	return nil
}

// cost is of one of so many processes that share a meter.
func cost(start, idle, loaded Reading, idleFor, loadedFor time.Duration, entries int, share float64) Cost {
	quiet, busy := idle.since(start), loaded.since(idle)
	seconds, ratio := idleFor.Seconds(), loadedFor.Seconds()/idleFor.Seconds()
	extraBytes := float64(busy.Sent+busy.Received) - ratio*float64(quiet.Sent+quiet.Received)
	extraProcessor := busy.ProcessorMillis - ratio*quiet.ProcessorMillis
	return Cost{
		IdleSent:       float64(quiet.Sent) / seconds / share,
		IdleReceived:   float64(quiet.Received) / seconds / share,
		IdleMessages:   float64(quiet.Writes) / seconds / share,
		IdleProcessor:  quiet.ProcessorMillis / seconds / 10 / share,
		EntryBytes:     extraBytes / float64(entries) / share,
		EntryProcessor: extraProcessor / float64(entries) / share,
	}
}

// CatchUp is how a process that comes late gets the whole state.
type CatchUp struct {
	StateBytes, DecodedBytes float64
	Millis                   float64
	LeaderBytes              float64
}

const (
	pastSnapshot   = 6000             // entries: past the log's threshold of a snapshot, and those it keeps behind one
	snapshotWithin = 21 * time.Second // raft looks for one every 10 to 20 s
	catchUpWithin  = 30 * time.Second
)

// catchUp adds a follower that starts cold to a leader whose log begins with a snapshot of so many tenants. The leader is
// the only voter: with others a machine that stands still for a moment elects one of them, and the snapshot is not there.
func catchUp(ctx context.Context, tenants int) (CatchUp, error) {
	var out CatchUp
	p, founded, err := startPair(ctx, calmBeat, 1, 0, tenants)
	if err != nil {
		return out, err
	}
	defer p.end()
	out.StateBytes = float64(founded.State)
	if _, err := p.leader.ask(request{Do: "propose", Count: pastSnapshot, Every: 200 * time.Microsecond, Bytes: 50}); err != nil {
		return out, err
	}
	if err := wait(ctx, snapshotWithin); err != nil {
		return out, err
	}
	late, err := startChild(ctx)
	if err != nil {
		return out, err
	}
	defer late.end()
	started, err := late.ask(request{Do: "start", Beat: calmBeat, Count: 1})
	if err != nil {
		return out, err
	}
	before, err := p.read()
	if err != nil {
		return out, err
	}
	began := time.Now()
	if _, err := p.leader.ask(request{Do: "add", Peers: started.Peers}); err != nil {
		return out, err
	}
	for out.DecodedBytes == 0 {
		if time.Since(began) > catchUpWithin {
			return out, fmt.Errorf("no state of %d tenants within %v", tenants, catchUpWithin)
		}
		if err := wait(ctx, 5*time.Millisecond); err != nil {
			return out, err
		}
		reply, err := late.ask(request{Do: "applied"})
		if err != nil {
			return out, err
		}
		out.DecodedBytes = float64(reply.Decoded)
	}
	out.Millis = millisSince(began)
	after, err := p.read()
	used := after.leader.since(before.leader)
	out.LeaderBytes = float64(used.Sent + used.Received)
	return out, err
}

// TargetTenants is the state's real size.
const TargetTenants = scale.TargetTenants
