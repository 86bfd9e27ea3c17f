package broker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// protocolHeader opens an AMQP 0-9-1 connection; a broker answers with it when it is offered another version.
const protocolHeader = "AMQP\x00\x00\x09\x01"

// handshakeTimeout bounds the time until a connection has agreed on its heartbeat.
const handshakeTimeout = 30 * time.Second

var errProtocolVersion = errors.New("broker: the peer offers another protocol")

// conn is one connection, guarded by the broker's mutex.
type conn struct {
	broker      *Broker
	net         net.Conn
	number      int        // in order of acceptance, from 1
	peer        string     // name in the client properties
	wake        *sync.Cond // for the writer, and for a reader that is paused
	output      []byte     // not written yet
	channels    map[uint16]*channel
	frameMax    uint32
	heartbeat   time.Duration // as agreed; 0 for none
	handshakes  handshakeStep
	closed      bool // closes once its output is written
	outputMuted bool // by a fault: discards further output
	inputPaused bool // by a fault: reads nothing more until Resume
}

// readLoop handles the peer's frames until the connection ends.
func (c *conn) readLoop() {
	defer c.broker.server.goroutines.Done()
	err := c.serve(bufio.NewReader(c.net))
	c.broker.mu.Lock()
	defer c.broker.mu.Unlock()
	var fatal connectionError
	if errors.As(err, &fatal) {
		c.sendMethod(0, "connection.close", fatal.code, fatal.text, uint16(0), uint16(0))
	}
	c.broker.closeConn(c, closeAfterFlush)
	c.broker.dispatch()
}

func (c *conn) serve(r *bufio.Reader) error {
	_ = c.net.SetReadDeadline(time.Now().Add(handshakeTimeout))
	if err := c.startProtocol(r); err != nil {
		return err
	}
	for {
		f, err := ReadFrame(r, c.frameMax-frameOverhead)
		if errors.Is(err, ErrFrame) {
			return errMalformedFrame
		}
		if err != nil {
			return err
		}
		if err := c.receive(f); err != nil {
			return err
		}
	}
}

// startProtocol checks the protocol header and sends connection.start.
func (c *conn) startProtocol(r *bufio.Reader) error {
	var header [len(protocolHeader)]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	c.broker.mu.Lock()
	defer c.broker.mu.Unlock()
	if string(header[:]) != protocolHeader {
		c.write([]byte(protocolHeader))
		return errProtocolVersion
	}
	capabilities := Table{"publisher_confirms": true, "basic.nack": true, "consumer_cancel_notify": true, "connection.blocked": true}
	c.sendMethod(0, "connection.start", uint8(0), uint8(9), Table{"product": "stand-in", "capabilities": capabilities}, "PLAIN", "en_US")
	return nil
}

// receive handles one frame and then delivers what has become deliverable.
func (c *conn) receive(f Frame) error {
	b := c.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	for c.inputPaused && !c.closed && !b.closed {
		c.wake.Wait()
	}
	if c.closed {
		return net.ErrClosed
	}
	var err error
	if c.handshakes < handshakeDone {
		err = c.handshake(f)
	} else {
		err = c.handleFrame(f)
	}
	b.dispatch()
	c.extendReadDeadline()
	return err
}

// extendReadDeadline allows three heartbeats without a frame; a connection without heartbeat may be idle for good.
func (c *conn) extendReadDeadline() {
	switch {
	case c.heartbeat > 0:
		_ = c.net.SetReadDeadline(time.Now().Add(3 * c.heartbeat))
	case c.handshakes == handshakeDone:
		_ = c.net.SetReadDeadline(time.Time{})
	}
}

func (c *conn) handleFrame(f Frame) error {
	switch f.Kind {
	case frameHeartbeat:
		return nil
	case frameHeader, frameBody:
		return c.handleContentFrame(f)
	}
	m, err := DecodeMethod(f.Payload)
	switch {
	case errors.Is(err, ErrMethod):
		return errNotImplemented
	case err != nil:
		return errSyntax
	case f.Channel == 0:
		return c.handleConnectionMethod(m)
	}
	return c.handleChannelMethod(f.Channel, m)
}

// handleConnectionMethod handles a method on channel 0.
func (c *conn) handleConnectionMethod(m Method) error {
	switch m.Name {
	case "connection.close":
		for _, ch := range c.channels { // requeues before the peer learns that the connection is closed
			c.broker.releaseChannel(ch)
		}
		c.sendMethod(0, "connection.close-ok")
		return io.EOF
	case "connection.close-ok":
		return io.EOF
	}
	return errCommandInvalid
}
