package broker

import "slices"

// compactAfter is how many delivered messages a queue's ready list may start with before they are removed.
const compactAfter = 1024

type message struct {
	exchange, key string
	props         Props
	body          []byte
	redelivered   bool
	requeues      int    // deliveries that ended with a requeue
	sequence      uint64 // order of publication over all queues
}

type queue struct {
	name         string
	args         Table
	ready        []*message // by sequence, from head on
	head         int
	requeued     []*message // by sequence, all published before those in ready
	consumers    []*consumer
	nextConsumer int // round-robin index
	unacked      int
}

func (q *queue) readyCount() int { return len(q.ready) - q.head + len(q.requeued) }

// pop removes the first ready message; there must be one.
func (q *queue) pop() *message {
	if len(q.requeued) > 0 {
		m := q.requeued[0]
		q.requeued = q.requeued[1:]
		return m
	}
	m := q.ready[q.head]
	q.ready[q.head] = nil
	if q.head++; q.head > compactAfter && q.head*2 > len(q.ready) {
		q.ready, q.head = slices.Delete(q.ready, 0, q.head), 0
	}
	return m
}

// requeue puts a delivered message back at its place.
func (q *queue) requeue(m *message) {
	at, _ := slices.BinarySearchFunc(q.requeued, m.sequence, func(other *message, sequence uint64) int {
		return int(int64(other.sequence) - int64(sequence))
	})
	q.requeued = slices.Insert(q.requeued, at, m)
}

// swapFirst swaps the first two ready messages, where there are two.
func (q *queue) swapFirst() {
	if q.readyCount() < 2 {
		return
	}
	first, second := q.pop(), q.pop()
	first.sequence, second.sequence = second.sequence, first.sequence
	q.requeue(second)
	q.requeue(first)
}

// purge removes all ready messages and returns their number.
func (q *queue) purge() int {
	count := q.readyCount()
	q.ready, q.head, q.requeued = nil, 0, nil
	return count
}

// nextReadyConsumer is the consumer that the next delivery goes to, round-robin or the single active one; nil when each has
// reached its prefetch limit.
func (q *queue) nextReadyConsumer() *consumer {
	for range q.consumers {
		q.nextConsumer %= len(q.consumers)
		c := q.consumers[q.nextConsumer]
		if q.args["x-single-active-consumer"] == true {
			c = q.consumers[0]
		}
		q.nextConsumer++
		if c.isReady() {
			return c
		}
	}
	return nil
}

type consumer struct {
	tag      string
	channel  *channel
	queue    *queue
	prefetch int // 0 for no limit
	unacked  int
	noAck    bool
}

// isReady reports whether the consumer takes a further delivery.
func (c *consumer) isReady() bool {
	return !c.channel.closing && (c.prefetch == 0 || c.unacked < c.prefetch)
}

// delivery is one that is not settled yet.
type delivery struct {
	message  *message
	queue    *queue
	consumer *consumer
}
