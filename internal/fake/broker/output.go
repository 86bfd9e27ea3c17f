package broker

import "slices"

// writeLoop writes the connection's output until the connection is closed.
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

// write queues bytes for the writer; a peer that has maxOutputBytes waiting is disconnected.
func (c *conn) write(p []byte) {
	if c.outputMuted || c.closed {
		return
	}
	if c.output = append(c.output, p...); len(c.output) > maxOutputBytes {
		c.net.Close() // the reader then ends the connection
	}
	c.wake.Broadcast() // not Signal: a paused reader may wait as well
}

// truncateOutput removes the last bytes of the unsent output, so that it ends within a frame.
func (c *conn) truncateOutput() {
	const removed = 7
	c.output = c.output[:max(len(c.output)-removed, 0)]
}

// sendMethod sends a method without content.
func (c *conn) sendMethod(channel uint16, name string, args ...any) {
	c.write(AppendFrame(nil, frameMethod, channel, AppendMethod(nil, name, args...)))
}

// sendContent sends a method with its header and its body, in frames of at most the agreed size.
func (c *conn) sendContent(channel uint16, method []byte, props Props, body []byte) {
	out := AppendFrame(nil, frameMethod, channel, method)
	out = AppendFrame(out, frameHeader, channel, AppendHeader(nil, len(body), props))
	for part := range slices.Chunk(body, int(c.frameMax)-frameOverhead) {
		out = AppendFrame(out, frameBody, channel, part)
	}
	c.write(out)
}
