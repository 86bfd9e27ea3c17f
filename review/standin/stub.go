//go:build review

package standin

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Request is one try of a work item.
type Request struct {
	Class, Tenant, Key, Body string
	Again                    bool
	MemoryKB                 float64
}

// Status is the state of a try, as its client stub sees it.
type Status string

// The states of a try.
const (
	Open    Status = "open"    // no answer yet
	Served  Status = "served"  // a result
	Refused Status = "refused" // an error with the code -32001
	Failed  Status = "failed"  // any other error
	Lost    Status = "lost"    // the connection ended without an answer
)

// Try is a try that was written to a connection.
type Try struct {
	Request
	ID        int
	RID       string
	WrittenAt time.Time
	EndedAt   time.Time
	Status    Status
	Answer    string
	Answers   int
}

// Conn is one connection of a client stub. It follows the page "Protocol": ids count up from 1, at most 32 requests are open, and
// after a notification "closing" it sends nothing more.
type Conn struct {
	net    net.Conn
	record *Record
	name   string
	peer   int

	mu      sync.Mutex
	nextID  int
	tries   map[int]*Try
	open    int
	closing bool      // the notification has come
	ended   time.Time // when the connection ended; zero: it has not
	done    chan struct{}
}

// Dial opens a connection; peer is the number of the client stub.
func Dial(address, name string, peer int, record *Record) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	conn := &Conn{net: c, record: record, name: name, peer: peer, tries: map[int]*Try{}, done: make(chan struct{})}
	go conn.read()
	return conn, nil
}

// NewRID returns 16 random hex digits.
func NewRID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Send writes a request. It returns nil if the connection takes no request: it has ended or is closing, or 32 are open.
func (c *Conn) Send(request Request) *Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.ended.IsZero() || c.open >= 32 {
		return nil
	}
	c.nextID++
	try := &Try{Request: request, ID: c.nextID, RID: NewRID(), Status: Open}
	memory := request.MemoryKB
	if memory == 0 {
		memory = 24.5
	}
	params := map[string]any{"rid": try.RID, "t0": time.Now().UnixMilli(), "peer": c.peer, "mem": memory, "prio": 0.5,
		"doc": base64.StdEncoding.EncodeToString([]byte(request.Body))}
	if request.Tenant != "" {
		params["acct"] = request.Tenant
	}
	if request.Key != "" {
		params["token"] = request.Key
	}
	if request.Again {
		params["again"] = 1
	}
	line, _ := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": try.ID, "method": request.Class, "params": params})
	c.record.Printf("%s: sent id %d rid %s class %s tenant %s key %s body %q", c.name, try.ID, try.RID, request.Class, request.Tenant, request.Key, request.Body)
	c.tries[try.ID] = try
	c.open++
	_, err := c.net.Write(append(line, '\n'))
	try.WrittenAt = time.Now()
	if err != nil {
		c.record.Printf("%s: id %d could not be written: %v", c.name, try.ID, err)
	}
	return try
}

func (c *Conn) read() {
	defer close(c.done)
	in := bufio.NewScanner(c.net)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		c.handle(in.Bytes())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = time.Now()
	c.record.Printf("%s: the connection ended with %d requests open (%v)", c.name, c.open, in.Err())
	for _, try := range c.tries {
		if try.Status == Open {
			try.Status = Lost
			try.EndedAt = c.ended
		}
	}
	c.net.Close()
}

func (c *Conn) handle(line []byte) {
	var message struct {
		ID     int
		Method string
		Result *struct{ Doc []byte }
		Error  *struct {
			Code    int
			Message string
		}
	}
	err := json.Unmarshal(line, &message)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Printf("%s: received %s", c.name, line)
	if err != nil {
		return
	}
	if message.Method == "closing" {
		c.closing = true
		if c.open == 0 {
			c.net.Close()
		}
		return
	}
	try := c.tries[message.ID]
	if try == nil {
		return
	}
	try.Answers++
	if try.Status != Open {
		return
	}
	try.EndedAt = time.Now()
	switch {
	case message.Result != nil:
		try.Status = Served
		try.Answer = string(message.Result.Doc)
	case message.Error != nil && message.Error.Code == -32001:
		try.Status = Refused
	default:
		try.Status = Failed
	}
	if message.Error != nil {
		try.Answer = fmt.Sprint(message.Error.Code, " ", message.Error.Message)
	}
	c.open--
	if c.closing && c.open == 0 {
		c.net.Close()
	}
}

// State returns a copy of the try's state.
func (c *Conn) State(try *Try) Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *try
}

// Ended returns when the connection ended; the zero time if it has not.
func (c *Conn) Ended() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// TakesRequests reports whether Send would write a request.
func (c *Conn) TakesRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.ended.IsZero() && c.open < 32
}

// Wait waits until the try is over.
func (c *Conn) Wait(try *Try, limit time.Duration) Try {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if state := c.State(try); state.Status != Open {
			return state
		}
	}
	return c.State(try)
}

// Reset closes the connection with a reset.
func (c *Conn) Reset() {
	_ = c.net.(*net.TCPConn).SetLinger(0)
	c.net.Close()
}

// Close closes the connection.
func (c *Conn) Close() { c.net.Close() }
