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

const (
	slowReceiveBuffer = 4 << 10 // bytes
	slowSegmentSize   = 1000    // bytes
)

// Stub is a client stub with one connection to the program.
type Stub struct {
	t      *testing.T
	Conn   net.Conn
	reader *bufio.Reader
}

// Connect connects to the program, and retries while the program is not listening yet.
func (e *Environment) Connect() *Stub {
	e.T.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		c, err := net.Dial("tcp", e.ListenAddress)
		if err == nil {
			return e.newStub(c)
		}
		if time.Now().After(deadline) {
			e.T.Fatal(err)
		}
	}
}

// ConnectSlow connects with small kernel buffers, so that output that the stub does not read is buffered in the program.
func (e *Environment) ConnectSlow() *Stub {
	e.T.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowReceiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, slowSegmentSize)
		})
	}}
	c, err := dialer.Dial("tcp", e.ListenAddress)
	if err != nil {
		e.T.Fatal(err)
	}
	return e.newStub(c)
}

func (e *Environment) newStub(c net.Conn) *Stub {
	e.T.Cleanup(func() { c.Close() })
	return &Stub{t: e.T, Conn: c, reader: bufio.NewReader(c)}
}

// SendLine formats a line and sends it.
func (s *Stub) SendLine(format string, args ...any) {
	s.t.Helper()
	if _, err := fmt.Fprintf(s.Conn, format+"\n", args...); err != nil {
		s.t.Fatal(err)
	}
}

// SendHealthCheck sends a shallow health check.
func (s *Stub) SendHealthCheck(id int) {
	s.t.Helper()
	s.SendLine(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, id)
}

// SendRequest sends a request of the class. moreParams is empty or holds further params in JSON, each preceded by a comma.
func (s *Stub) SendRequest(id int, class, rid, body, moreParams string) {
	s.t.Helper()
	s.SendLine("%s", RequestLine(id, class, rid, body, moreParams))
}

// RequestLine returns the line of a request that SendRequest sends.
func RequestLine(id int, class, rid, body, moreParams string) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":%q,"t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":%q%s}}`,
		id, class, rid, time.Now().UnixMilli(), base64.StdEncoding.EncodeToString([]byte(body)), moreParams)
}

// Response is a message from the program to a stub: a response or a notification.
type Response struct {
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

// Code returns the error code, or 0 for a result.
func (r Response) Code() int {
	if r.Error == nil {
		return 0
	}
	return r.Error.Code
}

// Doc returns the decoded body of the result.
func (r Response) Doc() string {
	raw, _ := base64.StdEncoding.DecodeString(r.Result.Doc)
	return string(raw)
}

// Receive waits for the next message. closed is true if the connection ended instead.
func (s *Stub) Receive() (r Response, closed bool) {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(waitTimeout))
	line, err := s.reader.ReadString('\n')
	if err != nil {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			s.t.Fatal("timed out waiting for a message to a stub")
		}
		return r, true
	}
	if err := json.Unmarshal([]byte(line), &r); err != nil {
		s.t.Fatalf("message %q: %v", line, err)
	}
	return r, false
}

// ExpectEnd fails the test unless the program closes the connection without a reset and without further output.
func (s *Stub) ExpectEnd() {
	s.t.Helper()
	_ = s.Conn.SetReadDeadline(time.Now().Add(waitTimeout))
	if more, err := io.ReadAll(s.reader); err != nil || len(more) > 0 {
		s.t.Fatalf("received %q (%v), want the end of the connection", more, err)
	}
}

// ExpectClosing fails the test unless the next message is the closing notification.
func (s *Stub) ExpectClosing() {
	s.t.Helper()
	if r, closed := s.Receive(); closed || r.Method != "closing" {
		s.t.Fatalf("received %+v (connection closed: %v), want the closing notification", r, closed)
	}
}

// ExpectResponse fails the test unless the next message has the given ID, error code (0 for a result) and body.
func (s *Stub) ExpectResponse(id, code int, body string) Response {
	s.t.Helper()
	r, closed := s.Receive()
	if closed || r.ID != float64(id) || r.Code() != code || r.Doc() != body {
		s.t.Fatalf("received %+v (connection closed: %v), want id %d, code %d, body %q", r, closed, id, code, body)
	}
	return r
}

// ExpectServing fails the test unless the next message is a positive response to a health check.
func (s *Stub) ExpectServing() {
	s.t.Helper()
	r, closed := s.Receive()
	if closed || !r.Result.Serving {
		s.t.Fatalf("received %+v (connection closed: %v), want serving", r, closed)
	}
}
