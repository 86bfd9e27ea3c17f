package broker

// replaceDelivery injects a fault in place of a delivery; it returns false when the action is none of these.
func (b *Broker) replaceDelivery(c *consumer, action FaultAction) bool {
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
		b.refuse(ch, replyPreconditionFailed, "PRECONDITION_FAILED - scripted", 0)
	case InvalidBytes:
		to.write([]byte("\x00nothing that could be a frame\x00"))
	case OversizedFrame:
		to.write([]byte{frameBody, 0, byte(ch.id), 0x7f, 0xff, 0xff, 0xff})
	case IncompleteFrame: // the size is within the agreed bound, but fewer bytes follow
		to.write(append([]byte{frameBody, 0, byte(ch.id), 0, 0, 0x0f, 0x00}, make([]byte, 100)...))
		to.outputMuted = true
	case UnknownConsumer:
		to.sendMethod(ch.id, "basic.deliver", "nobody", uint64(1)<<40, false, "", "")
		to.write(AppendFrame(nil, frameHeader, ch.id, AppendHeader(nil, 0, Props{})))
	default:
		return false
	}
	return true
}

// disturbDelivery injects a fault before a delivery.
func (b *Broker) disturbDelivery(c *consumer, action FaultAction) {
	to := c.channel.conn
	switch action {
	case Reorder:
		c.queue.swapFirst()
	case StopSending:
		to.outputMuted = true
	case StopReading:
		to.inputPaused = true
	case Block:
		to.sendMethod(0, "connection.blocked", "scripted")
	}
}

// followDelivery injects a fault that follows a delivery.
func (b *Broker) followDelivery(c *consumer, m *message, action FaultAction) {
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
