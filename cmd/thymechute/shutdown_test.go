package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

func TestShutdownAnswersReceivedRequests(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	stub.SendRequest(2, "trace", "aa02", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.ExpectCommand("start")
	env.Program.Terminate()
	if r, _ := stub.Receive(); r.Method != "closing" {
		t.Errorf("got %+v, want closing", r)
	}
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	stub.ExpectResponse(2, -32000, "") // its run does not end: it fails before the shutdown deadline
	env.Program.ExpectExit(0)
	if c, err := net.Dial("tcp", env.ListenAddress); err == nil {
		c.Close()
		t.Error("the program still accepts connections")
	}
	testutil.NextMatching(t, env.CatalogReports, "a report that it shuts down", func(report string) bool { return report == "alive n3 critical" })
}

// The runtime link is established during the shutdown: requests are still rejected and nothing is started. A second SIGTERM has no
// effect.
func TestShutdownBeforeRuntimeIsUp(t *testing.T) {
	env := testutil.NewEnvironment(t, nil)
	env.Program = testutil.StartProgram(t, env.Config)
	env.Runtime.Accept()
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	stub.ExpectResponse(1, -32001, "")
	env.Program.Terminate()
	stub.ExpectClosing()
	env.Program.Terminate()
	env.Runtime.Send(`{"verb":"ready","outcome":"old","spent":3600000}` + "\n")
	testutil.Eventually(t, "the link is up", func() bool { return strings.Contains(env.Program.Log(), "runtime link established") })
	stub.SendRequest(2, "trace", "aa02", body, "")
	stub.ExpectResponse(2, -32001, "")
	stub.ExpectEnd()
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}

// namedPipeConfig is a configuration file that blocks the program while it reads, as it is a named pipe.
type namedPipeConfig struct {
	t    *testing.T
	path string
	text []byte
}

func newNamedPipeConfig(t *testing.T, config map[string]any) *namedPipeConfig {
	t.Helper()
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return &namedPipeConfig{t, path, text}
}

// open waits until the program has opened the file for reading. For the program the file ends when the returned file is closed.
func (s *namedPipeConfig) open() *os.File {
	f, err := os.OpenFile(s.path, os.O_WRONLY, 0)
	if err != nil {
		s.t.Error(err)
	}
	return f
}

func (s *namedPipeConfig) write(f *os.File) { _, _ = f.Write(s.text) }

// SIGTERM takes effect while a reload is still reading the file.
func TestShutdownDuringReload(t *testing.T) {
	env := testutil.NewEnvironment(t, nil)
	file := newNamedPipeConfig(t, env.Config)
	go func() {
		f := file.open()
		file.write(f)
		f.Close()
	}()
	env.Program = testutil.StartProgramFromFile(t, file.path)
	env.Runtime.AcceptSync(0, "new", 0)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Program.SignalReload()
	f := file.open() // the program reads a file that does not end yet
	defer f.Close()
	file.write(f)
	env.Program.Terminate()
	stub.ExpectClosing()
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}

// Requests received before SIGTERM are answered. Requests received after the grace period are rejected and not run.
func TestShutdownRejectsRequestsAfterGracePeriod(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		testutil.SettingsSection(config, "rules")["drain_grace_s"] = 0
	})
	stub := env.Connect()
	other := env.Connect()
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	other.SendHealthCheck(1)
	other.Receive()
	env.Program.Terminate()
	stub.ExpectClosing()
	other.ExpectClosing()
	other.SendLine(`{"jsonrpc":"2.0","id":2,"method":"check","params":{"full":true}}`)
	if r, closed := other.Receive(); closed || r.ID != 2.0 || r.Result.Serving {
		t.Errorf("got %+v (closed %v), want a failing health check", r, closed)
	}
	for id := 2; id <= 9; id++ {
		stub.SendRequest(id, "trace", fmt.Sprintf("bb%d", id), body, "")
		stub.ExpectResponse(id, -32001, "")
	}
	env.Runtime.SendEnd(1, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	other.ExpectEnd()
	other.Conn.Close()
	stub.ExpectEnd()
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}

// A stub that reads nothing before the shutdown still gets all its responses, also those that do not fit in the socket buffers.
func TestShutdownWaitsForSlowReader(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.ConnectSlow()
	large := strings.Repeat("r", 4<<10)
	for id := 1; id <= 30; id++ {
		rid := fmt.Sprintf("aa%d", id)
		stub.SendRequest(id, "trace", rid, "x", "")
	}
	started := map[string]bool{}
	for n := 1; len(started) < 30; n++ {
		task, _ := env.Runtime.ExpectCommand("start")
		started[task] = true
		env.Runtime.SendEnd(n, task, "good", large)
	}
	env.Program.Terminate()
	testutil.Eventually(t, "the listener closes", func() bool { return strings.Contains(env.Program.Log(), "no longer listening") })
	select {
	case <-env.Program.Exited:
		t.Fatal("the program exited before all responses were read")
	case <-time.After(300 * time.Millisecond): // without unread responses it exits after 100 ms
	}
	got := 0
	for got < 30 {
		if r, closed := stub.Receive(); closed {
			t.Fatalf("closed after %d responses, want 30", got)
		} else if r.Doc() == large {
			got++
		}
	}
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}

// Requests that are pending shortly before the shutdown deadline are answered then. The connection is closed without a reset,
// which would discard the response, although input arrives until the end.
func TestResponsesAtShutdownDeadlineAreNotReset(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start") // the run does not end
	env.Program.Terminate()
	stub.ExpectClosing()
	flood := bytes.Repeat([]byte(`{"jsonrpc":"2.0","method":"note"}`+"\n"), 1000)
	go func() {
		for err := error(nil); err == nil; {
			_, err = stub.Conn.Write(flood)
		}
	}()
	stub.ExpectResponse(1, -32000, "")
	stub.ExpectEnd()
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}

// After a SIGTERM that arrives before the program has read its configuration, the program starts, has nothing pending and exits.
func TestShutdownDuringStartup(t *testing.T) {
	env := testutil.NewEnvironment(t, nil)
	file := newNamedPipeConfig(t, env.Config)
	env.Program = testutil.StartProgramFromFile(t, file.path)
	f := file.open() // the program has opened the file and waits for its content
	env.Program.Terminate()
	env.Program.Terminate()
	file.write(f)
	f.Close()
	env.Program.ExpectExit(0)
}
