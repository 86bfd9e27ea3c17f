// The agreed log of one instance, where the operator's file has one under fleet: this file owns starting it, founding it,
// what of it goes to the program's log and to the member's record, and its end. It must never decide what an entry means,
// and never touch the loop or the module.

package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/quorum"
	"thymechute/internal/fleet/consensus"
	"thymechute/internal/fleet/membership"
	"thymechute/internal/operator"
)

const (
	drift           = 0.01                   // by which a clock may run fast or slow
	foundFor        = time.Minute            // of the told time, in which a start founds the log
	foundAfter      = 2 * time.Second        // in the fleet: who has a log is in the view by then
	publishInterval = 250 * time.Millisecond // how far the log was applied, to the others
	tellLag         = 16                     // entries that need not be told: a follower has caught up from 64 behind on
)

// duties are those that the log grants, the same in all members of a build; a member's turn to claim the n-th is n after
// its turn for the first, so that they are spread.
var duties = []string{"ring", "roll"}

// consensusNode is this process's end of the log; nil where there is none.
type consensusNode struct {
	log     *zap.Logger
	member  *membership.Member
	process string
	driver  atomic.Pointer[consensus.Driver]
	founds  time.Time // when it may found the log; zero: it may not
	leader  string    // last told; the fleet's goroutine alone
}

// newConsensusNode prepares it: the record names this life and where its log is reached.
func newConsensusNode(o *operator.Log, own *membership.Record, name string, zlog *zap.Logger) *consensusNode {
	a := &consensusNode{log: zlog, process: fmt.Sprintf("%s#%x", name, own.Epoch)}
	if own.Process, own.Log = a.process, o.Advertise; o.Advertise == "" {
		own.Log = o.Bind
	}
	if now := time.Now(); !o.FoundAt.IsZero() && now.Sub(o.FoundAt).Abs() < foundFor {
		a.founds = now.Add(foundAfter)
	}
	return a
}

// start begins to follow the log. Errors: an address that can't be bound.
func (a *consensusNode) start(o *operator.Log, m *membership.Member, life uint64) error {
	a.member = m
	length := time.Duration(o.LeaseMS) * time.Millisecond
	lease := lease.Config{Duration: length, MaxDrift: drift, SafetyMargin: length / 50}
	send := func(process string, b []byte) error { return m.Send(process[:strings.LastIndexByte(process, '#')], b) }
	d, err := consensus.StartDriver(consensus.Config{Process: a.process, Bind: o.Bind, Advertise: o.Advertise, Duties: duties, HeartbeatTimeout: length * 3 / 10},
		lease, life, a, send, nil)
	if err != nil {
		return err
	}
	a.driver.Store(d)
	d.ManageVoters(a.peers, quorum.Config{MaxVoters: o.Voters, MinAge: length, HoldDown: 2 * length}, a.changed)
	return nil
}

// receive is another member's message, on memberlist's goroutine; safe on nil and before the start.
func (a *consensusNode) receive(b []byte) {
	if a == nil {
		return
	}
	if d := a.driver.Load(); d != nil {
		d.ReceiveProposal(b)
	}
}

func (a *consensusNode) peers() (out []consensus.Peer) {
	for _, r := range a.member.View() {
		out = append(out, consensus.Peer{Process: r.Process, Address: r.Log, Zone: r.Zone, Region: r.Region, Applied: r.Applied,
			Draining: r.Flag == "leaving"})
	}
	return out
}

// changed is told at the leader: each change of who votes, and each new reason for none.
func (a *consensusNode) changed(c quorum.Change) {
	switch {
	case c.Kind != quorum.NoChange:
		words := map[quorum.ChangeKind]string{quorum.AddLearner: "chosen to vote", quorum.PromoteVoter: "votes", quorum.RemoveServer: "dropped"}
		a.log.Info("fleet log: member "+words[c.Kind], zap.String("process", c.Process), zap.String("why", c.Reason))
	case strings.HasPrefix(c.Reason, "quorum lost"):
		a.log.Warn("fleet log: nothing new is decided", zap.String("why", c.Reason))
	}
}

// refresh founds the log once it is time, notes who leads, and tells in the record how far it has been applied; it returns
// whether the record changed.
func (a *consensusNode) refresh(own *membership.Record) bool {
	d := a.driver.Load()
	if !a.founds.IsZero() && time.Now().After(a.founds) {
		a.founds = time.Time{}
		a.found(d)
	}
	if leader, _ := d.Log.Leader(); leader != a.leader {
		if a.leader = leader; leader == "" {
			a.log.Warn("fleet log: no leader")
		} else {
			a.log.Info("fleet log: leader", zap.String("process", leader))
		}
	}
	applied, _ := d.Log.Applied()
	if applied < own.Applied+tellLag && (own.Applied > 0 || applied == 0) {
		return false
	}
	own.Applied = applied
	return true
}

// found begins the log here, unless somebody in the fleet has one.
func (a *consensusNode) found(d *consensus.Driver) {
	for _, r := range a.member.View() {
		if r.Applied > 0 && r.Process != a.process {
			a.log.Warn("fleet log: not founded, one is there", zap.String("member", r.Name))
			return
		}
	}
	if err := d.Log.Bootstrap(); err != nil {
		a.log.Warn("fleet log: not founded", zap.Error(err))
		return
	}
	a.log.Info("fleet log: founded", zap.String("process", a.process))
}

// setClaimPosition says when it is this member's turn to claim.
func (a *consensusNode) setClaimPosition(rank int) {
	for n, duty := range duties {
		a.driver.Load().SetClaimPosition(duty, rank+n)
	}
}

// The Watcher of the log, on the driver's goroutine.

func (a *consensusNode) LeaseAcquired(duty string, token uint64) {
	a.log.Info("fleet log: duty held", zap.String("duty", duty), zap.Uint64("token", token))
}

func (a *consensusNode) LeaseLost(duty string) {
	a.log.Info("fleet log: duty lost", zap.String("duty", duty))
}

func (a *consensusNode) EntryApplied(uint64, lease.Command, lease.Outcome) {}
func (a *consensusNode) SnapshotRestored([]byte)                           {}
func (a *consensusNode) Tick(time.Duration)                                {}
