// This file owns the way of a message from its publishing to a consumer.

package broker

// Publish puts a message in, as a peer would; false: it reached no queue.
func (b *Broker) Publish(exchange, key string, p Props, body []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ok := b.route(nil, exchange, key, p, body)
	b.pump()
	return ok
}

func (b *Broker) route(c *conn, exchange, key string, p Props, body []byte) bool {
	names := []string{key}
	if exchange != "" {
		if b.kinds[exchange] == "fanout" {
			key = ""
		}
		names = b.exchanges[exchange][key]
	}
	routed := false
	for _, name := range names {
		if q := b.queues[name]; q != nil && b.held < mostHeld {
			b.seq++
			b.held++
			m := &message{exchange: exchange, key: key, props: p, body: body, seq: b.seq}
			q.ready = append(q.ready, m)
			b.tell("published", c, q, m)
			routed = true
		}
	}
	return routed
}

// pump delivers what can be.
func (b *Broker) pump() {
	for _, q := range b.order {
		for q.len() > 0 && b.deliver(q) {
		}
	}
}

// deliver hands the next message of a queue out; false: nobody takes it now.
func (b *Broker) deliver(q *queue) bool {
	var c *consumer
	for range q.consumers {
		q.next %= len(q.consumers)
		at := q.consumers[q.next]
		if q.args["x-single-active-consumer"] == true {
			at = q.consumers[0]
		}
		q.next++
		if !at.ch.closing && (at.credit == 0 || at.out < at.credit) {
			c = at
			break
		}
	}
	if c == nil {
		return false
	}
	ch, to := c.ch, c.ch.conn
	do := b.hit("deliver")
	switch do {
	case "cut-before":
		b.drop(to, "")
		return true
	case "reorder":
		if q.len() > 1 {
			first, second := q.pop(), q.pop()
			first.seq, second.seq = second.seq, first.seq
			q.putBack(second)
			q.putBack(first)
		}
	case "restart":
		b.restart()
		return true
	case "cancel":
		b.cancel(c)
		to.send(ch.id, "basic.cancel", c.tag, true)
		return true
	case "channel-error":
		b.refuse(ch, 406, "PRECONDITION_FAILED - scripted", 0)
		return true
	case "nonsense":
		to.write([]byte("\x00nothing that could be a frame\x00"))
		return true
	case "huge":
		to.write([]byte{frameBody, 0, byte(ch.id), 0x7f, 0xff, 0xff, 0xff})
		return true
	case "endless": // it says how long it is, within what was agreed, and never comes to an end
		to.write(append([]byte{frameBody, 0, byte(ch.id), 0, 0, 0x0f, 0x00}, make([]byte, 100)...))
		to.muted = true
		return true
	case "foreign": // a delivery that no consumer here asked for
		to.send(ch.id, "basic.deliver", "nobody", uint64(1)<<40, false, "", "")
		to.write(AppendFrame(nil, frameHeader, ch.id, AppendHeader(nil, 0, Props{})))
		return true
	case "mute":
		to.muted = true
	case "stop-reading":
		to.deaf = true
	case "block":
		to.send(0, "connection.blocked", "scripted")
	}
	m := q.pop()
	b.hand(c, m)
	switch do {
	case "twice":
		again := *m
		again.again = true
		b.held++
		b.hand(c, &again)
	case "same-tag": // two messages under one delivery tag
		to.content(ch.id, AppendMethod(nil, "basic.deliver", c.tag, ch.next, false, m.exchange, m.key), m.props, m.body)
	case "cut-inside":
		to.cutInside()
		b.drop(to, "flush")
	case "cut-after":
		b.drop(to, "flush")
	}
	return true
}

// hand writes one delivery.
func (b *Broker) hand(c *consumer, m *message) {
	ch, q := c.ch, c.q
	ch.next++
	p := m.props
	if m.times > 0 && q.args["x-queue-type"] == "quorum" {
		p = p.WithHeader("x-delivery-count", int64(m.times))
	}
	b.tell("delivered", ch.conn, q, m, ch.next)
	if c.noAck {
		b.held--
	} else {
		ch.out[ch.next] = unsettled{m, q, c}
		c.out++
		q.out++
	}
	ch.conn.content(ch.id, AppendMethod(nil, "basic.deliver", c.tag, ch.next, m.again, m.exchange, m.key), p, m.body)
}
