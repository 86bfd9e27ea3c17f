// This file owns one connection of a load.

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
	mostOpen    = 32 // requests open on one connection, by the protocol
	dialFor     = time.Second
	longestLine = 64 << 10
	rejected    = -32001
)

// conn is a connection; one that ended, or was told to close, takes no more requests.
type conn struct {
	r    *running
	net  net.Conn
	mu   sync.Mutex
	last int         // id
	open map[int]int // ids to the requests' numbers
	done bool
}

func (r *running) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp", r.load.Address, dialFor)
	if err != nil {
		return nil, err
	}
	made := &conn{r: r, net: c, open: map[int]int{}}
	r.readers.Add(1)
	go made.read()
	return made, nil
}

// take books room for a request, and returns its id; not where there is none or the connection takes no more.
func (c *conn) take(n int) (id int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done || len(c.open) >= mostOpen {
		return 0, false
	}
	c.last++
	c.open[c.last] = n
	return c.last, true
}

func (c *conn) ending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

func (c *conn) send(id int, request Request, rid uint64) {
	if _, err := c.net.Write(Line(id, rid, request)); err != nil {
		c.net.Close() // the reader ends what is open
	}
}

// Line is a request as it goes over the wire, its end included.
func Line(id int, rid uint64, request Request) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":1,"acct":%q,"mem":%g,"prio":0.5,"doc":%q}}`+"\n",
		id, request.Class, rid, time.Now().UnixMilli(), request.Tenant, request.MemoryKB,
		base64.StdEncoding.EncodeToString(request.Body))
}

// message is an answer, or the notice that the connection closes.
type message struct {
	ID     int
	Method string
	Error  *struct{ Code int }
}

func (m message) outcome() Outcome {
	switch {
	case m.Error == nil:
		return Served
	case m.Error.Code == rejected:
		return Rejected
	default:
		return Failed
	}
}

func (c *conn) read() {
	defer c.r.readers.Done()
	defer c.lose()
	in := bufio.NewScanner(c.net)
	in.Buffer(nil, longestLine)
	for in.Scan() {
		var m message
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		if m.Method == "closing" {
			c.stop()
			continue
		}
		c.answered(m)
	}
}

// stop takes no further request, and ends the connection once nothing is open.
func (c *conn) stop() {
	c.mu.Lock()
	c.done = true
	idle := len(c.open) == 0
	c.mu.Unlock()
	if idle {
		c.net.Close()
	}
}

func (c *conn) answered(m message) {
	c.mu.Lock()
	n, ok := c.open[m.ID]
	delete(c.open, m.ID)
	last := c.done && len(c.open) == 0
	c.mu.Unlock()
	if ok {
		c.r.ended(n, m.outcome())
	}
	if last {
		c.net.Close()
	}
}

// lose ends what is open: its answers can't come any more.
func (c *conn) lose() {
	c.net.Close()
	c.mu.Lock()
	c.done = true
	lost := c.open
	c.open = nil
	c.mu.Unlock()
	for _, n := range lost {
		c.r.ended(n, Lost)
	}
}
