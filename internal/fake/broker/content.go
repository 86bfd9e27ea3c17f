package broker

import "io"

// handleContentFrame handles a content header or body frame. It publishes the message once its body is complete.
func (c *conn) handleContentFrame(f Frame) error {
	ch := c.channels[f.Channel]
	if ch == nil {
		return errChannel
	}
	if ch.closing {
		return nil
	}
	m := ch.incoming
	if m == nil || m.hasHeader != (f.Kind == frameBody) {
		return errUnexpectedFrame
	}
	if err := m.addFrame(f); err != nil {
		return err
	}
	if len(m.body) < m.size {
		return nil
	}
	ch.incoming = nil
	return c.publish(ch, m)
}

// addFrame adds the payload of a content frame.
func (m *incomingMessage) addFrame(f Frame) error {
	if f.Kind == frameHeader {
		size, props, err := DecodeHeader(f.Payload)
		if err != nil || size > maxBodyBytes {
			return errSyntax
		}
		m.hasHeader, m.size, m.props = true, int(size), props
		return nil
	}
	m.body = append(m.body, f.Payload...)
	if len(m.body) > m.size {
		return errUnexpectedFrame
	}
	return nil
}

// publish routes and confirms a completely received message, or injects a fault.
func (c *conn) publish(ch *channel, m *incomingMessage) error {
	b := c.broker
	ch.publishCount++
	number := ch.publishCount
	action := b.nextFault(AtPublish)
	switch action {
	case CutBefore:
		return io.EOF
	case ChannelError:
		b.closeChannelWithError(ch, replyPreconditionFailed, "PRECONDITION_FAILED - scripted", methodIDs["basic.publish"])
		return nil
	case Refuse:
		c.sendMethod(ch.id, "basic.nack", number, false, false)
		return nil
	}
	routed := b.route(c, publication{m.exchange, m.key, m.props, m.body})
	if !routed && m.mandatory {
		method := AppendMethod(nil, "basic.return", uint16(replyNoRoute), "NO_ROUTE", m.exchange, m.key)
		c.sendContent(ch.id, method, m.props, m.body)
	}
	confirm := func() { c.sendMethod(ch.id, "basic.ack", number, false) }
	switch {
	case action == CutAfter:
		return io.EOF
	case !ch.confirmMode || action == NoConfirm:
	case action == LateConfirm:
		b.delayedConfirms = append(b.delayedConfirms, confirm)
	default:
		confirm()
	}
	return nil
}
