package broker

// channel is an AMQP channel of a connection.
type channel struct {
	conn         *conn
	id           uint16
	lastTag      uint64 // last delivery tag used
	unacked      map[uint64]delivery
	consumers    map[string]*consumer
	prefetch     int    // for consumers added from now on; 0 for no limit
	confirmMode  bool   // confirm.select was received
	publishCount uint64 // messages published; in publisher confirms, the number of the last one
	closing      bool   // channel.close was sent
	incoming     *incomingMessage
}

// incomingMessage is a published message whose content has not been received completely.
type incomingMessage struct {
	exchange, key string
	mandatory     bool
	hasHeader     bool
	size          int
	props         Props
	body          []byte
}

// handleChannelMethod opens and closes channels, and passes other methods to their handlers in channelMethods.
func (c *conn) handleChannelMethod(id uint16, m Method) error {
	ch := c.channels[id]
	switch {
	case m.Name == "channel.open":
		return c.openChannel(id)
	case ch == nil:
		return errChannel
	case m.Name == "channel.close":
		c.closeChannel(ch)
		c.sendMethod(ch.id, "channel.close-ok")
		delete(c.channels, ch.id)
		return nil
	case m.Name == "channel.close-ok":
		delete(c.channels, ch.id)
		return nil
	case ch.closing:
		return nil
	case ch.incoming != nil:
		return errUnexpectedFrame
	}
	handler, ok := channelMethods[m.Name]
	if !ok {
		return errNotImplemented
	}
	return handler(methodCall{conn: c, channel: ch, method: m})
}

func (c *conn) openChannel(id uint16) error {
	if c.channels[id] != nil || len(c.channels) >= maxChannels {
		return errChannel
	}
	c.channels[id] = &channel{conn: c, id: id, unacked: map[uint64]delivery{}, consumers: map[string]*consumer{}}
	c.sendMethod(id, "channel.open-ok", "")
	return nil
}

// closeChannel removes a channel's consumers and requeues its unacked messages.
func (c *conn) closeChannel(ch *channel) {
	ch.closing = true
	c.broker.releaseChannel(ch)
}

// closeChannelWithError closes a channel with a reply code. Its ID can be used again once the peer has sent channel.close-ok.
// methodID is the class and method that caused the error, 0 if none.
func (b *Broker) closeChannelWithError(ch *channel, code uint16, text string, methodID uint32) {
	ch.conn.closeChannel(ch)
	ch.conn.sendMethod(ch.id, "channel.close", code, text, uint16(methodID>>16), uint16(methodID))
}
