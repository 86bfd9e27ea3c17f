package runtime

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// outcome is the outcome of a task in its notification.
type outcome string

const (
	outcomeCompleted outcome = "good"
	outcomeStopped   outcome = "cut" // stopped by a stop command
)

// States of the runtime in the answer to sync.
const (
	stateNew = "new" // this is the first sync since the runtime started
	stateOld = "old"
)

// idleLoad is the load reported in the answer to gauges, whatever runs.
const idleLoad = 0.1

// command is a line received from the program.
type command struct {
	Verb, Task, Handler, Nonce string
	Bytes                      []byte
	Index                      uint64 // index of the last notification that the program has read; in sync only
}

// servedConn is a connection that has sent sync. Writes are buffered until flush.
type servedConn struct {
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

// handle handles one command. It returns false when the runtime is closed.
func (r *Runtime) handle(c net.Conn, m command) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if m.Verb == "sync" {
		r.sync(c, m.Index)
	}
	if r.servedConn == nil || r.servedConn.net != c {
		return true // this connection has not sent sync, or a newer one has replaced it
	}
	switch m.Verb {
	case "start":
		r.startTask(m)
	case "stop":
		r.stopTask(m.Task)
	case "gauges":
		r.send(fmt.Appendf(nil, `{"verb":"load","nonce":%q,"readings":[%g,%d]}`+"\n", m.Nonce, idleLoad, len(r.runs)))
	case "selftest":
		r.send(fmt.Appendf(nil, `{"verb":"verdict","nonce":%q,"outcome":"good"}`+"\n", m.Nonce))
	}
	r.flush()
	return true
}

// sync makes c the served connection in place of any other, and sends it the notifications after index.
func (r *Runtime) sync(c net.Conn, index uint64) {
	if r.servedConn != nil && r.servedConn.net != c {
		r.servedConn.net.Close()
	}
	r.servedConn = &servedConn{net: c, out: bufio.NewWriter(c)}
	state := stateNew
	if r.hasSynced {
		state = stateOld
	}
	r.hasSynced = true
	r.send(fmt.Appendf(nil, `{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, time.Since(r.startTime).Milliseconds()))
	for n := max(index+1, r.firstIndex); n <= r.lastIndex; n++ {
		r.send(r.notifications[n-r.firstIndex])
	}
}

// startTask starts a task, unless it is running already or there are maxRuns running tasks.
func (r *Runtime) startTask(m command) {
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
		r.notifyEnd(m.Task, outcomeCompleted, max(runTime, 0), result)
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

// stopTask stops a running task.
func (r *Runtime) stopTask(task string) {
	timer := r.runs[task]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(r.runs, task)
	r.notifyEnd(task, outcomeStopped, 0, nil)
}

// notifyEnd sends the notification that a task has ended, and keeps it for connections that miss it.
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

// send writes a line to the served connection, if there is one. It ignores errors, as the connection's reader fails as well.
func (r *Runtime) send(line []byte) {
	if r.servedConn != nil {
		_, _ = r.servedConn.out.Write(line)
	}
}

// flush sends the buffered lines to the served connection. It ignores errors, as the connection's reader fails as well.
func (r *Runtime) flush() {
	if r.servedConn != nil {
		_ = r.servedConn.out.Flush()
	}
}
