package broker

// injectInsteadOfDelivery injects a fault that replaces the delivery. It returns false when the action is no such fault.
func (b *Broker) injectInsteadOfDelivery(c *consumer, action FaultAction) bool {
	ch, to := c.channel, c.channel.conn
	switch action {
	case CutBefore:
		b.closeConn(to, closeNow)
	case RestartBroker:
		b.closeAllConns()
	case Cancel:
		b.removeConsumer(c)
		to.sendMethod(ch.id, "basic.cancel", c.tag, true)
	case ChannelError:
		b.closeChannelWithError(ch, replyPreconditionFailed, "PRECONDITION_FAILED - scripted", 0)
	case InvalidBytes:
		to.write([]byte("\x00nothing that could be a frame\x00"))
	case OversizedFrame:
		to.write([]byte{frameBody, 0, byte(ch.id), 0x7f, 0xff, 0xff, 0xff})
	case IncompleteFrame: // the stated size is within the negotiated limit, but fewer bytes follow
		to.write(append([]byte{frameBody, 0, byte(ch.id), 0, 0, 0x0f, 0x00}, make([]byte, 100)...))
		to.outputDiscarded = true
	case UnknownConsumer:
		to.sendMethod(ch.id, "basic.deliver", "nobody", uint64(1)<<40, false, "", "")
		to.write(AppendFrame(nil, frameHeader, ch.id, AppendHeader(nil, 0, Props{})))
	default:
		return false
	}
	return true
}

// injectBeforeDelivery injects a fault that precedes or changes the delivery.
func (b *Broker) injectBeforeDelivery(c *consumer, action FaultAction) {
	to := c.channel.conn
	switch action {
	case Reorder:
		c.queue.swapFirst()
	case StopSending:
		to.outputDiscarded = true
	case StopReading:
		to.inputPaused = true
	case Block:
		to.sendMethod(0, "connection.blocked", "scripted")
	}
}

// injectAfterDelivery injects a fault that follows the delivery.
func (b *Broker) injectAfterDelivery(c *consumer, m *message, action FaultAction) {
	ch, to := c.channel, c.channel.conn
	switch action {
	case Duplicate:
		duplicate := *m
		duplicate.redelivered = true
		b.messageCount++
		b.sendDelivery(c, &duplicate)
	case SameTag:
		to.sendContent(ch.id, AppendMethod(nil, "basic.deliver", c.tag, ch.lastTag, false, m.exchange, m.key), m.props, m.body)
	case CutInside:
		to.truncateOutput()
		b.closeConn(to, closeAfterFlush)
	case CutAfter:
		b.closeConn(to, closeAfterFlush)
	}
}
