// Package runtime is a stand-in for the runtime that owns an instance's cores: it takes the runtime's line protocol
// on loopback, starts what it is told, and ends it after the time of its work. It keeps running when the program
// beside it dies, as the real one does, and tells what a new link has missed. Its tables: runs (mostRuns), notices
// told and not yet known to be read (mostNotices, the oldest go). It must never start one task twice, nor be linked
// by the instance.
package runtime

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	mostRuns    = 1 << 16
	mostNotices = 1 << 16
	longestLine = 64 << 10
)

// Work tells how long a run of the body takes, and what comes of it.
type Work func(band string, body []byte) (span time.Duration, result []byte)

// Runtime is the stand-in.
type Runtime struct {
	work    Work
	started func(band string, body []byte) // told of every run, in order
	ended   func(body []byte, took time.Duration)

	mu      sync.Mutex
	listen  net.Listener
	conn    net.Conn
	out     *bufio.Writer
	began   time.Time
	old     bool
	index   uint64 // of the last notice
	first   uint64 // of the first kept
	notices [][]byte
	runs    map[string]*time.Timer
	done    sync.WaitGroup
	closed  bool
}

// Start listens at a loopback address.
func Start(address string, work Work, started func(band string, body []byte)) (*Runtime, string, error) {
	if a, err := netip.ParseAddrPort(address); err != nil || !a.Addr().IsLoopback() {
		return nil, "", fmt.Errorf("runtime: found %q, expected a loopback address and a port", address)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	r := &Runtime{work: work, started: started, listen: l, began: time.Now(), runs: map[string]*time.Timer{}, first: 1}
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.done.Add(1)
			go r.serve(c)
		}
	}()
	return r, l.Addr().String(), nil
}

// Ended tells from now on of every run that ended by itself, just before its notice is written: its body, and the time since its
// start was read. It is called in turn, and must not block.
func (r *Runtime) Ended(ended func(body []byte, took time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = ended
}

// Close ends it with all its runs.
func (r *Runtime) Close() {
	r.mu.Lock()
	r.closed = true
	for _, t := range r.runs {
		t.Stop()
	}
	if r.conn != nil {
		r.conn.Close()
	}
	r.mu.Unlock()
	r.listen.Close()
	r.done.Wait()
}

// Running is how many runs are on the cores.
func (r *Runtime) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

type command struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      uint64
}

func (r *Runtime) serve(c net.Conn) {
	defer r.done.Done()
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(nil, longestLine)
	for in.Scan() {
		var m command
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return
		}
		r.take(c, m)
		if r.conn == c && r.out != nil {
			_ = r.out.Flush()
		}
		r.mu.Unlock()
	}
}

func (r *Runtime) take(c net.Conn, m command) {
	if m.Verb == "sync" { // the newest link is the one
		if r.conn != nil && r.conn != c {
			r.conn.Close()
		}
		r.conn, r.out = c, bufio.NewWriter(c)
		state := "new"
		if r.old {
			state = "old"
		}
		r.old = true
		fmt.Fprintf(r.out, `{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, time.Since(r.began).Milliseconds())
		for n := max(m.Index+1, r.first); n <= r.index; n++ {
			_, _ = r.out.Write(r.notices[n-r.first])
		}
		return
	}
	if r.conn != c {
		return
	}
	switch m.Verb {
	case "start":
		if r.runs[m.Task] != nil || len(r.runs) >= mostRuns {
			return
		}
		r.started(m.Handler, m.Bytes)
		span, result := r.work(m.Handler, m.Bytes)
		began := time.Now()
		if span <= 0 {
			r.tellEnd(m.Bytes, began)
			r.end(m.Task, "good", 0, result)
			return
		}
		r.runs[m.Task] = time.AfterFunc(span, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[m.Task] != nil && !r.closed {
				delete(r.runs, m.Task)
				r.tellEnd(m.Bytes, began)
				r.end(m.Task, "good", span, result)
				if r.out != nil {
					_ = r.out.Flush()
				}
			}
		})
	case "stop":
		if t := r.runs[m.Task]; t != nil {
			t.Stop()
			delete(r.runs, m.Task)
			r.end(m.Task, "cut", 0, nil)
		}
	case "gauges":
		fmt.Fprintf(r.out, `{"verb":"load","nonce":%q,"readings":[%g,%d]}`+"\n", m.Nonce, 0.1, len(r.runs))
	case "selftest":
		fmt.Fprintf(r.out, `{"verb":"verdict","nonce":%q,"outcome":"good"}`+"\n", m.Nonce)
	}
}

func (r *Runtime) tellEnd(body []byte, began time.Time) {
	if r.ended != nil {
		r.ended(body, time.Since(began))
	}
}

// end is a notice, kept for a link that may have missed it.
func (r *Runtime) end(task, how string, took time.Duration, result []byte) {
	r.index++
	line := fmt.Appendf(nil, `{"verb":"end","index":%d,"task":%q,"outcome":%q,"spent":%g,"bytes":%q}`+"\n",
		r.index, task, how, float64(took)/1e6, base64.StdEncoding.EncodeToString(result))
	if r.notices = append(r.notices, line); len(r.notices) > mostNotices {
		r.notices = append([][]byte(nil), r.notices[mostNotices/2:]...)
		r.first = r.index - uint64(len(r.notices)) + 1
	}
	if r.out != nil {
		_, _ = r.out.Write(line)
	}
}
