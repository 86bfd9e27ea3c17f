//go:build review

package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const maxOpen = 32 // requests on one connection

// requestNumber numbers the requests of all stubs, which makes their ids, keys and bodies unique.
var requestNumber atomic.Int64

// stub is a client stub with one connection, which it opens when it needs it.
type stub struct {
	number  int
	address string
	count   func(outcome string) // called for each answer

	mu      sync.Mutex
	conn    net.Conn
	closing bool
	lastID  int
	open    map[int]bool
}

// send sends a new request of the class, with a key if isKeyed. It gives up if no connection or no id is free.
func (s *stub) send(class string, isKeyed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.closing {
		if len(s.open) == 0 {
			s.conn.Close()
		}
		s.conn = nil
	}
	if s.conn == nil && !s.connect() || len(s.open) >= maxOpen {
		return
	}
	n := requestNumber.Add(1)
	params := object{"rid": fmt.Sprintf("%016x", n), "t0": time.Now().UnixMilli(), "peer": s.number, "acct": "marmara-gida",
		"mem": 31, "prio": float64(n%97) / 97, "doc": base64.StdEncoding.EncodeToString(fmt.Appendf(nil, "rpc-%d", n))}
	if isKeyed {
		params["token"] = fmt.Sprintf("%032x", n)
	}
	s.lastID++
	s.open[s.lastID] = true
	line, _ := json.Marshal(object{"jsonrpc": "2.0", "id": s.lastID, "method": class, "params": params})
	_ = s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = s.conn.Write(append(line, '\n'))
	s.count("sent")
}

func (s *stub) connect() bool {
	c, err := net.DialTimeout("tcp", s.address, time.Second)
	if err != nil {
		return false
	}
	s.conn, s.closing, s.lastID, s.open = c, false, 0, map[int]bool{}
	go s.read(c, s.open)
	return true
}

func (s *stub) read(c net.Conn, open map[int]bool) {
	in := bufio.NewScanner(c)
	in.Buffer(nil, 1<<20)
	isClosing := false
	for in.Scan() {
		var answer struct {
			ID     int
			Method string
			Result *struct{}
			Error  *struct{ Code int }
		}
		_ = json.Unmarshal(in.Bytes(), &answer)
		s.mu.Lock()
		switch {
		case answer.Method == "closing":
			isClosing = true
			s.closing = s.closing || s.conn == c
		case answer.Result != nil:
			s.count("served")
		case answer.Error != nil && answer.Error.Code == -32001:
			s.count("refused")
		default:
			s.count("failed")
		}
		delete(open, answer.ID)
		if isClosing && len(open) == 0 {
			c.Close()
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == c {
		s.conn = nil
	}
}

// sendSteadily sends rate requests a second over the stubs in turn, until stop is closed.
func sendSteadily(stubs []*stub, rate float64, class string, isKeyed bool, stop <-chan struct{}) {
	start := time.Now()
	for sent := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		for due := int(time.Since(start).Seconds() * rate); sent < due; sent++ {
			stubs[sent%len(stubs)].send(class, isKeyed)
		}
	}
}
