package broker

import (
	"maps"
	"slices"
)

// connsByAge returns the connections, oldest first.
func (b *Broker) connsByAge() []*conn {
	return slices.SortedFunc(maps.Keys(b.conns), func(x, y *conn) int { return x.number - y.number })
}

// closeAllConns closes all connections without writing their pending output, like a restarting broker.
func (b *Broker) closeAllConns() {
	for _, c := range b.connsByAge() {
		b.closeConn(c, closeNow)
	}
}

// Restart simulates the restart of a broker with durable queues: it closes all connections and keeps the queues.
func (b *Broker) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeAllConns()
}

// CutNewestConn closes the newest connection without writing its pending output.
func (b *Broker) CutNewestConn() { b.CutNewestConnOf("") }

// CutNewestConnOf is CutNewestConn for connections of one name, as given in the client properties; an empty name matches all.
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

// Resume ends the faults LateConfirm, StopReading and Block: it sends the delayed confirms, reads again from paused
// connections and sends connection.unblocked.
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
		if c.handshakeStep == handshakeDone {
			c.sendMethod(0, "connection.unblocked")
		}
		c.wake.Broadcast()
	}
}

// QueueState is the state of one queue, with the number of the broker's connections.
type QueueState struct {
	Ready, Unacked int // messages
	Consumers      int
	Prefetch       int // sum over all consumers
	Connections    int // of the broker
}

// WaitForQueue waits until wanted returns true for the queue's state. It returns false when the broker is closed first. wanted
// must not call the broker.
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

// WaitForEvents waits until count events of a kind have occurred. It returns false when the broker is closed first.
func (b *Broker) WaitForEvents(kind EventKind, count int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.eventCounts[kind] < count {
		b.changed.Wait()
	}
	return b.eventCounts[kind] >= count
}

// EventCount returns the number of events of a kind since the broker was created.
func (b *Broker) EventCount(kind EventKind) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eventCounts[kind]
}

// QueueState returns the state of a queue. For an undeclared queue all counts of the queue are 0.
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

// TakeMessages removes the ready messages from a queue and returns them in order.
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
