package broker

import (
	"io"
	"strings"
	"time"
)

// handshakeStep counts the methods of the handshake that have come.
type handshakeStep int

// handshakeMethods are the methods of the handshake, in the order that the specification demands.
var handshakeMethods = [...]string{"connection.start-ok", "connection.tune-ok", "connection.open"}

const handshakeDone = handshakeStep(len(handshakeMethods))

// handshake handles the frames of a connection that is not open yet.
func (c *conn) handshake(f Frame) error {
	if f.Kind == frameHeartbeat {
		return nil
	}
	m, err := DecodeMethod(f.Payload)
	if err != nil || f.Kind != frameMethod || f.Channel != 0 || m.Name != handshakeMethods[c.handshakes] {
		return errCommandInvalid
	}
	c.handshakes++
	switch m.Name {
	case "connection.start-ok":
		return c.logIn(m)
	case "connection.tune-ok":
		return c.tune(m)
	}
	c.sendMethod(0, "connection.open-ok", "")
	return nil
}

// logIn checks the peer's credentials, of which any name does, and offers the connection's limits.
func (c *conn) logIn(startOK Method) error {
	const propertiesArg, mechanismArg, responseArg = 0, 1, 2
	switch c.broker.faultAt(AtLogin) {
	case Refuse:
		return errLoginRefused
	case Cut:
		return io.EOF
	case InvalidBytes:
		c.write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		return io.EOF
	case StopSending:
		c.outputMuted = true
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

// tune takes over the limits that the peer has chosen.
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

// scheduleHeartbeat sends a heartbeat each half of the agreed interval, until the connection is closed.
func (c *conn) scheduleHeartbeat() {
	time.AfterFunc(c.heartbeat/2, func() {
		c.broker.mu.Lock()
		defer c.broker.mu.Unlock()
		if c.closed {
			return
		}
		if c.broker.faultAt(AtHeartbeat) == StopSending {
			c.outputMuted = true
		}
		c.write(AppendFrame(nil, frameHeartbeat, 0, nil))
		c.scheduleHeartbeat()
	})
}
