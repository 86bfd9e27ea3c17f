package runtime

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// outcome is how a task ended, as notified.
type outcome string

const (
	outcomeGood outcome = "good"
	outcomeCut  outcome = "cut" // stopped by command
)

// The states that the answer to sync reports.
const (
	stateNew = "new" // the first sync since the start
	stateOld = "old"
)

// idleLoad is the load that the gauges report.
const idleLoad = 0.1

// command is a line that the program sends.
type command struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      uint64 // of the last notification that the program has read
}

// connection is one that has sent sync. Writes are buffered until flush.
type connection struct {
	net net.Conn
	out *bufio.Writer
}

// serve handles the commands of one connection.
func (r *Runtime) serve(c net.Conn) {
	defer r.goroutines.Done()
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		var m command
		if json.Unmarshal(in.Bytes(), &m) != nil {
			return
		}
		if !r.handle(c, m) {
			return
		}
	}
}

// handle handles one command; it returns false when the runtime is closed.
func (r *Runtime) handle(c net.Conn, m command) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if m.Verb == "sync" {
		r.sync(c, m.Index)
	}
	if r.connection == nil || r.connection.net != c {
		return true // a newer connection has taken over, or this one has not sent sync
	}
	switch m.Verb {
	case "start":
		r.start(m)
	case "stop":
		r.stop(m.Task)
	case "gauges":
		r.send(fmt.Appendf(nil, `{"verb":"load","nonce":%q,"readings":[%g,%d]}`+"\n", m.Nonce, idleLoad, len(r.runs)))
	case "selftest":
		r.send(fmt.Appendf(nil, `{"verb":"verdict","nonce":%q,"outcome":"good"}`+"\n", m.Nonce))
	}
	r.flush()
	return true
}

// sync makes c the connection that is served, and sends it the notifications after index.
func (r *Runtime) sync(c net.Conn, index uint64) {
	if r.connection != nil && r.connection.net != c {
		r.connection.net.Close()
	}
	r.connection = &connection{net: c, out: bufio.NewWriter(c)}
	state := stateNew
	if r.synced {
		state = stateOld
	}
	r.synced = true
	r.send(fmt.Appendf(nil, `{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, time.Since(r.startTime).Milliseconds()))
	for n := max(index+1, r.firstIndex); n <= r.lastIndex; n++ {
		r.send(r.notifications[n-r.firstIndex])
	}
}

// start runs a task, unless it runs already.
func (r *Runtime) start(m command) {
	if r.runs[m.Task] != nil || len(r.runs) >= maxRuns {
		return
	}
	r.onStart(m.Handler, m.Bytes)
	runTime, result := r.work(m.Handler, m.Bytes)
	startTime := time.Now()
	end := func() {
		if r.onEnd != nil {
			r.onEnd(m.Bytes, time.Since(startTime))
		}
		r.notifyEnd(m.Task, outcomeGood, max(runTime, 0), result)
	}
	if runTime <= 0 {
		end()
		return
	}
	r.runs[m.Task] = time.AfterFunc(runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[m.Task] == nil || r.closed {
			return
		}
		delete(r.runs, m.Task)
		end()
		r.flush()
	})
}

// stop ends a task that runs.
func (r *Runtime) stop(task string) {
	timer := r.runs[task]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(r.runs, task)
	r.notifyEnd(task, outcomeCut, 0, nil)
}

// notifyEnd sends the notification that a task has ended, and stores it for connections that may miss it.
func (r *Runtime) notifyEnd(task string, ended outcome, runTime time.Duration, result []byte) {
	r.lastIndex++
	line := fmt.Appendf(nil, `{"verb":"end","index":%d,"task":%q,"outcome":%q,"spent":%g,"bytes":%q}`+"\n",
		r.lastIndex, task, ended, float64(runTime)/float64(time.Millisecond), base64.StdEncoding.EncodeToString(result))
	r.notifications = append(r.notifications, line)
	if len(r.notifications) > maxNotifications {
		r.notifications = append([][]byte(nil), r.notifications[maxNotifications/2:]...)
		r.firstIndex = r.lastIndex - uint64(len(r.notifications)) + 1
	}
	r.send(line)
}

// send writes a line to the connection that is served, if there is one. Errors are found by the connection's reader.
func (r *Runtime) send(line []byte) {
	if r.connection != nil {
		_, _ = r.connection.out.Write(line)
	}
}

// flush sends what was written to the connection that is served. Errors are found by the connection's reader.
func (r *Runtime) flush() {
	if r.connection != nil {
		_ = r.connection.out.Flush()
	}
}
