// This file owns what a rig does to the broker, and what it sees of it.

package broker

import (
	"maps"
	"slices"
)

// peers are the connections, the oldest first.
func (b *Broker) peers() []*conn {
	return slices.SortedFunc(maps.Keys(b.conns), func(x, y *conn) int { return x.number - y.number })
}

func (b *Broker) restart() {
	for _, c := range b.peers() {
		b.drop(c, "")
	}
}

// Restart drops all connections, as a broker that goes and comes back at once; its queues are durable.
func (b *Broker) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart()
}

// Cut drops the newest connection.
func (b *Broker) Cut() { b.CutPeer("") }

// CutPeer drops the newest connection of that name, or of any where it is empty.
func (b *Broker) CutPeer(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range slices.Backward(b.peers()) {
		if name == "" || c.name == name {
			b.drop(c, "")
			b.pump()
			return
		}
	}
}

// Release sends the confirms that were held back, and what was blocked goes on.
func (b *Broker) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.late
	b.late = nil
	for _, f := range late {
		f()
	}
	for _, c := range b.peers() {
		if c.deaf = false; c.open {
			c.send(0, "connection.unblocked")
		}
		c.more.Broadcast()
	}
}

// State is what a queue holds.
type State struct{ Ready, Out, Consumers, Credit, Conns int }

// Wait returns once the queue is as wanted, or false when the broker is closed before.
func (b *Broker) Wait(name string, wanted func(State) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if wanted(b.state(name)) {
			return true
		}
		b.changed.Wait()
	}
	return false
}

// Seen returns once so many events of a kind have been, or false when the broker is closed before.
func (b *Broker) Seen(what string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && b.told[what] < n {
		b.changed.Wait()
	}
	return b.told[what] >= n
}

// Counted is how many events of a kind there were.
func (b *Broker) Counted(what string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told[what]
}

// State tells what a queue holds now.
func (b *Broker) State(name string) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(name)
}

func (b *Broker) state(name string) State {
	s := State{Conns: len(b.conns)}
	if q := b.queues[name]; q != nil {
		s.Ready, s.Out, s.Consumers = q.len(), q.out, len(q.consumers)
		for _, c := range q.consumers {
			s.Credit += c.credit
		}
	}
	return s
}

// Message is one that is read out of a queue.
type Message struct {
	Props Props
	Body  []byte
}

// Take empties a queue of what is ready.
func (b *Broker) Take(name string) (all []Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for q := b.queues[name]; q != nil && q.len() > 0; {
		m := q.pop()
		b.held--
		all = append(all, Message{m.props, m.body})
	}
	b.changed.Broadcast()
	return all
}
