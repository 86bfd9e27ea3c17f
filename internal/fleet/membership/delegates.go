package membership

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// MaxMessageSize is the maximum size of a message, in bytes.
const MaxMessageSize = 16 << 10

// Send sends a message to the named member over a memberlist stream. Errors: *MessageTooLongError, *UnknownMemberError, or
// memberlist's error if the member cannot be reached.
func (m *Member) Send(name string, message []byte) error {
	if len(message) > MaxMessageSize {
		return &MessageTooLongError{Member: name, Bytes: len(message)}
	}
	for _, node := range m.list.Members() {
		if node.Name == name {
			return m.list.SendReliable(node, message)
		}
	}
	return &UnknownMemberError{Member: name}
}

// delegate supplies the node metadata and receives messages. memberlist holds its lock while it calls a delegate, so no
// delegate may call memberlist.
type delegate struct{ m *Member }

// NodeMeta implements memberlist.Delegate.
func (d delegate) NodeMeta(limit int) []byte {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	metadata, _ := d.m.self.encode() // Start and SetRecord accept only records that can be encoded
	if len(metadata) > limit {
		return nil
	}
	return metadata
}

// NotifyMsg implements memberlist.Delegate. The buffer belongs to memberlist, so the message is copied.
func (d delegate) NotifyMsg(message []byte) {
	if d.m.onMessage != nil && len(message) <= MaxMessageSize {
		d.m.onMessage(slices.Clone(message))
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (delegate) MergeRemoteState([]byte, bool) {}

// aliveDelegate decides which peers memberlist admits.
type aliveDelegate struct{ m *Member }

// NotifyAlive implements memberlist.AliveDelegate.
func (a aliveDelegate) NotifyAlive(node *memberlist.Node) error { return a.m.admit(node) }

// eventDelegate updates the view and notifies the Watcher.
type eventDelegate struct{ m *Member }

// NotifyJoin implements memberlist.EventDelegate.
func (e eventDelegate) NotifyJoin(node *memberlist.Node) {
	record, known, ok := e.store(node)
	switch {
	case !ok:
	case known:
		e.m.watcher.Updated(record)
	default:
		e.m.watcher.Joined(record)
	}
}

// NotifyUpdate implements memberlist.EventDelegate.
func (e eventDelegate) NotifyUpdate(node *memberlist.Node) {
	if record, _, ok := e.store(node); ok {
		e.m.watcher.Updated(record)
	}
}

// store stores a node's record in the view; known reports whether the view contained the node before. A record that became
// invalid after its member was admitted is rejected and not stored.
func (e eventDelegate) store(node *memberlist.Node) (record Record, known, ok bool) {
	record, err := DecodeRecord(node.Name, node.Meta)
	if err != nil {
		e.m.watcher.Rejected(node.Name, err)
		return record, false, false
	}
	e.m.mu.Lock()
	defer e.m.mu.Unlock()
	_, known = e.m.view[node.Name]
	e.m.view[node.Name] = record
	delete(e.m.dead, node.Name)
	return record, known, true
}

// NotifyLeave implements memberlist.EventDelegate. The node's state that memberlist passes does not distinguish a member that
// left from a dead one. The last record does: a member sets FlagLeaving before it leaves.
func (e eventDelegate) NotifyLeave(node *memberlist.Node) {
	e.m.mu.Lock()
	last, known := e.m.view[node.Name]
	delete(e.m.view, node.Name)
	if last.Flag != FlagLeaving && len(e.m.dead) < e.m.maxMembers {
		e.m.dead[node.Name] = deadMember{address: node.Address(), since: time.Now()}
	}
	e.m.mu.Unlock()
	if known {
		e.m.watcher.Left(node.Name)
	}
}
