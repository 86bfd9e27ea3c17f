// This file owns what stands at the broker: messages, queues, their consumers, and what is unsettled.

package broker

import "slices"

type message struct {
	exchange, key string
	props         Props
	body          []byte
	again         bool // delivered before
	times         int  // deliveries that came back
	seq           uint64
}

type queue struct {
	name      string
	args      Table
	ready     []*message // by seq
	head      int        // of ready
	returned  []*message // came back; by seq, all older than what is in ready
	consumers []*consumer
	next      int // whose turn it is
	out       int // unsettled
}

func (q *queue) len() int { return len(q.ready) - q.head + len(q.returned) }

func (q *queue) pop() *message {
	if len(q.returned) > 0 {
		m := q.returned[0]
		q.returned = q.returned[1:]
		return m
	}
	m := q.ready[q.head]
	q.ready[q.head] = nil
	if q.head++; q.head > 1024 && q.head*2 > len(q.ready) {
		q.ready, q.head = slices.Delete(q.ready, 0, q.head), 0
	}
	return m
}

func (q *queue) putBack(m *message) {
	at, _ := slices.BinarySearchFunc(q.returned, m.seq, func(x *message, seq uint64) int {
		return int(int64(x.seq) - int64(seq))
	})
	q.returned = slices.Insert(q.returned, at, m)
}

type consumer struct {
	tag    string
	ch     *channel
	q      *queue
	credit int // 0: no bound
	out    int
	noAck  bool
}

type unsettled struct {
	m *message
	q *queue
	c *consumer
}
