package broker

import "slices"

// compactAfter is the number of popped entries at the front of a queue's ready list beyond which pop may remove them.
const compactAfter = 1024

// message is a message that is in a queue, or delivered and not settled yet.
type message struct {
	exchange, key string
	props         Props
	body          []byte
	redelivered   bool
	requeues      int    // how often it was requeued after a delivery
	sequence      uint64 // order of publication across all queues
}

// queue is a declared queue with its consumers.
type queue struct {
	name         string
	args         Table
	ready        []*message // from head on, sorted by sequence
	head         int        // index of the first message in ready
	requeued     []*message // sorted by sequence; all published before those in ready
	consumers    []*consumer
	nextConsumer int // round-robin index
	unacked      int // deliveries that are not settled yet
}

func (q *queue) readyCount() int { return len(q.ready) - q.head + len(q.requeued) }

// pop removes and returns the first ready message. It panics when there is none.
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

// requeue puts a delivered message back at its original position.
func (q *queue) requeue(m *message) {
	at, _ := slices.BinarySearchFunc(q.requeued, m.sequence, func(other *message, sequence uint64) int {
		return int(int64(other.sequence) - int64(sequence))
	})
	q.requeued = slices.Insert(q.requeued, at, m)
}

// swapFirst swaps the first two ready messages, if there are two.
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

// nextReadyConsumer returns the consumer for the next delivery: the next one round-robin, or the single active consumer. It
// returns nil when no consumer is ready.
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

// consumer is a subscription of a channel to a queue.
type consumer struct {
	tag      string
	channel  *channel
	queue    *queue
	prefetch int // 0 for no limit
	unacked  int
	noAck    bool
}

// isReady reports whether the consumer can take another delivery.
func (c *consumer) isReady() bool {
	return !c.channel.closing && (c.prefetch == 0 || c.unacked < c.prefetch)
}

// delivery is a delivered message that is not settled yet.
type delivery struct {
	message  *message
	queue    *queue
	consumer *consumer
}
