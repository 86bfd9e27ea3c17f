package testutil

// FakeConn is a loop.Conn that records what is written.
type FakeConn struct {
	Out    string
	Closed bool
}

// Write appends p to Out.
func (c *FakeConn) Write(p []byte) { c.Out += string(p) }

// Close sets Closed.
func (c *FakeConn) Close() { c.Closed = true }
