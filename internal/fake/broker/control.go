package broker

import (
	"maps"
	"slices"
)

// connsByAge is the connections, the oldest first.
func (b *Broker) connsByAge() []*conn {
	return slices.SortedFunc(maps.Keys(b.conns), func(x, y *conn) int { return x.number - y.number })
}

// closeAllConns closes all connections at once, as a broker that restarts.
func (b *Broker) closeAllConns() {
	for _, c := range b.connsByAge() {
		b.closeConn(c, closeNow)
	}
}

// Restart closes all connections, as a broker with durable queues that restarts.
func (b *Broker) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeAllConns()
}

// CutNewestConn closes the newest connection.
func (b *Broker) CutNewestConn() { b.CutNewestConnOf("") }

// CutNewestConnOf closes the newest connection of that name, or of any name when it is empty.
func (b *Broker) CutNewestConnOf(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range slices.Backward(b.connsByAge()) {
		if name == "" || c.peer == name {
			b.closeConn(c, closeNow)
			b.dispatch()
			return
		}
	}
}

// Resume sends the confirms that LateConfirm delayed, reads again where StopReading paused, and sends connection.unblocked.
func (b *Broker) Resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	confirms := b.delayedConfirms
	b.delayedConfirms = nil
	for _, confirm := range confirms {
		confirm()
	}
	for _, c := range b.connsByAge() {
		c.inputPaused = false
		if c.handshakes == handshakeDone {
			c.sendMethod(0, "connection.unblocked")
		}
		c.wake.Broadcast()
	}
}

// QueueState is the state of one queue, and the number of the broker's connections.
type QueueState struct {
	Ready, Unacked int // messages
	Consumers      int
	Prefetch       int // of all consumers together
	Connections    int
}

// WaitForQueue waits until the queue's state is wanted; it returns false when the broker is closed first. wanted must not call
// the broker.
func (b *Broker) WaitForQueue(name string, wanted func(QueueState) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if wanted(b.queueState(name)) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// WaitForEvents waits until there were count events of a kind; it returns false when the broker is closed first.
func (b *Broker) WaitForEvents(kind EventKind, count int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.eventCounts[kind] < count {
		b.changed.Wait()
	}
	return b.eventCounts[kind] >= count
}

// EventCount is the number of events of a kind so far.
func (b *Broker) EventCount(kind EventKind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eventCounts[kind]
}

// QueueState returns the state of a queue; a queue that is not declared is empty.
func (b *Broker) QueueState(name string) QueueState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queueState(name)
}

func (b *Broker) queueState(name string) QueueState {
	s := QueueState{Connections: len(b.conns)}
	if q := b.queues[name]; q != nil {
		s.Ready, s.Unacked, s.Consumers = q.readyCount(), q.unacked, len(q.consumers)
		for _, c := range q.consumers {
			s.Prefetch += c.prefetch
		}
	}
	return s
}

// Message is a message taken from a queue.
type Message struct {
	Props Props
	Body  []byte
}

// TakeMessages removes and returns the ready messages of a queue.
func (b *Broker) TakeMessages(name string) (all []Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for q := b.queues[name]; q != nil && q.readyCount() > 0; {
		m := q.pop()
		b.messageCount--
		all = append(all, Message{m.props, m.body})
	}
	b.changed.Broadcast()
	return all
}
