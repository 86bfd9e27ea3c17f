// This file owns the stand-in that the program dials: the runtime or the index.

package testutil

import (
	"bufio"
	"bytes"
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

// FakePeer is a stand-in that the program connects to: the runtime or the index.
type FakePeer struct {
	t       *testing.T
	listen  net.Listener
	Address string
	conns   chan net.Conn
	conn    net.Conn
	in      *bufio.Reader
	lines   chan string // of a runtime's link once it is up: all but gauges, which are answered as they come
	mute    *atomic.Bool
	busy    atomic.Bool // its readings are those of a runtime with all cores at work
}

// NewFakePeer listens.
func NewFakePeer(t *testing.T) *FakePeer {
	t.Helper()
	p := &FakePeer{t: t}
	p.Listen("127.0.0.1:0")
	t.Cleanup(p.Down)
	return p
}

// Listen takes connections at the address; Down refuses them from now on.
func (p *FakePeer) Listen(address string) {
	p.t.Helper()
	var err error
	if p.listen, err = net.Listen("tcp", address); err != nil {
		p.t.Fatal(err)
	}
	p.Address, p.conns = p.listen.Addr().String(), make(chan net.Conn, 100)
	go func(l net.Listener, to chan net.Conn) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			to <- c
		}
	}(p.listen, p.conns)
}

// Down stops listening and ends the connection.
func (p *FakePeer) Down() {
	p.listen.Close()
	if p.conn != nil {
		p.conn.Close()
	}
}

// Accept waits for the next connection, which takes the place of the one before.
func (p *FakePeer) Accept() {
	p.t.Helper()
	p.conn = Next(p.t, p.conns, "a connection to a stand-in")
	p.in, p.lines, p.mute = bufio.NewReader(p.conn), nil, &atomic.Bool{}
}

// Break ends the connection.
func (p *FakePeer) Break() { p.conn.Close() }

// Send writes text as it is.
func (p *FakePeer) Send(format string, args ...any) {
	p.t.Helper()
	if _, err := fmt.Fprintf(p.conn, format, args...); err != nil {
		p.t.Fatal(err)
	}
}

// Mute lets gauges go unanswered on this link from now on.
func (p *FakePeer) Mute() { p.mute.Store(true) }

// Busy lets the readings be those of a runtime with all its cores at work, from now on.
func (p *FakePeer) Busy() { p.busy.Store(true) }

// pump answers the gauges of a link and hands on all else.
func (p *FakePeer) pump(c net.Conn, in *bufio.Reader, mute *atomic.Bool, to chan<- string) {
	defer close(to)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var m struct{ Verb, Nonce string }
		if _ = json.Unmarshal([]byte(line), &m); m.Verb != "gauges" {
			to <- line
		} else if !mute.Load() {
			p.answerGauges(c, m.Nonce)
		}
	}
}

func (p *FakePeer) answerGauges(c net.Conn, nonce string) {
	readings := "0.1,0"
	if p.busy.Load() {
		readings = "1,2"
	}
	_, _ = fmt.Fprintf(c, `{"verb":"load","nonce":%q,"readings":[%s]}`+"\n", nonce, readings)
}

func (p *FakePeer) line() (string, error) {
	if p.lines != nil {
		select {
		case line, ok := <-p.lines:
			if !ok {
				return "", io.EOF
			}
			return line, nil
		case <-time.After(patience):
			return "", os.ErrDeadlineExceeded
		}
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(patience))
	return p.in.ReadString('\n')
}

// AwaitClose waits until the program has closed the connection.
func (p *FakePeer) AwaitClose() {
	p.t.Helper()
	for {
		if _, err := p.line(); err == io.EOF {
			return
		} else if err != nil {
			p.t.Fatal(err)
		}
	}
}

// Sync takes a link of the program, whose sync must name that notice, and waits until the program is up.
func (p *FakePeer) Sync(want int, state string, ago int, missed ...string) {
	p.t.Helper()
	p.Accept()
	if m := p.command("sync"); m["index"] != float64(want) {
		p.t.Fatalf("sync %v, want %d", m["index"], want)
	}
	p.Send(`{"verb":"ready","outcome":%q,"spent":%d}`+"\n", state, ago)
	for _, line := range missed {
		p.Send("%s\n", line)
	}
	p.command("gauges") // comes behind what the program did with the notices
	_ = p.conn.SetReadDeadline(time.Time{})
	p.lines = make(chan string, 10000)
	go p.pump(p.conn, p.in, p.mute, p.lines)
}

// ExpectCommand waits for a command of that verb, and answers the gauges asked for meanwhile.
func (p *FakePeer) ExpectCommand(verb string) (task, body string) {
	p.t.Helper()
	m := p.command(verb)
	text, _ := m["bytes"].(string)
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		p.t.Fatal(err)
	}
	task, _ = m["task"].(string)
	return task, string(raw)
}

// Until waits for that command for that task, whatever comes before.
func (p *FakePeer) Until(verb, task string) {
	p.t.Helper()
	for {
		line, err := p.line()
		if err != nil {
			p.t.Fatalf("no %s for %s: %v", verb, task, err)
		}
		if strings.Contains(line, `"`+verb+`"`) && strings.Contains(line, `"`+task+`"`) {
			return
		}
	}
}

func (p *FakePeer) command(verb string) map[string]any {
	p.t.Helper()
	for end := time.Now().Add(patience); ; {
		line, err := p.line()
		if err != nil || time.Now().After(end) {
			p.t.Fatalf("no %s: %v", verb, err)
		}
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			p.t.Fatalf("%q: %v", line, err)
		}
		if m["verb"] == "gauges" {
			nonce, _ := m["nonce"].(string)
			p.answerGauges(p.conn, nonce)
		}
		if m["verb"] == verb {
			return m
		}
		if m["verb"] != "gauges" {
			p.t.Fatalf("%q came, want %s", line, verb)
		}
	}
}

// End tells the end of a run.
func (p *FakePeer) End(index int, task, how, result string) {
	p.t.Helper()
	p.Send("%s\n", EndLine(index, task, how, result))
}

// EndLine is the notice of the end of a run.
func EndLine(index int, task, how, result string) string {
	return fmt.Sprintf(`{"verb":"end","index":%d,"task":%q,"outcome":%q,"spent":5,"bytes":%q}`,
		index, task, how, base64.StdEncoding.EncodeToString([]byte(result)))
}

// RequestCall tells that a run stands at a call.
func (p *FakePeer) RequestCall(index int, task, body string) {
	p.t.Helper()
	p.Send(`{"verb":"wants","index":%d,"task":%q,"bytes":%q}`+"\n", index, task, base64.StdEncoding.EncodeToString([]byte(body)))
}

// ExpectCall waits for a call at the index.
func (p *FakePeer) ExpectCall() (rid, body string) {
	p.t.Helper()
	line, err := p.line()
	var ms, size int
	if _, bad := fmt.Sscanf(line, "GET %s %d %d\r\n", &rid, &ms, &size); err != nil || bad != nil || ms < 1 {
		p.t.Fatalf("%q came, want a call (%v)", line, err)
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(p.in, b); err != nil || !bytes.HasSuffix(b, []byte("\r\n")) {
		p.t.Fatalf("call cut off: %q %v", b, err)
	}
	return rid, string(b[:size])
}

// ServeAll runs all that is started, with this result, until the link breaks; its first notice has that number.
func (p *FakePeer) ServeAll(first int, result string) {
	p.ServeAllExcept(first, result, func(string) bool { return false })
}

// ServeAllExcept is Obey that lets those tasks run on without an end of which leave says so.
func (p *FakePeer) ServeAllExcept(first int, result string, leave func(task string) bool) {
	for n := first; ; {
		line, err := p.line()
		if err != nil {
			return
		}
		var m struct{ Verb, Task string }
		if _ = json.Unmarshal([]byte(line), &m); m.Verb == "start" && !leave(m.Task) {
			if _, err = fmt.Fprintln(p.conn, EndLine(n, m.Task, "good", result)); err != nil {
				return
			}
			n++
		}
	}
}
