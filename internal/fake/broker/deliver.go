package broker

// publication is a message and its routing information.
type publication struct {
	exchange, key string
	props         Props
	body          []byte
}

// Publish publishes a message as a peer would, without a connection. It returns false when no queue receives the message.
func (b *Broker) Publish(exchange, key string, props Props, body []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	routed := b.route(nil, publication{exchange, key, props, body})
	b.dispatch()
	return routed
}

// route adds a message to each queue that its exchange routes it to, unless the broker holds maxMessages. It returns false when
// no queue receives the message.
func (b *Broker) route(c *conn, p publication) bool {
	routed := false
	for _, name := range b.routes(p) {
		q := b.queues[name]
		if q == nil || b.messageCount >= maxMessages {
			continue
		}
		b.lastSequence++
		b.messageCount++
		m := &message{exchange: p.exchange, key: p.key, props: p.props, body: p.body, sequence: b.lastSequence}
		q.ready = append(q.ready, m)
		b.emitMessage(EventPublished, c, q, m, 0)
		routed = true
	}
	return routed
}

// routes returns the names of the queues that a message is routed to.
func (b *Broker) routes(p publication) []string {
	if p.exchange == defaultExchange {
		return []string{p.key}
	}
	exchange := b.exchanges[p.exchange]
	if exchange == nil {
		return nil
	}
	return exchange.bindings[exchange.bindingKey(p.key)]
}

// dispatch delivers ready messages of all queues until none is left or no consumer is ready.
func (b *Broker) dispatch() {
	for _, q := range b.queueOrder {
		for q.readyCount() > 0 && b.deliverNext(q) {
		}
	}
}

// deliverNext delivers the next message of a queue, or injects a fault. It returns false when no consumer is ready.
func (b *Broker) deliverNext(q *queue) bool {
	c := q.nextReadyConsumer()
	if c == nil {
		return false
	}
	action := b.nextFault(AtDeliver)
	if b.injectInsteadOfDelivery(c, action) {
		return true
	}
	b.injectBeforeDelivery(c, action)
	m := q.pop()
	b.sendDelivery(c, m)
	b.injectAfterDelivery(c, m, action)
	return true
}

// sendDelivery sends a message to a consumer and tracks it as unacked, unless the consumer has no-ack set.
func (b *Broker) sendDelivery(c *consumer, m *message) {
	ch, q := c.channel, c.queue
	ch.lastTag++
	props := m.props
	if m.requeues > 0 && q.args["x-queue-type"] == "quorum" {
		props = props.WithHeader("x-delivery-count", int64(m.requeues))
	}
	b.emitMessage(EventDelivered, ch.conn, q, m, ch.lastTag)
	if c.noAck {
		b.messageCount--
	} else {
		ch.unacked[ch.lastTag] = delivery{m, q, c}
		c.unacked++
		q.unacked++
	}
	method := AppendMethod(nil, "basic.deliver", c.tag, ch.lastTag, m.redelivered, m.exchange, m.key)
	ch.conn.sendContent(ch.id, method, props, m.body)
}
