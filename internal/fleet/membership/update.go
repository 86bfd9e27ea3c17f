package membership

import "time"

// gossipTimeout is how long memberlist.UpdateNode waits until an update has been sent: practically not at all, as callers
// must not wait for rounds of gossip. 0 would mean without limit.
const gossipTimeout = time.Nanosecond

// SetRecord replaces this member's record and announces it by gossip, without waiting until the others have received it.
// Name and Version are kept. An invalid or too long record is an error and changes nothing.
//
// An update that changes only the load (Capacity, LagMS, ShedQuota, AppliedIndex) costs every member of the fleet as much as
// any other, and may be made at any rate. Load updates are therefore announced at most once per loadUpdateInterval; of those
// in between only the last is announced, at the end of the interval. Every other update is announced at once, together
// with load changes that were deferred.
func (m *Member) SetRecord(record Record) error {
	announce, err := m.replaceRecord(record)
	if err == nil && announce {
		m.gossipRecord()
	}
	return err
}

// replaceRecord stores the record and reports whether it must be announced now.
func (m *Member) replaceRecord(record Record) (announce bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.self
	record.Version, record.Name = RecordVersion, previous.Name
	if _, err := record.encode(); err != nil {
		return false, err
	}
	if err := record.validate(record.Name); err != nil {
		return false, err
	}
	m.self = record
	if record == previous {
		return false, nil
	}
	if record.withoutLoad() != previous.withoutLoad() {
		return true, nil
	}
	wait := loadUpdateInterval(len(m.view)) - time.Since(m.lastGossiped)
	if wait <= 0 {
		return true, nil
	}
	if m.pendingGossip == nil {
		m.pendingGossip = time.AfterFunc(wait, m.gossipRecord)
	}
	return false, nil
}

// gossipRecord announces the current record. Announcements are serialized: memberlist reads the record before it increments
// the incarnation, so that with two at once the older record could get the higher incarnation and replace the newer.
func (m *Member) gossipRecord() {
	m.gossipMutex.Lock()
	defer m.gossipMutex.Unlock()
	m.mu.Lock()
	m.cancelPendingGossip()
	m.lastGossiped = time.Now()
	stopped := m.isStopped
	m.mu.Unlock()
	if stopped {
		return
	}
	_ = m.list.UpdateNode(gossipTimeout) // the only error is the timeout, after which the update is already queued
}

// cancelPendingGossip discards a deferred update. m.mu must be held.
func (m *Member) cancelPendingGossip() {
	if m.pendingGossip != nil {
		m.pendingGossip.Stop()
		m.pendingGossip = nil
	}
}
