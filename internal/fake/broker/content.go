// This file owns the content of a published message: its header and its body, part by part.

package broker

import "io"

// part takes a header or a piece of a body.
func (c *conn) part(ch *channel, f Frame) error {
	p := ch.pub
	if p == nil || p.header != (f.Kind == frameBody) {
		return fatal{505, "UNEXPECTED_FRAME"}
	}
	if f.Kind == frameHeader {
		size, props, err := DecodeHeader(f.Payload)
		if err != nil || size > mostBody {
			return fatal{502, "SYNTAX_ERROR"}
		}
		p.header, p.size, p.props = true, int(size), props
	} else if p.body = append(p.body, f.Payload...); len(p.body) > p.size {
		return fatal{505, "UNEXPECTED_FRAME"}
	}
	if len(p.body) == p.size {
		ch.pub = nil
		return c.publish(ch, p)
	}
	return nil
}

func (c *conn) publish(ch *channel, p *publishing) error {
	b := c.b
	ch.published++
	number := ch.published
	do := b.hit("publish")
	switch do {
	case "cut-before":
		return io.EOF
	case "channel-error":
		b.refuse(ch, 406, "PRECONDITION_FAILED - scripted", byName["basic.publish"])
		return nil
	case "refuse":
		c.send(ch.id, "basic.nack", number, false, false)
		return nil
	}
	if !b.route(c, p.exchange, p.key, p.props, p.body) && p.mandatory {
		c.content(ch.id, AppendMethod(nil, "basic.return", uint16(312), "NO_ROUTE", p.exchange, p.key), p.props, p.body)
	}
	switch {
	case do == "cut-after":
		return io.EOF
	case !ch.confirm || do == "no-confirm":
	case do == "late-confirm":
		b.late = append(b.late, func() { c.send(ch.id, "basic.ack", number, false) })
	default:
		c.send(ch.id, "basic.ack", number, false)
	}
	return nil
}
