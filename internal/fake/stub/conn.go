package stub

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxOpenRequests = 32 // on one connection, the protocol's limit
	dialTimeout     = time.Second
	maxLineBytes    = 64 << 10
	codeRejected    = -32001
)

// conn is one connection of a load. Once it has ended, or the server has announced its end, it takes no further requests.
type conn struct {
	run     *loadRun
	net     net.Conn
	mu      sync.Mutex
	lastID  int         // last request ID used
	pending map[int]int // numbers of the open requests by request ID
	closing bool
}

// dial opens a connection and starts its reader.
func (r *loadRun) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp", r.load.Address, dialTimeout)
	if err != nil {
		return nil, err
	}
	opened := &conn{run: r, net: c, pending: map[int]int{}}
	r.readers.Add(1)
	go opened.read()
	return opened, nil
}

// reserve allocates an ID for request n; ok is false when the connection is at its limit or closing.
func (c *conn) reserve(n int) (id int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.pending) >= maxOpenRequests {
		return 0, false
	}
	c.lastID++
	c.pending[c.lastID] = n
	return c.lastID, true
}

// isClosing reports whether the connection takes no further requests.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// send writes a request; on an error the reader fails all open requests.
func (c *conn) send(id int, request Request, rid uint64) {
	if _, err := c.net.Write(EncodeRequest(id, rid, request)); err != nil {
		c.net.Close()
	}
}

// EncodeRequest encodes one request as a line of JSON-RPC, newline included. id is the JSON-RPC ID, rid the platform's request ID.
func EncodeRequest(id int, rid uint64, request Request) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":1,"acct":%q,"mem":%g,"prio":0.5,"doc":%q}}`+"\n",
		id, request.Class, rid, time.Now().UnixMilli(), request.Tenant, request.MemoryKB,
		base64.StdEncoding.EncodeToString(request.Body))
}

// message is an answer, or the notification that the server closes the connection.
type message struct {
	ID     int
	Method string
	Error  *struct{ Code int }
}

// outcome is that of the request which the message answers.
func (m message) outcome() Outcome {
	switch {
	case m.Error == nil:
		return Served
	case m.Error.Code == codeRejected:
		return Rejected
	default:
		return Failed
	}
}

// read handles the server's messages until the connection ends.
func (c *conn) read() {
	defer c.run.readers.Done()
	defer c.fail()
	in := bufio.NewScanner(c.net)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		var m message
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		if m.Method == "closing" {
			c.closeWhenIdle()
			continue
		}
		c.complete(m)
	}
}

// closeWhenIdle stops taking requests, and closes the connection once none is open.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	c.closing = true
	idle := len(c.pending) == 0
	c.mu.Unlock()
	if idle {
		c.net.Close()
	}
}

// complete records the outcome of the answered request.
func (c *conn) complete(m message) {
	c.mu.Lock()
	number, ok := c.pending[m.ID]
	delete(c.pending, m.ID)
	last := c.closing && len(c.pending) == 0
	c.mu.Unlock()
	if ok {
		c.run.complete(number, m.outcome())
	}
	if last {
		c.net.Close()
	}
}

// fail closes the connection and records its open requests as lost.
func (c *conn) fail() {
	c.net.Close()
	c.mu.Lock()
	c.closing = true
	lost := c.pending
	c.pending = nil
	c.mu.Unlock()
	for _, n := range lost {
		c.run.complete(n, Lost)
	}
}
