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
	maxOpenRequests = 32 // per connection; the protocol's limit
	dialTimeout     = time.Second
	maxLineBytes    = 64 << 10
	codeRejected    = -32001 // JSON-RPC error code of a rejected request
)

// conn is one connection of a load. It takes no further requests once it is closed or the server has announced to close it.
type conn struct {
	run     *loadRun
	net     net.Conn
	mu      sync.Mutex
	lastID  int         // last JSON-RPC ID used
	pending map[int]int // numbers of the open requests, by JSON-RPC ID
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
	go opened.readLoop()
	return opened, nil
}

// reserve allocates a JSON-RPC ID for request n. ok is false when the connection is closing or has maxOpenRequests.
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

// send writes a request. On an error it closes the connection, and the reader records all open requests as lost.
func (c *conn) send(id int, request Request, rid uint64) {
	if _, err := c.net.Write(EncodeRequest(id, rid, request)); err != nil {
		c.net.Close()
	}
}

// EncodeRequest encodes a request as a line of JSON-RPC, including the newline. id is the JSON-RPC ID, rid the platform's request
// ID.
func EncodeRequest(id int, rid uint64, request Request) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":1,"acct":%q,"mem":%g,"prio":0.5,"doc":%q}}`+"\n",
		id, request.Class, rid, time.Now().UnixMilli(), request.Tenant, request.MemoryKB,
		base64.StdEncoding.EncodeToString(request.Body))
}

// message is an answer, or the notification that the server is going to close the connection.
type message struct {
	ID     int
	Method string
	Error  *struct{ Code int }
}

// outcome returns the outcome of the request that the message answers.
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

// readLoop handles the server's messages until the connection ends.
func (c *conn) readLoop() {
	defer c.run.readers.Done()
	defer c.abort()
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

// closeWhenIdle makes the connection take no further requests, and closes it once no request is open.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	c.closing = true
	idle := len(c.pending) == 0
	c.mu.Unlock()
	if idle {
		c.net.Close()
	}
}

// complete records the outcome of the request that m answers.
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

// abort closes the connection and records its open requests as lost.
func (c *conn) abort() {
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
