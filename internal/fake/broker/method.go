// This file owns the methods that a peer may call, and their order.

package broker

import (
	"fmt"
	"io"
)

func (c *conn) method(ch *channel, m Method) error {
	b, id := c.b, byName[m.Name]
	none := func(name string) error {
		b.refuse(ch, 404, "NOT_FOUND - "+name, id)
		return nil
	}
	text := func(i int) string { return m.Args[i].(string) }
	is := func(i int) bool { return m.Args[i].(bool) }
	ok := func(wait bool, args ...any) {
		if wait {
			c.send(ch.id, m.Name+"-ok", args...)
		}
	}
	switch m.Name {
	case "exchange.declare":
		if is(3) && b.kinds[text(1)] == "" {
			return none("exchange " + text(1))
		}
		if !is(3) {
			if err := b.exchange(text(1), text(2)); err != nil {
				b.refuse(ch, 406, "PRECONDITION_FAILED", id)
				return nil
			}
		}
		ok(!is(7))
	case "queue.declare":
		if b.queues[text(1)] == nil && is(2) {
			return none("queue " + text(1))
		}
		if err := b.declare(text(1), m.Args[7].(Table)); err != nil {
			b.refuse(ch, 406, "PRECONDITION_FAILED", id)
			return nil
		}
		q := b.queues[text(1)]
		ok(!is(6), q.name, uint32(q.len()), uint32(len(q.consumers)))
	case "queue.bind":
		if b.bind(text(1), text(2), text(3)) != nil {
			return none(text(1))
		}
		ok(!is(4))
	case "queue.purge":
		q := b.queues[text(1)]
		if q == nil {
			return none(text(1))
		}
		n := q.len()
		q.ready, q.head, q.returned = nil, 0, nil
		b.held -= n
		ok(!is(2), uint32(n))
	case "basic.qos":
		ch.prefetch = int(m.Args[1].(uint16))
		if is(2) { // as for quorum queues: a bound of the channel is not offered
			return fatal{540, "NOT_IMPLEMENTED"}
		}
		ok(true)
	case "basic.consume":
		q := b.queues[text(1)]
		if q == nil {
			return none("queue " + text(1))
		}
		switch b.hit("consume") {
		case "channel-error":
			b.refuse(ch, 403, "ACCESS_REFUSED - scripted", id)
			return nil
		case "cut":
			return io.EOF
		}
		tag := text(2)
		if tag == "" {
			tag = fmt.Sprintf("stand-in-%d-%d", c.number, len(ch.consumers))
		}
		if ch.consumers[tag] != nil {
			return fatal{530, "NOT_ALLOWED - tag in use"}
		}
		x := &consumer{tag: tag, ch: ch, q: q, credit: ch.prefetch, noAck: is(4)}
		ch.consumers[tag] = x
		q.consumers = append(q.consumers, x)
		b.tell("consumed", c, q, nil)
		ok(!is(6), tag)
	case "basic.cancel":
		if b.hit("cancel") == "ignore" { // it goes on delivering, and never answers
			return nil
		}
		if x := ch.consumers[text(0)]; x != nil {
			b.cancel(x)
			b.tell("cancelled", c, x.q, nil)
		}
		ok(!is(1), text(0))
	case "basic.publish":
		if b.kinds[text(1)] == "" {
			return none("exchange " + text(1))
		}
		ch.pub = &publishing{exchange: text(1), key: text(2), mandatory: is(3)}
	case "basic.ack":
		return b.settled(ch, m.Args[0].(uint64), is(1), "acked")
	case "basic.reject", "basic.nack":
		requeue, multiple := is(1), false
		if m.Name == "basic.nack" {
			multiple, requeue = is(1), is(2)
		}
		how := "rejected"
		if requeue {
			how = "requeued"
		}
		return b.settled(ch, m.Args[0].(uint64), multiple, how)
	case "confirm.select":
		ch.confirm = true
		ok(!is(0))
	case "channel.flow", "channel.flow-ok", "basic.cancel-ok":
	default:
		return fatal{540, "NOT_IMPLEMENTED"}
	}
	return nil
}

// settled refuses a delivery tag that is not out, as brokers do: an ack for another channel's delivery ends here.
func (b *Broker) settled(ch *channel, tag uint64, multiple bool, how string) error {
	if !b.settle(ch, tag, multiple, how) {
		b.tell("unknown-tag", ch.conn, nil, nil)
		b.refuse(ch, 406, fmt.Sprintf("PRECONDITION_FAILED - unknown delivery tag %d", tag), byName["basic.ack"])
	}
	return nil
}
