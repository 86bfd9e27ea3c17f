// Connections: this file owns the sockets, the handshake and the strict order of methods and content. A peer out of
// order gets the specification's reply code and loses its channel or its connection, and nothing else is touched.

package broker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type door struct {
	listen net.Listener
	done   sync.WaitGroup
}

type conn struct {
	b        *Broker
	net      net.Conn
	number   int
	name     string     // its own, by its properties
	more     *sync.Cond // on the broker's lock: output, the end, reading again
	out      []byte
	channels map[uint16]*channel
	frameMax uint32
	beat     time.Duration // agreed; 0: none
	open     bool
	ended    bool // written out, then closed
	muted    bool // writes nothing any more
	deaf     bool // reads nothing any more
}

type channel struct {
	conn      *conn
	id        uint16
	next      uint64 // last delivery tag
	out       map[uint64]unsettled
	consumers map[string]*consumer
	prefetch  int
	confirm   bool
	published uint64
	closing   bool
	pub       *publishing
}

type publishing struct {
	exchange, key string
	mandatory     bool
	header        bool
	size          int
	props         Props
	body          []byte
}

// Start listens at a loopback address and returns it as it came to be.
func (b *Broker) Start(address string) (string, error) {
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		return "", fmt.Errorf("broker: found %q, expected a loopback address and a port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	b.door = &door{listen: l}
	b.door.done.Add(1)
	go func() {
		defer b.door.done.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.take(c)
		}
	}()
	return l.Addr().String(), nil
}

// Close ends everything; what waits in Wait goes on.
func (b *Broker) Close() {
	b.mu.Lock()
	b.closed = true
	b.restart()
	b.changed.Broadcast()
	b.mu.Unlock()
	b.door.listen.Close()
	b.door.done.Wait()
}

func (b *Broker) take(n net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.conns) >= mostConns {
		n.Close()
		return
	}
	b.accepted++
	c := &conn{b: b, net: n, number: b.accepted, channels: map[uint16]*channel{}, frameMax: b.FrameMax}
	c.more = sync.NewCond(&b.mu)
	b.conns[c] = struct{}{}
	b.door.done.Add(2)
	go c.writes()
	go c.reads()
}

// writes sends what was put down.
func (c *conn) writes() {
	defer c.b.door.done.Done()
	defer c.net.Close()
	for {
		c.b.mu.Lock()
		for len(c.out) == 0 && !c.ended {
			c.more.Wait()
		}
		p := c.out
		c.out = nil
		ended := c.ended
		c.b.mu.Unlock()
		if len(p) > 0 {
			if _, err := c.net.Write(p); err != nil {
				return
			}
		}
		if ended {
			return
		}
	}
}

func (c *conn) write(p []byte) {
	if c.muted || c.ended {
		return
	}
	if c.out = append(c.out, p...); len(c.out) > mostOut {
		c.net.Close() // its reader drops it
	}
	c.more.Broadcast() // its reader may wait on it too
}

// cutInside takes the second half of the last frames away.
func (c *conn) cutInside() { c.out = c.out[:max(len(c.out)-7, 0)] }

func (c *conn) send(channel uint16, name string, args ...any) {
	c.write(AppendFrame(nil, frameMethod, channel, AppendMethod(nil, name, args...)))
}

// content writes a method with its header and its body, in as many frames as were agreed.
func (c *conn) content(channel uint16, method []byte, p Props, body []byte) {
	out := AppendFrame(nil, frameMethod, channel, method)
	out = AppendFrame(out, frameHeader, channel, AppendHeader(nil, len(body), p))
	for most := int(c.frameMax) - frameExtra; len(body) > 0; {
		n := min(most, len(body))
		out = AppendFrame(out, frameBody, channel, body[:n])
		body = body[n:]
	}
	c.write(out)
}

// fatal is an error that ends a connection, with the specification's code.
type fatal struct {
	code uint16
	text string
}

func (f fatal) Error() string { return fmt.Sprintf("%d %s", f.code, f.text) }

func (c *conn) reads() {
	defer c.b.door.done.Done()
	err := c.handle(bufio.NewReader(c.net))
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	var f fatal
	if errors.As(err, &f) {
		c.send(0, "connection.close", f.code, f.text, uint16(0), uint16(0))
	}
	c.b.drop(c, "flush")
	c.b.pump()
}

func (c *conn) handle(r *bufio.Reader) error {
	b := c.b
	_ = c.net.SetReadDeadline(time.Now().Add(30 * time.Second))
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	if string(head[:]) != "AMQP\x00\x00\x09\x01" {
		b.mu.Lock()
		c.write([]byte("AMQP\x00\x00\x09\x01"))
		b.mu.Unlock()
		return errors.New("another protocol")
	}
	b.mu.Lock()
	c.send(0, "connection.start", uint8(0), uint8(9), Table{"product": "stand-in", "capabilities": Table{"publisher_confirms": true,
		"basic.nack": true, "consumer_cancel_notify": true, "connection.blocked": true}}, "PLAIN", "en_US")
	b.mu.Unlock()
	for step := 0; ; {
		f, err := ReadFrame(r, c.frameMax-frameExtra)
		if err != nil {
			if errors.Is(err, ErrFrame) {
				return fatal{501, "FRAME_ERROR"}
			}
			return err
		}
		b.mu.Lock()
		for c.deaf && !c.ended && !b.closed {
			c.more.Wait()
		}
		if c.ended {
			b.mu.Unlock()
			return net.ErrClosed
		}
		if step < 3 {
			err = c.greet(&step, f)
		} else {
			err = c.frame(f)
		}
		b.pump()
		if c.beat > 0 {
			_ = c.net.SetReadDeadline(time.Now().Add(3 * c.beat))
		} else if step == 3 {
			_ = c.net.SetReadDeadline(time.Time{})
		}
		b.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// greet takes start-ok, tune-ok and open, in this order.
func (c *conn) greet(step *int, f Frame) error {
	if f.Kind == frameHeartbeat {
		return nil
	}
	m, err := DecodeMethod(f.Payload)
	if want := []string{"connection.start-ok", "connection.tune-ok", "connection.open"}[*step]; err != nil || f.Kind != frameMethod || f.Channel != 0 || m.Name != want {
		return fatal{503, "COMMAND_INVALID"}
	}
	*step++
	switch *step {
	case 1:
		switch c.b.hit("login") {
		case "refuse":
			return fatal{403, "ACCESS_REFUSED"}
		case "cut":
			return io.EOF
		case "nonsense":
			c.write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
			return io.EOF
		case "mute":
			c.muted = true
		}
		if part := strings.Split(m.Args[2].(string), "\x00"); m.Args[1] != "PLAIN" || len(part) != 3 || part[1] == "" {
			return fatal{403, "ACCESS_REFUSED"}
		}
		if name, ok := m.Args[0].(Table)["connection_name"].(string); ok {
			c.name = name
		}
		c.send(0, "connection.tune", uint16(mostChannels), c.b.FrameMax, c.b.Heartbeat)
	case 2:
		if size := m.Args[1].(uint32); size != 0 && size <= c.b.FrameMax && size >= 4096 {
			c.frameMax = size
		} else {
			return fatal{503, "COMMAND_INVALID"}
		}
		if s := m.Args[2].(uint16); s > 0 {
			c.beat = time.Duration(s) * time.Second
			c.beats()
		}
	case 3:
		c.open = true
		c.send(0, "connection.open-ok", "")
	}
	return nil
}

// beats sends a heartbeat in each half of the time agreed.
func (c *conn) beats() {
	time.AfterFunc(c.beat/2, func() {
		c.b.mu.Lock()
		defer c.b.mu.Unlock()
		if c.ended {
			return
		}
		if c.b.hit("heartbeat") == "mute" {
			c.muted = true
		}
		c.write(AppendFrame(nil, frameHeartbeat, 0, nil))
		c.beats()
	})
}

func (c *conn) frame(f Frame) error {
	ch := c.channels[f.Channel]
	switch f.Kind {
	case frameHeartbeat:
		return nil
	case frameHeader, frameBody:
		if ch == nil {
			return fatal{504, "CHANNEL_ERROR"}
		}
		if ch.closing {
			return nil
		}
		return c.part(ch, f)
	}
	m, err := DecodeMethod(f.Payload)
	if errors.Is(err, ErrMethod) {
		return fatal{540, "NOT_IMPLEMENTED"}
	} else if err != nil {
		return fatal{502, "SYNTAX_ERROR"}
	}
	if f.Channel == 0 {
		switch m.Name {
		case "connection.close":
			for _, ch := range c.channels { // what is unsettled goes back before the peer hears that it is closed
				for _, x := range ch.consumers {
					c.b.cancel(x)
				}
				c.b.back(ch)
			}
			c.send(0, "connection.close-ok")
			return io.EOF
		case "connection.close-ok":
			return io.EOF
		}
		return fatal{503, "COMMAND_INVALID"}
	}
	if m.Name == "channel.open" {
		if ch != nil || len(c.channels) >= mostChannels {
			return fatal{504, "CHANNEL_ERROR"}
		}
		c.channels[f.Channel] = &channel{conn: c, id: f.Channel, out: map[uint64]unsettled{}, consumers: map[string]*consumer{}}
		c.send(f.Channel, "channel.open-ok", "")
		return nil
	}
	if ch == nil {
		return fatal{504, "CHANNEL_ERROR"}
	}
	if m.Name == "channel.close" || m.Name == "channel.close-ok" {
		if m.Name == "channel.close" {
			c.shut(ch)
			c.send(ch.id, "channel.close-ok")
		}
		delete(c.channels, ch.id)
		return nil
	}
	if ch.closing {
		return nil
	}
	if ch.pub != nil {
		return fatal{505, "UNEXPECTED_FRAME"}
	}
	return c.method(ch, m)
}

// shut ends a channel's consumers and gives back what it has out.
func (c *conn) shut(ch *channel) {
	ch.closing = true
	for _, x := range ch.consumers {
		c.b.cancel(x)
	}
	c.b.back(ch)
}

// refuse closes a channel with a code; the peer must answer before its number is free again.
func (b *Broker) refuse(ch *channel, code uint16, text string, method uint32) {
	ch.conn.shut(ch)
	ch.conn.send(ch.id, "channel.close", code, text, uint16(method>>16), uint16(method))
}

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
