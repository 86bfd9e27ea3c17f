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
	maxWaitingCommands = 10000 // commands received and not yet taken by a test
	idleReadings       = "0.1,0"
	busyReadings       = "1,2" // of a runtime with all its cores at work
)

// FakeRuntime is a runtime, which carries out the program's commands.
type FakeRuntime struct {
	FakePeer
	commands     chan string  // lines of a link that is up, but for gauges, which are answered at once; nil before
	ignoreGauges *atomic.Bool // of the current link
	reportBusy   atomic.Bool
}

// NewFakeRuntime listens at an address of its own until the test ends.
func NewFakeRuntime(t *testing.T) *FakeRuntime {
	t.Helper()
	r := &FakeRuntime{FakePeer: newFakePeer(t)}
	t.Cleanup(r.Shutdown)
	return r
}

// Accept waits for the next link, which replaces the one before.
func (r *FakeRuntime) Accept() {
	r.t.Helper()
	r.FakePeer.Accept()
	r.commands = nil
	r.ignoreGauges = &atomic.Bool{}
}

// IgnoreGauges leaves all later gauges commands of this link unanswered.
func (r *FakeRuntime) IgnoreGauges() { r.ignoreGauges.Store(true) }

// ReportBusy makes all later readings those of a runtime with all its cores busy.
func (r *FakeRuntime) ReportBusy() { r.reportBusy.Store(true) }

// AcceptSync accepts a link, whose sync command must have the index of the last notice received. It answers with the state and
// the runtime's age in milliseconds, repeats the missed notices, and waits until the program has handled them.
func (r *FakeRuntime) AcceptSync(lastNotice int, state string, sinceMillis int, missed ...string) {
	r.t.Helper()
	r.Accept()
	if m := r.nextCommand("sync"); m["index"] != float64(lastNotice) {
		r.t.Fatalf("sync %v, want %d", m["index"], lastNotice)
	}
	r.Send(`{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, sinceMillis)
	for _, line := range missed {
		r.Send("%s\n", line)
	}
	r.nextCommand("gauges") // is sent after the program has handled the notices
	_ = r.conn.SetReadDeadline(time.Time{})
	r.commands = make(chan string, maxWaitingCommands)
	go r.receiveCommands(r.conn, r.reader, r.ignoreGauges, r.commands)
}

// receiveCommands answers the gauges commands of a link and passes on all others.
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

// readCommand returns the next line, of a link that is up without gauges commands.
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

// ExpectCommand waits for a command of that verb, which must be the next but for gauges, and returns its task and body.
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

// AwaitCommand waits for the command of that verb for that task, and skips all others.
func (r *FakeRuntime) AwaitCommand(verb, task string) {
	r.t.Helper()
	for {
		line, err := r.readCommand()
		if err != nil {
			r.t.Fatalf("no %s for %s: %v", verb, task, err)
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
			r.t.Fatalf("no %s: %v", verb, err)
		}
		var command map[string]any
		if err := json.Unmarshal([]byte(line), &command); err != nil {
			r.t.Fatalf("%q: %v", line, err)
		}
		if command["verb"] == "gauges" {
			nonce, _ := command["nonce"].(string)
			r.answerGauges(r.conn, nonce)
		}
		if command["verb"] == verb {
			return command
		}
		if command["verb"] != "gauges" {
			r.t.Fatalf("received %q, want %s", line, verb)
		}
	}
}

// SendEnd sends the notice of the end of a run.
func (r *FakeRuntime) SendEnd(index int, task, outcome, result string) {
	r.t.Helper()
	r.Send("%s\n", EndLine(index, task, outcome, result))
}

// EndLine returns the notice of the end of a run.
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

// ServeAll completes all runs that are started with this result, until the link closes. Its notices count from
// firstNotice.
func (r *FakeRuntime) ServeAll(firstNotice int, result string) {
	r.ServeAllExcept(firstNotice, result, func(string) bool { return false })
}

// ServeAllExcept is ServeAll, but does not complete the tasks for which isExcepted returns true.
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
