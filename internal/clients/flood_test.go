package clients

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/fake/runtime"
	"thymechute/internal/testutil"
)

const (
	floodBatch    = 64 << 10    // bytes written at a time
	floodWindow   = 32          // messages without an answer, where a flood respects that limit
	floodTime     = time.Second // of each flood
	floodRunTime  = 10 * time.Millisecond
	floodMemoryMB = 64
	maxFloodConns = 20000
)

// floodKind is what a flooding client sends on its connection.
type floodKind struct {
	line      func(n int) string // the nth message
	respects  bool               // the client has at most floodWindow messages without an answer, and reads the answers
	readsOnly bool               // it reads the answers, but does not wait for them
}

func requestOf(class, more string) func(n int) string {
	return func(n int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"rid":"%016x","t0":%d,"peer":%d,"acct":"acme","mem":0.1,"prio":0.9,"doc":"AA=="%s}}`,
			n, class, n, time.Now().UnixMilli(), n, strings.ReplaceAll(more, "#", strconv.Itoa(n)))
	}
}

// floodKinds are the floods by name. All names in them are new with each message where that is possible.
var floodKinds = map[string]floodKind{
	"blank lines":     {line: func(int) string { return "" }},
	"notifications":   {line: func(n int) string { return fmt.Sprintf(`{"jsonrpc":"2.0","method":"m%d"}`, n) }},
	"no JSON":         {line: func(n int) string { return "x" + strconv.Itoa(n) }},
	"empty objects":   {line: func(int) string { return "{}" }},
	"broken requests": {line: func(n int) string { return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"trace"}`, n) }, readsOnly: true},
	"unknown classes": {line: func(n int) string { return requestOf("c"+strconv.Itoa(n), "")(n) }, readsOnly: true},
	"unknown tenants": {line: func(n int) string { return strings.Replace(requestOf("trace", "")(n), "acme", "t"+strconv.Itoa(n), 1) }, readsOnly: true},
	"one id":          {line: func(int) string { return requestOf("trace", "")(1) }, readsOnly: true},
	"health checks":   {line: func(n int) string { return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, n) }, readsOnly: true},
	"unread checks":   {line: func(n int) string { return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, n) }},
	"deep checks": {line: func(n int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"check","params":{"full":true}}`, n)
	}, respects: true},
	"safe requests":     {line: requestOf("trace", `,"obj":"o#"`), respects: true},
	"keyed requests":    {line: requestOf("excursion", `,"token":"k#"`), respects: true},
	"once requests":     {line: requestOf("seal", ""), respects: true},
	"excess requests":   {line: requestOf("seal", ""), readsOnly: true},
	"unread requests":   {line: requestOf("trace", "")},
	"many short fields": {line: func(n int) string { return manyFieldsLine(n) }, readsOnly: true},
}

// manyFieldsLine returns a message of nearly the maximum length that consists of short fields with new names.
func manyFieldsLine(n int) string {
	line := strings.TrimSuffix(requestOf("trace", "")(n), "}}")
	var b strings.Builder
	b.WriteString(line)
	for field := 0; b.Len() < 8000; field++ {
		fmt.Fprintf(&b, `,"f%x_%x":%d`, n, field, field)
	}
	return b.String() + "}}"
}

// flood sends messages at full speed until the time is over, on one connection at a time: it connects again only where the program
// has closed the connection. It returns how many messages it sent and how many connections it made.
func flood(address string, kind floodKind, limit time.Duration) (summary string) {
	deadline := time.Now().Add(limit)
	sent, conns := 0, 0
	for ; conns < maxFloodConns && time.Now().Before(deadline); conns++ {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(deadline)
		answers := make(chan int, 1<<16)
		if kind.respects || kind.readsOnly {
			go countLines(c, answers)
		}
		sent = floodConn(c, kind, sent, answers)
		c.Close()
	}
	return fmt.Sprintf("%d messages on %d connections", sent, conns)
}

// countLines reads lines and reports how many a read has brought.
func countLines(c net.Conn, counts chan<- int) {
	defer close(counts)
	buffer := make([]byte, floodBatch)
	for {
		size, err := c.Read(buffer)
		if err != nil {
			return
		}
		counts <- bytes.Count(buffer[:size], []byte("\n"))
	}
}

func floodConn(c net.Conn, kind floodKind, sent int, answers <-chan int) int {
	unanswered := 0
	var batch []byte
	for {
		batch = batch[:0]
		for len(batch) < floodBatch && (!kind.respects || unanswered < floodWindow) {
			sent++
			unanswered++
			batch = append(append(batch, kind.line(sent)...), '\n')
		}
		if _, err := c.Write(batch); err != nil {
			return sent
		}
		if !kind.respects {
			continue
		}
		count, ok := <-answers
		if !ok {
			return sent
		}
		unanswered -= count
	}
}

// startFlood starts a flooding client in a process of its own. The returned function waits for its end and returns what it
// reports.
func startFlood(t *testing.T, env *testutil.Environment, kind string) (wait func() string) {
	t.Helper()
	client := exec.Command(os.Args[0], "-test.run=^$")
	client.Env = append(os.Environ(), floodKindVariable+"="+kind, floodAddressVariable+"="+env.ListenAddress,
		floodTimeVariable+"="+floodTime.String())
	client.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var output bytes.Buffer
	client.Stdout = &output
	client.Stderr = &output
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Process.Kill() })
	return func() string {
		if err := client.Wait(); err != nil {
			t.Errorf("flooding client: %v: %s", err, output.String())
		}
		return strings.TrimSpace(output.String())
	}
}

// expectReady waits until the program serves.
func expectReady(t *testing.T, env *testutil.Environment) {
	t.Helper()
	testutil.Eventually(t, "the program serves", func() bool {
		check := env.Connect()
		defer check.Conn.Close()
		check.SendHealthCheck(1)
		answer, closed := check.Receive()
		return !closed && answer.Result.Serving
	})
}

// Guards against one client that takes the service from all others or grows the memory without end, by small or invalid messages at
// full speed.
func TestFloodOfOneClientAffectsNobodyElse(t *testing.T) {
	for kind := range floodKinds {
		t.Run(kind, func(t *testing.T) {
			cores, address, err := runtime.Start("127.0.0.1:0", func(string, []byte) (time.Duration, []byte) {
				return floodRunTime, []byte(result)
			}, func(string, []byte) {})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(cores.Close)
			env := testutil.NewEnvironment(t, func(config map[string]any) {
				config["runtime"] = address
				config["limits"].(map[string]any)["memory_mb"] = floodMemoryMB
				setAnswerDeadline(config)
			})
			env.Program = testutil.StartProgram(t, env.Config)
			expectReady(t, env)
			wait := startFlood(t, env, kind)
			done := make(chan struct{})
			var summary string
			go func() {
				summary = wait()
				close(done)
			}()
			sound := newSoundClient(t, env)
			sound.sendUntil(done)
			peak := peakMemoryMB(t, env)
			t.Logf("%s; sound client: %v at most, answers by code %v; %.1f MB at most", summary, sound.longest.Round(time.Millisecond), sound.counts, peak)
			if peak > floodMemoryMB {
				t.Errorf("%.1f MB resident, want at most %d", peak, floodMemoryMB)
			}
		})
	}
}
