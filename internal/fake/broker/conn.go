package broker

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// protocolHeader opens an AMQP 0-9-1 connection. A broker answers with it when the peer sends a different header.
const protocolHeader = "AMQP\x00\x00\x09\x01"

// handshakeTimeout is the read deadline of a connection until its heartbeat interval is negotiated or it is open.
const handshakeTimeout = 30 * time.Second

var errProtocolVersion = errors.New("broker: protocol header is not that of AMQP 0-9-1")

// conn is the connection of one peer, guarded by the broker's mutex.
type conn struct {
	broker          *Broker
	net             net.Conn
	number          int        // in order of acceptance, from 1
	peer            string     // connection_name of the client properties
	wake            *sync.Cond // wakes the writer, and a paused reader
	output          []byte     // to be written by writeLoop
	channels        map[uint16]*channel
	frameMax        uint32
	heartbeat       time.Duration // negotiated interval; 0 if disabled
	handshakeStep   handshakeStep
	closed          bool // writeLoop closes the socket once output is written
	outputDiscarded bool // by a fault: write discards everything
	inputPaused     bool // by a fault: handles no frames until Resume
}

// readLoop handles the peer's frames until the connection ends, then closes it.
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

// receive handles one frame and then delivers the messages that have become deliverable.
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
	if c.handshakeStep < handshakeDone {
		err = c.handshake(f)
	} else {
		err = c.handleFrame(f)
	}
	b.dispatch()
	c.extendReadDeadline()
	return err
}

// extendReadDeadline allows three heartbeat intervals until the next frame. An open connection without heartbeats has no read
// deadline.
func (c *conn) extendReadDeadline() {
	switch {
	case c.heartbeat > 0:
		_ = c.net.SetReadDeadline(time.Now().Add(3 * c.heartbeat))
	case c.handshakeStep == handshakeDone:
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
		for _, ch := range c.channels { // requeue messages before the peer learns that the connection is closed
			c.broker.releaseChannel(ch)
		}
		c.sendMethod(0, "connection.close-ok")
		return io.EOF
	case "connection.close-ok":
		return io.EOF
	}
	return errCommandInvalid
}
