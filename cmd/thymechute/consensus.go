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
	maxClockDrift   = 0.01
	bootstrapWindow = time.Minute            // before and after the configured time, in which a start bootstraps the log
	bootstrapDelay  = 2 * time.Second        // after joining the fleet, for a member with a log to appear in the view
	publishInterval = 250 * time.Millisecond // of the applied index, in the membership record
	maxPublishLag   = 16                     // entries applied since the last publication; a follower up to 64 behind counts as caught up
)

// duties are the names of the leases that the log grants. They must be the same in all members. A member's position among the
// claimants of each lease is one after its position for the lease before, so that different members acquire them.
var duties = []string{"ring", "roll"}

// consensusNode is this process's replica of the fleet's log, which runs if the operator's file has the element log in
// fleet. It logs changes of the leader, the voters and the leases, and updates the fields of the membership record that describe
// this replica.
type consensusNode struct {
	log         *zap.Logger
	member      *membership.Member
	process     string
	driver      atomic.Pointer[consensus.Driver]
	bootstrapAt time.Time // zero: never
	leader      string    // last logged; owned by fleet.maintainRecord
}

// newConsensusNode prepares a replica: the membership record names this process and its log's address.
func newConsensusNode(settings *operator.Log, record *membership.Record, name string, log *zap.Logger) *consensusNode {
	c := &consensusNode{log: log, process: fmt.Sprintf("%s#%x", name, record.Epoch)}
	record.Process = c.process
	record.LogAddress = settings.Advertise
	if settings.Advertise == "" {
		record.LogAddress = settings.Bind
	}
	now := time.Now()
	if !settings.BootstrapAt.IsZero() && now.Sub(settings.BootstrapAt).Abs() < bootstrapWindow {
		c.bootstrapAt = now.Add(bootstrapDelay)
	}
	return c
}

// start starts the replica. Errors: an address that cannot be bound or resolved.
func (c *consensusNode) start(settings *operator.Log, m *membership.Member, incarnation uint64) error {
	c.member = m
	duration := time.Duration(settings.LeaseDurationMS) * time.Millisecond
	leases := lease.Config{Duration: duration, MaxDrift: maxClockDrift, SafetyMargin: duration / 50}
	config := consensus.Config{
		Process:          c.process,
		Bind:             settings.Bind,
		Advertise:        settings.Advertise,
		Duties:           duties,
		HeartbeatTimeout: duration * 3 / 10,
	}
	driver, err := consensus.StartDriver(consensus.DriverConfig{
		Log: config, Leases: leases, Incarnation: incarnation, Watcher: c, Send: c.send,
	})
	if err != nil {
		return err
	}
	c.driver.Store(driver)
	voters := quorum.Config{MaxVoters: settings.MaxVoters, MinAge: duration, HoldDown: 2 * duration}
	driver.ManageVoters(c.peers, voters, c.logVoterChange)
	return nil
}

// send sends a message to the member that is a process.
func (c *consensusNode) send(process string, message []byte) error {
	name := process[:strings.LastIndexByte(process, '#')]
	return c.member.Send(name, message)
}

// receive handles another member's message, on memberlist's goroutine. It is safe on nil and before start.
func (c *consensusNode) receive(message []byte) {
	if c == nil {
		return
	}
	if driver := c.driver.Load(); driver != nil {
		driver.ReceiveProposal(message)
	}
}

// peers returns the membership view.
func (c *consensusNode) peers() (peers []consensus.Peer) {
	for _, r := range c.member.View() {
		peers = append(peers, consensus.Peer{
			Process:  r.Process,
			Address:  r.LogAddress,
			Zone:     r.Zone,
			Region:   r.Region,
			Applied:  r.AppliedIndex,
			Draining: r.Flag == membership.FlagLeaving,
		})
	}
	return peers
}

// logVoterChange logs a change of the voters, or that none can be made because the quorum is lost. The leader alone calls it.
func (c *consensusNode) logVoterChange(change quorum.Change) {
	process := zap.String("process", change.Process)
	reason := zap.String("reason", change.Reason)
	switch change.Kind {
	case quorum.AddLearner:
		c.log.Info("fleet log: learner chosen", process, reason)
	case quorum.PromoteVoter:
		c.log.Info("fleet log: voter added", process, reason)
	case quorum.RemoveServer:
		c.log.Info("fleet log: server removed", process, reason)
	default:
		if change.IsQuorumLost() {
			c.log.Warn("fleet log: quorum lost", reason)
		}
	}
}

// refresh bootstraps the log when that is due, logs changes of the leader, and updates the applied index in the membership
// record. It reports whether the record changed.
func (c *consensusNode) refresh(record *membership.Record) (isChanged bool) {
	driver := c.driver.Load()
	if !c.bootstrapAt.IsZero() && time.Now().After(c.bootstrapAt) {
		c.bootstrapAt = time.Time{}
		c.bootstrap(driver)
	}
	if leader, _ := driver.Log.Leader(); leader != c.leader {
		c.leader = leader
		c.logLeader()
	}
	applied, _ := driver.Log.Applied()
	isFirst := record.AppliedIndex == 0 && applied > 0
	if !isFirst && applied < record.AppliedIndex+maxPublishLag {
		return false
	}
	record.AppliedIndex = applied
	return true
}

func (c *consensusNode) logLeader() {
	if c.leader == "" {
		c.log.Warn("fleet log: no leader")
		return
	}
	c.log.Info("fleet log: leader", zap.String("process", c.leader))
}

// bootstrap starts a new log with this process, unless another member has one.
func (c *consensusNode) bootstrap(driver *consensus.Driver) {
	for _, r := range c.member.View() {
		if r.AppliedIndex > 0 && r.Process != c.process {
			c.log.Warn("fleet log: bootstrap skipped, another member has a log", zap.String("member", r.Name))
			return
		}
	}
	if err := driver.Log.Bootstrap(); err != nil {
		c.log.Warn("fleet log: bootstrap failed", zap.Error(err))
		return
	}
	c.log.Info("fleet log: bootstrapped", zap.String("process", c.process))
}

// setClaimPosition sets this member's position as a claimant, by its rank in the fleet.
func (c *consensusNode) setClaimPosition(rank int) {
	for n, duty := range duties {
		c.driver.Load().SetClaimPosition(duty, rank+n)
	}
}

// LeaseAcquired implements consensus.Watcher.
func (c *consensusNode) LeaseAcquired(duty string, token uint64) {
	c.log.Info("fleet log: lease acquired", zap.String("duty", duty), zap.Uint64("token", token))
}

// LeaseLost implements consensus.Watcher.
func (c *consensusNode) LeaseLost(duty string) {
	c.log.Info("fleet log: lease lost", zap.String("duty", duty))
}

// EntryApplied implements consensus.Watcher.
func (c *consensusNode) EntryApplied(uint64, lease.Command, lease.Outcome) {}

// SnapshotRestored implements consensus.Watcher.
func (c *consensusNode) SnapshotRestored([]byte) {}

// Tick implements consensus.Watcher.
func (c *consensusNode) Tick(time.Duration) {}
