package slots

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
)

// Apply applies an entry of the log, whose outcome is given. Entries of other duties are ignored.
func (c *Controller) Apply(now time.Duration, entry lease.Command, outcome lease.Outcome) {
	cmd, ok := decodeCommand(entry, outcome)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch entry.Kind {
	case lease.Decide:
		c.applyDecision(now, cmd)
	case lease.Announce:
		c.applyAnnouncement(now, entry, cmd)
	}
}

// applyDecision applies a command that the leader decided.
func (c *Controller) applyDecision(now time.Duration, cmd command) {
	switch {
	case cmd.Freeze != nil:
		c.applyFreeze(now, *cmd.Freeze)
	case cmd.Activate != 0:
		c.applyActivation(cmd.Activate)
	case cmd.Grant != nil:
		c.applyGrant(now, *cmd.Grant)
	}
}

func (c *Controller) applyFreeze(now time.Duration, f freeze) {
	next, slots, err := applyFreeze(&c.state, f)
	var mismatch *DigestMismatchError
	switch {
	case err == nil:
		c.gate.Freeze(slots)
		c.nextAck = now
		if c.migrator != nil {
			c.migrator.FreezeApplied(next.Version)
		}
	case errors.As(err, &mismatch) && !c.isDiverged:
		c.isDiverged = true
		c.config.Notify(err.Error())
	}
}

func (c *Controller) applyActivation(version uint64) {
	if !c.state.Activate(version) {
		return
	}
	c.gate.Activate(c.state.Active)
	if c.migrator != nil {
		c.migrator.ActivationApplied(version)
	}
	c.config.Notify(fmt.Sprintf("ring: table version %d is active", version))
}

func (c *Controller) applyGrant(now time.Duration, grant ring.Grant) {
	if !c.state.ApplyGrant(grant) {
		return
	}
	c.gate.SetQuotas(grant.QuotasFor(c.state.Participants, c.config.Process))
	if c.warmUp != nil {
		c.warmUp.GrantApplied(now)
	}
}

// applyAnnouncement applies a command that a member announced.
func (c *Controller) applyAnnouncement(now time.Duration, entry lease.Command, cmd command) {
	switch {
	case cmd.Ack != 0:
		c.applyAck(now, entry, cmd.Ack)
	case cmd.Left:
		delete(c.lastAcknowledged, entry.Member)
		c.state.RemoveParticipant(entry.Member)
		if c.migrator != nil {
			c.migrator.MemberLeft(entry.Member)
		}
	}
}

func (c *Controller) applyAck(now time.Duration, entry lease.Command, version uint64) {
	if !c.state.AcceptsAcknowledgement(version) {
		return
	}
	if _, known := c.lastAcknowledged[entry.Member]; known || len(c.lastAcknowledged) < ring.MaxMembers {
		c.lastAcknowledged[entry.Member] = now
	}
	c.state.RecordAcknowledgement(entry.Member)
	if c.migrator != nil {
		c.migrator.AcknowledgementApplied(now, entry.Member, version)
	}
	if entry.Member == c.config.Process && entry.Incarnation == c.config.Incarnation {
		c.extendLease(entry.Seq)
	}
}

// extendLease extends this member's lease from the time at which it sent the acknowledgement with this sequence number, and
// drops the pending ones up to it.
func (c *Controller) extendLease(seq uint64) {
	n := slices.IndexFunc(c.pendingAcks, func(a pendingAck) bool { return a.seq == seq })
	if n < 0 {
		return
	}
	sentAt := c.pendingAcks[n].sentAt
	c.pendingAcks = slices.Delete(c.pendingAcks, 0, n+1)
	c.gate.ExtendLease(sentAt, c.config.Terms)
}
