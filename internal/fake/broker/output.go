package broker

import "slices"

// writeLoop writes the connection's output until the connection is closed, then closes the socket.
func (c *conn) writeLoop() {
	defer c.broker.server.goroutines.Done()
	defer c.net.Close()
	for {
		c.broker.mu.Lock()
		for len(c.output) == 0 && !c.closed {
			c.wake.Wait()
		}
		output := c.output
		c.output = nil
		closed := c.closed
		c.broker.mu.Unlock()
		if len(output) > 0 {
			if _, err := c.net.Write(output); err != nil {
				return
			}
		}
		if closed {
			return
		}
	}
}

// write queues bytes for writeLoop. It disconnects a peer that has more than maxOutputBytes waiting.
func (c *conn) write(p []byte) {
	if c.outputDiscarded || c.closed {
		return
	}
	if c.output = append(c.output, p...); len(c.output) > maxOutputBytes {
		c.net.Close() // readLoop then fails and ends the connection
	}
	c.wake.Broadcast() // not Signal: a paused reader may wait on it as well
}

// truncateOutput removes the last bytes of the unsent output, so that it ends in the middle of a frame.
func (c *conn) truncateOutput() {
	const removed = 7
	c.output = c.output[:max(len(c.output)-removed, 0)]
}

// sendMethod queues a method without content.
func (c *conn) sendMethod(channel uint16, name string, args ...any) {
	c.write(AppendFrame(nil, frameMethod, channel, AppendMethod(nil, name, args...)))
}

// sendContent queues a method with its content header and body, in frames of at most the negotiated size.
func (c *conn) sendContent(channel uint16, method []byte, props Props, body []byte) {
	out := AppendFrame(nil, frameMethod, channel, method)
	out = AppendFrame(out, frameHeader, channel, AppendHeader(nil, len(body), props))
	for part := range slices.Chunk(body, int(c.frameMax)-frameOverhead) {
		out = AppendFrame(out, frameBody, channel, part)
	}
	c.write(out)
}
