// Connections: this file owns what is read of a peer, frame by frame. A peer out of
// order gets the specification's reply code and loses its channel or its connection, and nothing else is touched.

package broker

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

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
