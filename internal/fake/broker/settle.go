// This file owns how deliveries end: settled by their consumer, or back at the queue as a consumer, a channel or a connection goes.

package broker

import (
	"maps"
	"slices"
	"time"
)

// settle ends deliveries: acked, or requeued, or rejected for the dead-letter exchange.
func (b *Broker) settle(ch *channel, tag uint64, multiple bool, how string) bool {
	var tags []uint64
	for t := range ch.out {
		if t == tag || multiple && (t < tag || tag == 0) {
			tags = append(tags, t)
		}
	}
	if len(tags) == 0 && !(multiple && tag == 0) {
		return false
	}
	slices.Sort(tags)
	for _, t := range tags {
		switch do := b.hit("settle"); do {
		case "drop", "drop-cut": // the ack never came here
			b.tell("ack-dropped", ch.conn, ch.out[t].q, ch.out[t].m, t)
			if do == "drop-cut" {
				b.drop(ch.conn, "")
				return true
			}
			continue
		case "restart":
			b.restart()
			return true
		case "stop-reading":
			ch.conn.deaf = true
		case "cut-after":
			b.end(ch, t, how)
			b.drop(ch.conn, "")
			return true
		}
		b.end(ch, t, how)
	}
	return true
}

// end takes one delivery out of the unsettled.
func (b *Broker) end(ch *channel, tag uint64, how string) {
	u := ch.out[tag]
	delete(ch.out, tag)
	u.c.out--
	u.q.out--
	if how == "requeued" || how == "gone" {
		u.m.again = true
		u.m.times++
		if limit, ok := u.q.args["x-delivery-limit"].(int64); !ok || int64(u.m.times) <= limit {
			b.tell(how, ch.conn, u.q, u.m, tag)
			u.q.putBack(u.m)
			return
		}
		how = "rejected"
	}
	if how == "acked" && u.m.times < b.Again {
		u.m.again = true
		u.m.times++
		b.tell("ack-dropped", ch.conn, u.q, u.m, tag)
		u.q.putBack(u.m)
		return
	}
	b.held--
	b.tell(how, ch.conn, u.q, u.m, tag)
	if to, ok := u.q.args["x-dead-letter-exchange"].(string); ok && how == "rejected" {
		key, ok := u.q.args["x-dead-letter-routing-key"].(string)
		if !ok {
			key = u.m.key
		}
		b.route(ch.conn, to, key, u.m.props.WithHeader("x-first-death-reason", "rejected"), u.m.body)
	}
}

// back puts all that a channel has out into its queues again.
func (b *Broker) back(ch *channel) {
	for _, t := range slices.Backward(slices.Sorted(maps.Keys(ch.out))) {
		b.end(ch, t, "gone")
	}
}

// cancel ends a consumer; what it has out stays its channel's to settle.
func (b *Broker) cancel(c *consumer) {
	c.q.consumers = slices.DeleteFunc(c.q.consumers, func(x *consumer) bool { return x == c })
	delete(c.ch.consumers, c.tag)
}

// drop ends a connection: at once, or once what was written is out.
func (b *Broker) drop(c *conn, how string) {
	if _, ok := b.conns[c]; !ok {
		return
	}
	delete(b.conns, c)
	b.tell("lost", c, nil, nil)
	for _, ch := range c.channels {
		for _, x := range ch.consumers {
			b.cancel(x)
		}
		b.back(ch)
	}
	c.ended = true
	if how == "" || c.muted {
		c.out = nil
		c.net.Close()
	} else {
		_ = c.net.SetWriteDeadline(time.Now().Add(flushFor)) // a peer that does not read must not hold the end up
	}
	c.more.Broadcast()
}
