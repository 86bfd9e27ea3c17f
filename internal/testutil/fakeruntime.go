package testutil

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	maxWaitingCommands = 10000   // commands received but not yet taken by the test
	idleReadings       = "0.1,0" // gauge readings of an idle runtime
	busyReadings       = "1,2"   // gauge readings of a runtime with all cores busy
)

// FakeRuntime is a fake of the runtime, which carries out the program's commands and sends it notices.
type FakeRuntime struct {
	FakePeer
	// commands receives the lines of the current link, except gauges commands, which are answered at once; nil until
	// AcceptSync has returned.
	commands     chan string
	ignoreGauges *atomic.Bool // for the current link
	reportBusy   atomic.Bool
}

// NewFakeRuntime returns a runtime that listens on a free port until the test ends.
func NewFakeRuntime(t *testing.T) *FakeRuntime {
	t.Helper()
	r := &FakeRuntime{FakePeer: newFakePeer(t)}
	t.Cleanup(r.Shutdown)
	return r
}

// Accept waits for the next link, which then replaces the current one.
func (r *FakeRuntime) Accept() {
	r.t.Helper()
	r.FakePeer.Accept()
	r.commands = nil
	r.ignoreGauges = &atomic.Bool{}
}

// IgnoreGauges leaves all further gauges commands of the current link unanswered.
func (r *FakeRuntime) IgnoreGauges() { r.ignoreGauges.Store(true) }

// ReportBusy answers all further gauges commands with the readings of a runtime with all cores busy.
func (r *FakeRuntime) ReportBusy() { r.reportBusy.Store(true) }

// AcceptSync accepts a link and expects its sync command, with the index of the last notice that the program received. It replies
// with the runtime's state and age in milliseconds, sends the missed notices, and waits until the program has handled them.
func (r *FakeRuntime) AcceptSync(lastNotice int, state string, ageMillis int, missedNotices ...string) {
	r.t.Helper()
	r.Accept()
	if m := r.nextCommand("sync"); m["index"] != float64(lastNotice) {
		r.t.Fatalf("sync with index %v, want %d", m["index"], lastNotice)
	}
	r.Send(`{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, ageMillis)
	for _, line := range missedNotices {
		r.Send("%s\n", line)
	}
	r.nextCommand("gauges") // the program sends it after it has handled the notices
	_ = r.conn.SetReadDeadline(time.Time{})
	r.commands = make(chan string, maxWaitingCommands)
	go r.receiveCommands(r.conn, r.reader, r.ignoreGauges, r.commands)
}

// receiveCommands answers the gauges commands of a link and passes all others on.
func (r *FakeRuntime) receiveCommands(conn net.Conn, reader *bufio.Reader, ignoreGauges *atomic.Bool, commands chan<- string) {
	defer close(commands)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		var command struct{ Verb, Nonce string }
		_ = json.Unmarshal([]byte(line), &command)
		if command.Verb != "gauges" {
			commands <- line
		} else if !ignoreGauges.Load() {
			r.answerGauges(conn, command.Nonce)
		}
	}
}

func (r *FakeRuntime) answerGauges(conn net.Conn, nonce string) {
	readings := idleReadings
	if r.reportBusy.Load() {
		readings = busyReadings
	}
	_, _ = fmt.Fprintf(conn, `{"verb":"load","nonce":%q,"readings":[%s]}`+"\n", nonce, readings)
}

// readCommand returns the next line; after AcceptSync, without gauges commands.
func (r *FakeRuntime) readCommand() (string, error) {
	if r.commands == nil {
		return r.readLine()
	}
	select {
	case line, ok := <-r.commands:
		if !ok {
			return "", io.EOF
		}
		return line, nil
	case <-time.After(waitTimeout):
		return "", os.ErrDeadlineExceeded
	}
}

// AwaitClose waits until the program has closed the link.
func (r *FakeRuntime) AwaitClose() {
	r.t.Helper()
	r.awaitClose(r.readCommand)
}

// ExpectCommand waits for the next command other than gauges, which must have the verb, and returns its task and body.
func (r *FakeRuntime) ExpectCommand(verb string) (task, body string) {
	r.t.Helper()
	command := r.nextCommand(verb)
	text, _ := command["bytes"].(string)
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		r.t.Fatal(err)
	}
	task, _ = command["task"].(string)
	return task, string(raw)
}

// AwaitCommand waits for a command with the verb and task, and skips all others.
func (r *FakeRuntime) AwaitCommand(verb, task string) {
	r.t.Helper()
	for {
		line, err := r.readCommand()
		if err != nil {
			r.t.Fatalf("no command %s for task %s received: %v", verb, task, err)
		}
		if strings.Contains(line, `"`+verb+`"`) && strings.Contains(line, `"`+task+`"`) {
			return
		}
	}
}

func (r *FakeRuntime) nextCommand(verb string) map[string]any {
	r.t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; {
		line, err := r.readCommand()
		if err != nil || time.Now().After(deadline) {
			r.t.Fatalf("no command %s received: %v", verb, err)
		}
		var command map[string]any
		if err := json.Unmarshal([]byte(line), &command); err != nil {
			r.t.Fatalf("command %q: %v", line, err)
		}
		if command["verb"] == "gauges" {
			nonce, _ := command["nonce"].(string)
			r.answerGauges(r.conn, nonce)
		}
		if command["verb"] == verb {
			return command
		}
		if command["verb"] != "gauges" {
			r.t.Fatalf("received %q, want command %s", line, verb)
		}
	}
}

// SendEnd sends the notice that a run ended.
func (r *FakeRuntime) SendEnd(index int, task, outcome, result string) {
	r.t.Helper()
	r.Send("%s\n", EndLine(index, task, outcome, result))
}

// EndLine returns the line of the notice that a run ended.
func EndLine(index int, task, outcome, result string) string {
	return fmt.Sprintf(`{"verb":"end","index":%d,"task":%q,"outcome":%q,"spent":5,"bytes":%q}`,
		index, task, outcome, base64.StdEncoding.EncodeToString([]byte(result)))
}

// SendCall sends the notice that a run waits for a call.
func (r *FakeRuntime) SendCall(index int, task, body string) {
	r.t.Helper()
	r.Send(`{"verb":"wants","index":%d,"task":%q,"bytes":%q}`+"\n",
		index, task, base64.StdEncoding.EncodeToString([]byte(body)))
}

// ServeAll completes every run that is started, with the given result, until the link closes. Its notices are numbered from
// firstNotice on.
func (r *FakeRuntime) ServeAll(firstNotice int, result string) {
	r.ServeAllExcept(firstNotice, result, func(string) bool { return false })
}

// ServeAllExcept does the same as ServeAll, but does not complete the tasks for which isExcepted returns true.
func (r *FakeRuntime) ServeAllExcept(firstNotice int, result string, isExcepted func(task string) bool) {
	for notice := firstNotice; ; {
		line, err := r.readCommand()
		if err != nil {
			return
		}
		var command struct{ Verb, Task string }
		_ = json.Unmarshal([]byte(line), &command)
		if command.Verb != "start" || isExcepted(command.Task) {
			continue
		}
		_, err = fmt.Fprintln(r.conn, EndLine(notice, command.Task, "good", result))
		if err != nil {
			return
		}
		notice++
	}
}
