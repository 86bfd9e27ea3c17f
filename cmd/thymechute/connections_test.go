package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

func TestInvalidInputFromStub(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	other := env.Connect()
	other.SendRequest(1, "excursion", "cc01", body, `,"token":"5c0f"`)
	env.Runtime.ExpectCommand("start")
	params := fmt.Sprintf(`"params":{"rid":"aa01","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="`, time.Now().UnixMilli())
	ask := `{"jsonrpc":"2.0","id":1,"method":"trace",` + params + `}}`
	for line, code := range map[string]int{ // answered by ID: the connection stays open, up to a number of errors
		ask[:len(ask)/2]: -32700,
		strings.Replace(ask, "trace", "nothing", 1):                -32601,
		strings.Replace(ask, "acme", "who", 1):                     -32602,
		strings.Replace(ask, `"AA=="`, `"*"`, 1):                   -32602,
		strings.Replace(ask, `"aa01"`, `"a b\r\nSTOP"`, 1):         -32602,
		strings.Replace(ask, `"mem":10`, `"mem":2000`, 1):          -32602,
		strings.Replace(ask, `"mem":10`, `"mem":NaN`, 1):           -32700,
		strings.Replace(ask, "2.0", "1.0", 1):                      -32600,
		strings.Replace(ask, `"t0":`, `"t0":9`, 1):                 -32602,
		strings.Replace(ask, `"prio":0.5,`, ``, 1):                 -32602,
		strings.Replace(ask, `AA==`, strings.Repeat("A", 2800), 1): -32602,
		strings.Replace(ask, `"mem":10`, `"mem":10,"mem":11`, 1):   -32602,
		strings.Replace(ask, `"peer":1`, `"peer":1.5`, 1):          -32602,
	} {
		stub := env.Connect()
		stub.SendLine("%s", line)
		if r, closed := stub.Receive(); closed || r.Code() != code {
			t.Errorf("%s: got %+v (closed %v), want %d", line, r, closed, code)
		}
		stub.SendRequest(9, "excursion", "aa09", "another body", `,"token":"5c0f"`) // another body: gets no result
		stub.ExpectResponse(9, -32000, "")
	}
	for _, line := range []string{
		ask[len(ask)/2:],
		strings.Replace(ask, `"id":1`, `"id":"1"`, 1),
		strings.Replace(ask, `"id":1,`, "", 1),
		`[` + ask + `]`,
		strings.Replace(ask, `"id":1`, `"id":1,"id":2`, 1),
	} {
		expectErrorsAndClose(t, env, line)
	}
	expectDuplicateIDsRejected(t, env)
	stub := env.Connect()
	stub.SendLine("%s", strings.Repeat("x", 10000)) // longer than the maximum line
	if _, closed := stub.Receive(); !closed {
		t.Error("the connection stays open after a line that is too long")
	}
	env.Runtime.SendEnd(3, "cc01", "good", "\x00")
	other.ExpectResponse(1, 0, "\x00")
	other.SendRequest(2, "trace", "aa06", body, `,"unheard":{"of":[1,"\u00e9"]}`)
	env.Runtime.AwaitCommand("start", "aa06")
}

// expectErrorsAndClose sends the line on a new connection. It fails the test unless the program sends nothing but errors and
// closes the connection.
func expectErrorsAndClose(t *testing.T, env *testutil.Environment, line string) {
	t.Helper()
	stub := env.Connect()
	stub.SendLine("%s", line)
	for {
		r, closed := stub.Receive()
		if closed {
			return
		}
		if r.Code() >= 0 || r.Result.Doc != "" {
			t.Errorf("%s: got %+v", line, r)
		}
	}
}

// expectDuplicateIDsRejected sends two requests with the same request ID, and two messages with the same JSON-RPC ID. The ends of
// the runs are the runtime's notices 1 and 2.
func expectDuplicateIDsRejected(t *testing.T, env *testutil.Environment) {
	t.Helper()
	stub := env.Connect()
	stub.SendRequest(2, "trace", "aa02", body, "")
	env.Runtime.ExpectCommand("start")
	stub.SendRequest(3, "trace", "aa02", body, "")
	stub.ExpectResponse(3, -32600, "")
	env.Runtime.SendEnd(1, "aa02", "good", result)
	stub.ExpectResponse(2, 0, result)
	stub.SendRequest(4, "trace", "aa04", body, "")
	env.Runtime.ExpectCommand("start")
	stub.SendRequest(4, "trace", "aa05", body, "") // its ID is in use: the connection closes after the response to the first
	stub.SendRequest(5, "trace", "aa05", body, "") // comes after the error: discarded
	env.Runtime.SendEnd(2, "aa04", "good", result)
	stub.ExpectResponse(4, 0, result)
	if _, closed := stub.Receive(); !closed {
		t.Error("the connection stays open after two requests with the same ID")
	}
}

func TestConnectionLimitEvictsConnectionsWithoutRequest(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 64 })
	busy := env.Connect()
	busy.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	for range 3 * 64 {
		env.Connect() // sends nothing
	}
	for range 3 * 64 {
		stub := env.Connect()
		stub.SendHealthCheck(1)
		stub.ExpectServing()
	}
	env.Runtime.SendEnd(1, "aa01", "good", result)
	busy.ExpectResponse(1, 0, result)
}

func TestSlowReaderIsClosedAndOthersServed(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	other := env.Connect()
	go func() { // until the program closes this connection because of its unread responses
		for {
			if _, err := stub.Conn.Write([]byte(strings.Repeat(`{"jsonrpc":"2.0","id":1,"method":"check"}`+"\n", 1000))); err != nil {
				return
			}
		}
	}()
	for id := 1; ; id++ {
		other.SendHealthCheck(id)
		other.ExpectServing()
		if strings.Contains(env.Program.Log(), "peer does not read") {
			return
		}
	}
}

// A notification, by which a caller may say that it has gone, has no ID. That is no protocol error, and the other requests of the
// connection are answered.
func TestNotificationsAreIgnored(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	stub.SendLine(`{"jsonrpc":"2.0","method":"interrupt","params":{"id":7}}`)
	stub.SendLine(`{"jsonrpc":"2.0","method":"progress"}`)
	stub.SendRequest(2, "trace", "aa02", body, "") // shows that the notifications were received and the connection is open
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	env.Runtime.SendEnd(2, "aa02", "good", result)
	stub.ExpectResponse(2, 0, result)
}

// A protocol error without an ID to respond to closes the connection after the responses to its pending requests. Requests after
// the error are not run.
func TestProtocolErrorWithoutIDClosesAfterPendingResponses(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	for n, invalid := range []string{`{"jsonrpc":"2.0","method":`, `{"jsonrpc":"2.0","method":"trace","params":{}}`, `{"jsonrpc":"2.0","method":"check"}`,
		`[]`, strings.Repeat("x", 10000)} {
		rid := fmt.Sprintf("aa%d", n)
		stub := env.Connect()
		stub.SendRequest(1, "seal", rid, body, "")
		env.Runtime.ExpectCommand("start")
		stub.SendLine("%s", invalid)
		stub.SendRequest(2, "seal", rid+"b", body, "")
		other := env.Connect()
		other.SendRequest(1, "trace", rid+"c", body, "")
		if task, _ := env.Runtime.ExpectCommand("start"); task != rid+"c" {
			t.Errorf("after %.30s %s was started", invalid, task)
		}
		env.Runtime.SendEnd(2*n+1, rid, "good", result)
		if r, closed := stub.Receive(); !closed && r.ID == nil { // the response to the error has no ID
			stub.ExpectResponse(1, 0, result)
		} else if closed || r.ID != 1.0 || r.Doc() != result {
			t.Fatalf("after %.30s got %+v, closed %v", invalid, r, closed)
		}
		stub.ExpectEnd()
		env.Runtime.SendEnd(2*n+2, rid+"c", "good", result)
		other.ExpectResponse(1, 0, result)
	}
}

// A partial line that is not completed in time closes the connection after the response to its pending request. The rest of the
// line, if it arrives later, is not run.
func TestPartialLineClosesAfterPendingResponses(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":2,"method":"seal","params":{"rid":"aa02","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="}}`+"\n", time.Now().UnixMilli())
	if _, err := stub.Conn.Write([]byte(line[:40])); err != nil {
		t.Fatal(err)
	}
	silent := env.Connect() // sends nothing: its close shows that the timeout has passed
	silent.ExpectClosing()
	silent.ExpectEnd()
	if _, err := stub.Conn.Write([]byte(line[40:])); err != nil {
		t.Fatal(err)
	}
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectClosing()
	stub.ExpectResponse(1, 0, result)
	stub.ExpectEnd()
	other := env.Connect()
	other.SendRequest(1, "trace", "bb01", body, "")
	if task, _ := env.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("task %s was started, want bb01", task)
	}
}

// A connection with a line that arrives slowly gets a closing notification. The request is served if the rest of the line
// crosses the notification.
func TestSlowRequestCrossingClosingIsServed(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"seal","params":{"rid":"aa01","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="}}`+"\n", time.Now().UnixMilli())
	for n, part := range []string{line[:40], line[40:]} {
		if _, err := stub.Conn.Write([]byte(part)); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			stub.ExpectClosing()
		}
	}
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	stub.ExpectEnd()
}

// At the connection limit an idle connection is evicted. A request that crosses its closing notification is served.
func TestRequestCrossingEvictionIsServed(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 64 })
	const maxConns = (64 - reservedDescriptors) / 8 * stubDescriptorShares
	var stubs []*testutil.Stub
	for range maxConns {
		stub := env.Connect()
		stub.SendHealthCheck(1)
		stub.Receive()
		stubs = append(stubs, stub)
	}
	late := env.Connect() // evicts the first
	stub := stubs[0]
	stub.ExpectClosing()
	stub.SendRequest(2, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(2, 0, result)
	stub.ExpectEnd()
	for _, stub := range append(stubs[1:], late) {
		stub.SendHealthCheck(2)
		stub.ExpectServing()
	}
}

// An idle connection gets a closing notification before it is closed. A request that crosses the notification is served.
func TestRequestCrossingIdleCloseIsServed(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		testutil.SettingsSection(config, "domain")["caller_idle_s"] = 4 // the idle timeout starts at a tenth of this
	})
	stub := env.Connect()
	stub.SendHealthCheck(1)
	stub.Receive()
	stub.ExpectClosing()
	stub.SendRequest(2, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(2, 0, result)
	stub.ExpectEnd()
}

// The file descriptors of many short connections are released, whichever side closes them and however.
func TestDescriptorsAreReleased(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	count := func() int {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", env.Program.Cmd.Process.Pid))
		if err != nil {
			t.Skip(err)
		}
		return len(fds)
	}
	stub := env.Connect()
	stub.SendHealthCheck(1)
	stub.Receive()
	before := count()
	var conns []*testutil.Stub
	for range 150 {
		conns = append(conns, env.Connect())
	}
	for n, c := range conns {
		if n%3 == 0 {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		if n%3 != 1 { // the others send nothing, and the program closes them
			c.Conn.Close()
		}
	}
	testutil.Eventually(t, "the descriptors are released", func() bool { return count() <= before })
}

// A flood of requests by one caller affects only that caller.
func TestFloodAffectsOnlyItsSender(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	flood := bytes.Repeat([]byte(`{"jsonrpc":"2.0","method":"note"}`+"\n"+`{"jsonrpc":"2.0","id":1,"method":"check"}`+"\n"), 500)
	for range 4 {
		c, err := net.Dial("tcp", env.ListenAddress)
		if err != nil {
			t.Fatal(err)
		}
		go func() { // reads nothing; ends when the program or the test closes the connection
			for err := error(nil); err == nil; {
				_, err = c.Write(flood)
			}
		}()
		t.Cleanup(func() { c.Close() })
	}
	full := env.Connect() // a caller with 32 pending requests, which is the limit
	for id := 1; id <= 33; id++ {
		full.SendRequest(id, "seal", fmt.Sprintf("ff%d", id), "x", "")
	}
	full.ExpectResponse(33, -32600, "")
	stub := env.Connect()
	for id := 1; id <= 50; id++ {
		stub.SendHealthCheck(id)
		stub.ExpectServing()
	}
}
