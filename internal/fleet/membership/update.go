package membership

import "time"

// gossipTimeout is how long an update waits for memberlist to have passed it on: not at all, as callers must not wait
// for rounds of gossip. 0 would mean no limit.
const gossipTimeout = time.Nanosecond

// SetRecord replaces this member's own record and hands it to gossip, without waiting for the others to receive it.
// Name and Version are kept. An invalid or too long record is an error and changes nothing.
//
// An update that changes only load (Capacity, LagMS, ShedQuota, AppliedIndex) costs every member of the fleet as much as
// any other and may come at any rate, so those are announced at most once per loadUpdateInterval; of the updates in
// between only the last is announced, at the end of the interval. Every other update is announced at once, together with
// one that was deferred.
func (m *Member) SetRecord(record Record) error {
	announce, err := m.replaceRecord(record)
	if err == nil && announce {
		m.gossipRecord()
	}
	return err
}

// replaceRecord stores the record and tells whether it is to be announced now.
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

// gossipRecord announces the present record. Announcements are serialized: memberlist reads the record before it
// increments the incarnation, so that of two at once the older could win.
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
	_ = m.list.UpdateNode(gossipTimeout) // its only error is the timeout; the update is queued by then
}

// cancelPendingGossip drops a deferred update. mu must be held.
func (m *Member) cancelPendingGossip() {
	if m.pendingGossip != nil {
		m.pendingGossip.Stop()
		m.pendingGossip = nil
	}
}
