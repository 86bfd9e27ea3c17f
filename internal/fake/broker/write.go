// This file owns what a connection sends.

package broker

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
