// This file owns a client stub's connection, from its own side.

package testutil

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Stub is a client stub's connection.
type Stub struct {
	t    *testing.T
	Conn net.Conn
	in   *bufio.Reader
}

// Stub connects to the program, and asks again while it does not listen yet.
func (w *Environment) Stub() *Stub {
	w.T.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", w.Listen)
		if err == nil {
			w.T.Cleanup(func() { c.Close() })
			return &Stub{w.T, c, bufio.NewReader(c)}
		}
		if time.Now().After(end) {
			w.T.Fatal(err)
		}
	}
}

// SlowStub is one whose connection takes little: what it does not read piles up in the program, not in the system.
func (w *Environment) SlowStub() *Stub {
	w.T.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, 1000)
		})
	}}
	c, err := d.Dial("tcp", w.Listen)
	if err != nil {
		w.T.Fatal(err)
	}
	w.T.Cleanup(func() { c.Close() })
	return &Stub{w.T, c, bufio.NewReader(c)}
}

// Send writes a line.
func (s *Stub) Send(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.Conn, format+"\n", args...); err != nil {
		s.t.Fatal(err)
	}
}

// Ask sends a request of a class with the body; more fields of its params may follow.
func (s *Stub) Ask(id int, class, rid, body, more string) {
	s.t.Helper()
	s.Send("%s", AskLine(id, class, rid, body, more))
}

// AskLine is the line of Ask.
func AskLine(id int, class, rid, body, more string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":%q%s}}`,
		id, class, rid, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(body)), more)
}

// Reply is a message to a stub.
type Reply struct {
	ID     any
	Method string
	Result struct {
		Doc     string
		Serving bool
		Hint    *float64
	}
	Error *struct {
		Code    int
		Message string
		Data    struct{ Backoff, Final float64 }
	}
}

// Code is the error's, 0 for a result.
func (r Reply) Code() int {
	if r.Error == nil {
		return 0
	}
	return r.Error.Code
}

// Doc is the result's body.
func (r Reply) Doc() string {
	raw, _ := base64.StdEncoding.DecodeString(r.Result.Doc)
	return string(raw)
}

// Read waits for the next message; closed tells that the connection is.
func (s *Stub) Read() (r Reply, closed bool) {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(patience))
	line, err := s.in.ReadString('\n')
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			s.t.Fatal("nothing came to a stub")
		}
		return r, true
	}
	if err := json.Unmarshal([]byte(line), &r); err != nil {
		s.t.Fatalf("%q: %v", line, err)
	}
	return r, false
}

// Ends fails unless the program ends the connection now, by no reset and with nothing more on it.
func (s *Stub) Ends() {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(patience))
	if more, err := io.ReadAll(s.in); err != nil || len(more) > 0 {
		s.t.Fatalf("%q and %v, want the connection's end", more, err)
	}
}

// Closing fails unless the next message is the notice that no more may be sent on this connection.
func (s *Stub) Closing() {
	s.t.Helper()
	if r, closed := s.Read(); closed || r.Method != "closing" {
		s.t.Fatalf("got %+v (closed %v), want closing", r, closed)
	}
}

// Wants fails unless the next message answers that id with that code and, for a result, that body.
func (s *Stub) Wants(id, code int, body string) Reply {
	s.t.Helper()
	r, closed := s.Read()
	if closed || r.ID != float64(id) || r.Code() != code || r.Doc() != body {
		s.t.Fatalf("got %+v (closed %v), want id %d, code %d, %q", r, closed, id, code, body)
	}
	return r
}
