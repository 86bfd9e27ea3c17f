package broker

import (
	"maps"
	"slices"
	"time"
)

// flushTimeout limits how long a closed connection waits for a peer that does not read its remaining output.
const flushTimeout = 2 * time.Second

// tagRange is the set of delivery tags that a peer settles: a single tag, or with multiple all tags up to it. With multiple,
// tag 0 means all unacked deliveries.
type tagRange struct {
	tag      uint64
	multiple bool
}

func (r tagRange) contains(tag uint64) bool {
	if !r.multiple {
		return tag == r.tag
	}
	return tag <= r.tag || r.isAll()
}

// isAll reports whether the range means all unacked deliveries.
func (r tagRange) isAll() bool { return r.multiple && r.tag == 0 }

// settle settles unacked deliveries as acked, requeued or rejected. It returns false when the range contains no unacked delivery,
// unless it means all of them.
func (b *Broker) settle(ch *channel, tags tagRange, outcome EventKind) bool {
	var settled []uint64
	for tag := range ch.unacked {
		if tags.contains(tag) {
			settled = append(settled, tag)
		}
	}
	if len(settled) == 0 && !tags.isAll() {
		return false
	}
	slices.Sort(settled)
	for _, tag := range settled {
		if !b.settleOne(ch, tag, outcome) {
			break
		}
	}
	return true
}

// settleOne settles one delivery, or injects a fault. It returns false when the connection has been closed.
func (b *Broker) settleOne(ch *channel, tag uint64, outcome EventKind) bool {
	switch action := b.nextFault(AtSettle); action {
	case DropAck, DropAckAndCut:
		lost := ch.unacked[tag]
		b.emitMessage(EventAckDropped, ch.conn, lost.queue, lost.message, tag)
		if action == DropAckAndCut {
			b.closeConn(ch.conn, closeNow)
		}
		return action == DropAck
	case RestartBroker:
		b.closeAllConns()
		return false
	case CutAfter:
		b.endDelivery(ch, tag, outcome)
		b.closeConn(ch.conn, closeNow)
		return false
	case StopReading:
		ch.conn.inputPaused = true
	}
	b.endDelivery(ch, tag, outcome)
	return true
}

// endDelivery removes an unacked delivery, and requeues, discards or dead-letters its message.
func (b *Broker) endDelivery(ch *channel, tag uint64, outcome EventKind) {
	ended := ch.unacked[tag]
	delete(ch.unacked, tag)
	ended.consumer.unacked--
	ended.queue.unacked--
	requeues := outcome == EventRequeued || outcome == EventAutoRequeued
	if requeues && !ended.nextRequeueExceedsLimit() {
		b.requeueDelivery(ch, tag, ended, outcome)
		return
	}
	if requeues {
		ended.message.redelivered = true
		ended.message.requeues++
		outcome = EventRejected
	}
	if outcome == EventAcked && ended.message.requeues < b.RedeliveriesAfterAck {
		b.requeueDelivery(ch, tag, ended, EventAckDropped)
		return
	}
	b.messageCount--
	b.emitMessage(outcome, ch.conn, ended.queue, ended.message, tag)
	if outcome == EventRejected {
		b.deadLetter(ch, ended)
	}
}

// nextRequeueExceedsLimit reports whether one more requeue would exceed the queue's x-delivery-limit.
func (d delivery) nextRequeueExceedsLimit() bool {
	limit, ok := d.queue.args["x-delivery-limit"].(int64)
	return ok && int64(d.message.requeues)+1 > limit
}

// requeueDelivery puts the message of an ended delivery back into its queue, marked as redelivered.
func (b *Broker) requeueDelivery(ch *channel, tag uint64, ended delivery, event EventKind) {
	ended.message.redelivered = true
	ended.message.requeues++
	b.emitMessage(event, ch.conn, ended.queue, ended.message, tag)
	ended.queue.requeue(ended.message)
}

// deadLetter routes a rejected message to its queue's dead-letter exchange, if there is one.
func (b *Broker) deadLetter(ch *channel, rejected delivery) {
	exchange, ok := rejected.queue.args["x-dead-letter-exchange"].(string)
	if !ok {
		return
	}
	key, ok := rejected.queue.args["x-dead-letter-routing-key"].(string)
	if !ok {
		key = rejected.message.key
	}
	props := rejected.message.props.WithHeader("x-first-death-reason", "rejected")
	b.route(ch.conn, publication{exchange, key, props, rejected.message.body})
}

// releaseChannel removes a channel's consumers and requeues its unacked messages.
func (b *Broker) releaseChannel(ch *channel) {
	for _, c := range ch.consumers {
		b.removeConsumer(c)
	}
	for _, tag := range slices.Backward(slices.Sorted(maps.Keys(ch.unacked))) {
		b.endDelivery(ch, tag, EventAutoRequeued)
	}
}

// removeConsumer removes a consumer. Its unacked deliveries can still be settled on the channel.
func (b *Broker) removeConsumer(removed *consumer) {
	removed.queue.consumers = slices.DeleteFunc(removed.queue.consumers, func(c *consumer) bool { return c == removed })
	delete(removed.channel.consumers, removed.tag)
}

// closeMode states what happens to the unsent output of a closed connection.
type closeMode int

const (
	closeNow        closeMode = iota // discard it
	closeAfterFlush                  // write it, within flushTimeout
)

// closeConn closes a connection and requeues its unacked messages. It does nothing when the connection is closed already.
func (b *Broker) closeConn(c *conn, mode closeMode) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	b.emit(EventConnLost, c)
	for _, ch := range c.channels {
		b.releaseChannel(ch)
	}
	c.closed = true
	if mode == closeNow || c.outputDiscarded {
		c.output = nil
		c.net.Close()
	} else {
		_ = c.net.SetWriteDeadline(time.Now().Add(flushTimeout))
	}
	c.wake.Broadcast()
}
