package testutil

// FakeConn is a loop.Conn that records what is written to it.
type FakeConn struct {
	Out    string
	Closed bool
}

// Write implements loop.Conn.
func (c *FakeConn) Write(p []byte) { c.Out += string(p) }

// Close implements loop.Conn.
func (c *FakeConn) Close() { c.Closed = true }
