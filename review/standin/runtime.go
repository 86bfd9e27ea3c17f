//go:build review

package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// maxKeptNotices is how many notices a runtime keeps for a new link.
const maxKeptNotices = 4000

// Runtime is the process that owns the cores, by the page "Protocol": it runs each request once, numbers its notices, keeps the
// last 4,000 and sends a new link those that it has missed. A start of a request that runs has no effect, and one of a request
// that has ended is answered with "gone".
type Runtime struct {
	Address  string
	Waiting  float64 // share of a run's time in which it waits for a disk and needs no core
	PadTo    int     // bytes of a result
	listener net.Listener
	record   *Record
	work     func(handler string, body []byte) time.Duration
	started  time.Time

	mu      sync.Mutex
	link    net.Conn
	synced  bool
	notices [][]byte
	index   uint64 // of the last notice
	running map[string]*time.Timer
	runs    map[string]int // number of runs by task
	bodies  map[string]int // number of runs by body
	ended   map[string]int // number of completed runs by body
	starts  map[string]time.Time
}

// StartRuntime listens on a free loopback port. work returns how long a request runs.
func StartRuntime(record *Record, work func(handler string, body []byte) time.Duration) (*Runtime, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runtime{Address: listener.Addr().String(), listener: listener, record: record, work: work, started: time.Now(),
		running: map[string]*time.Timer{}, runs: map[string]int{}, bodies: map[string]int{}, starts: map[string]time.Time{}, ended: map[string]int{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// Close stops listening and ends the link.
func (r *Runtime) Close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil {
		r.link.Close()
	}
}

// RunsOfBody returns how often a request with this body was run.
func (r *Runtime) RunsOfBody(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[body]
}

// Completed returns how often a run of a request with this body was completed.
func (r *Runtime) Completed(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended[body]
}

// StartOf returns when the run of a task began.
func (r *Runtime) StartOf(task string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.starts[task]
	return at, ok
}

type runtimeCommand struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      uint64
}

func (r *Runtime) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		var command runtimeCommand
		if json.Unmarshal(in.Bytes(), &command) != nil {
			return
		}
		r.handle(c, command)
	}
}

func (r *Runtime) handle(c net.Conn, command runtimeCommand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if command.Verb == "sync" {
		r.sync(c, command.Index)
		return
	}
	if r.link != c {
		return
	}
	switch command.Verb {
	case "start":
		r.start(command)
	case "stop":
		if timer := r.running[command.Task]; timer != nil && timer.Stop() {
			delete(r.running, command.Task)
			r.record.Printf("runtime: stopped %s", command.Task)
			r.notify(`"verb":"end"`, fmt.Sprintf(`"task":%q,"outcome":"cut","spent":1`, command.Task))
		}
	case "gauges":
		fmt.Fprintf(c, `{"verb":"load","nonce":%q,"readings":[0.5,%d,0.2,10]}`+"\n", command.Nonce, int((1-r.Waiting)*float64(len(r.running))))
	case "selftest":
		fmt.Fprintf(c, `{"verb":"verdict","nonce":%q,"outcome":"good"}`+"\n", command.Nonce)
	}
}

func (r *Runtime) sync(c net.Conn, read uint64) {
	if r.link != nil && r.link != c {
		r.link.Close()
	}
	r.link = c
	if read == 0 { // the service instance has started: its notices are numbered from 1
		r.index = 0
		r.notices = nil
	}
	state := "new"
	if r.synced {
		state = "old"
	}
	r.synced = true
	fmt.Fprintf(c, `{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, time.Since(r.started).Milliseconds())
	first := r.index - uint64(len(r.notices)) + 1
	for index := max(read+1, first); index <= r.index; index++ {
		c.Write(r.notices[index-first])
	}
}

func (r *Runtime) start(command runtimeCommand) {
	if r.running[command.Task] != nil {
		return
	}
	if r.runs[command.Task] > 0 {
		r.notify(`"verb":"end"`, fmt.Sprintf(`"task":%q,"outcome":"gone","spent":0`, command.Task))
		return
	}
	r.runs[command.Task]++
	r.starts[command.Task] = time.Now()
	r.bodies[string(command.Bytes)]++
	r.record.Printf("runtime: run %s of class %s, body %q, run number %d of that body", command.Task, command.Handler, command.Bytes,
		r.bodies[string(command.Bytes)])
	took := r.work(command.Handler, command.Bytes)
	r.running[command.Task] = time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.running[command.Task] == nil {
			return
		}
		delete(r.running, command.Task)
		r.ended[string(command.Bytes)]++
		text := "result of " + string(command.Bytes)
		result, _ := json.Marshal([]byte(text + strings.Repeat(" ", max(r.PadTo-len(text), 0))))
		r.notify(`"verb":"end"`, fmt.Sprintf(`"task":%q,"outcome":"good","spent":%d,"bytes":%s`, command.Task, took.Milliseconds(), result))
	})
}

func (r *Runtime) notify(verb, rest string) {
	r.index++
	line := fmt.Appendf(nil, "{%s,\"index\":%d,%s}\n", verb, r.index, rest)
	r.notices = append(r.notices, line)
	if len(r.notices) > maxKeptNotices {
		r.notices = r.notices[1:]
	}
	if r.link != nil {
		r.link.Write(line)
	}
}
