// This file owns the start of a connection, in the strict order of the specification, and its heartbeats.

package broker

import (
	"io"
	"strings"
	"time"
)

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
