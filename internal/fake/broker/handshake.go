package broker

import (
	"io"
	"strings"
	"time"
)

// handshakeStep is the number of handshake methods received so far.
type handshakeStep int

// handshakeMethods are the methods that a peer must send, in this order, before its connection is open.
var handshakeMethods = [...]string{"connection.start-ok", "connection.tune-ok", "connection.open"}

const handshakeDone = handshakeStep(len(handshakeMethods))

// handshake handles a frame of a connection that is not open yet.
func (c *conn) handshake(f Frame) error {
	if f.Kind == frameHeartbeat {
		return nil
	}
	m, err := DecodeMethod(f.Payload)
	if err != nil || f.Kind != frameMethod || f.Channel != 0 || m.Name != handshakeMethods[c.handshakeStep] {
		return errCommandInvalid
	}
	c.handshakeStep++
	switch m.Name {
	case "connection.start-ok":
		return c.authenticate(m)
	case "connection.tune-ok":
		return c.tune(m)
	}
	c.sendMethod(0, "connection.open-ok", "")
	return nil
}

// authenticate accepts any PLAIN credentials with a user name that is not empty, and offers the connection's limits.
func (c *conn) authenticate(startOK Method) error {
	const propertiesArg, mechanismArg, responseArg = 0, 1, 2
	switch c.broker.nextFault(AtLogin) {
	case Refuse:
		return errLoginRefused
	case Cut:
		return io.EOF
	case InvalidBytes:
		c.write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		return io.EOF
	case StopSending:
		c.outputDiscarded = true
	}
	credentials := strings.Split(startOK.Args[responseArg].(string), "\x00")
	if startOK.Args[mechanismArg] != "PLAIN" || len(credentials) != 3 || credentials[1] == "" {
		return errLoginRefused
	}
	if name, ok := startOK.Args[propertiesArg].(Table)["connection_name"].(string); ok {
		c.peer = name
	}
	c.sendMethod(0, "connection.tune", uint16(maxChannels), c.broker.FrameMax, c.broker.Heartbeat)
	return nil
}

// tune applies the limits that the peer has chosen.
func (c *conn) tune(tuneOK Method) error {
	const frameMaxArg, heartbeatArg = 1, 2
	frameMax := tuneOK.Args[frameMaxArg].(uint32)
	if frameMax < minFrameMax || frameMax > c.broker.FrameMax {
		return errCommandInvalid
	}
	c.frameMax = frameMax
	if seconds := tuneOK.Args[heartbeatArg].(uint16); seconds > 0 {
		c.heartbeat = time.Duration(seconds) * time.Second
		c.scheduleHeartbeat()
	}
	return nil
}

// scheduleHeartbeat sends a heartbeat every half of the negotiated interval, until the connection is closed.
func (c *conn) scheduleHeartbeat() {
	time.AfterFunc(c.heartbeat/2, func() {
		c.broker.mu.Lock()
		defer c.broker.mu.Unlock()
		if c.closed {
			return
		}
		if c.broker.nextFault(AtHeartbeat) == StopSending {
			c.outputDiscarded = true
		}
		c.write(AppendFrame(nil, frameHeartbeat, 0, nil))
		c.scheduleHeartbeat()
	})
}
