package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymechute/internal/testutil"
)

const (
	socketLimit            = 128
	idleClientCount        = 4 * socketLimit
	requestDeadlineSeconds = 2
	// reportDeadline is the lifetime of an entry in the catalog, in which the program sends ten reports.
	reportDeadline = 3 * time.Second
)

// openIdleConnection opens connection n, which ignores closing notifications. Every second connection sends a complete request
// first, so that it does not count as stalled.
func openIdleConnection(t *testing.T, env *testutil.Environment, n int) {
	t.Helper()
	c, err := net.DialTimeout("tcp", env.ListenAddress, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if n%2 == 0 {
		_, _ = fmt.Fprintln(c, `{"jsonrpc":"2.0","id":1,"method":"check"}`)
	}
}

// expectServed sends a request on a new connection. It must be answered within the deadline of its class.
func expectServed(t *testing.T, env *testutil.Environment, notice *int, rid string) {
	t.Helper()
	start := time.Now()
	stub := env.Connect()
	stub.SendRequest(1, "trace", rid, body, "")
	env.Runtime.AwaitCommand("start", rid)
	*notice++
	env.Runtime.SendEnd(*notice, rid, "good", result)
	stub.ExpectResponse(1, 0, result)
	if took := time.Since(start); took > requestDeadlineSeconds*time.Second {
		t.Errorf("request %s: answered after %v, want at most %d s", rid, took, requestDeadlineSeconds)
	}
	stub.Conn.Close()
}

// Idle clients open four times as many connections as the process may have file descriptors, while the catalog is down. The
// kernel enforces limits.sockets. Requests on new connections are still served in time, the earlier call and the runtime link
// continue, a new call is made, and the restarted catalog receives a report while the clients are still connected.
func TestIdleClientsExhaustDescriptorsWithCatalogDown(t *testing.T) {
	env := testutil.NewEnvironment(t, func(config map[string]any) {
		config["limits"].(map[string]any)["sockets"] = socketLimit
		trace := testutil.SettingsClass(config, 0)
		trace["aim_s"], trace["deadline_s"] = requestDeadlineSeconds, requestDeadlineSeconds
	})
	catalog := env.Catalog.LocalAddr().String()
	env.Catalog.Close() // from now on each report fails and opens a new socket
	env.Program = testutil.StartProgram(t, env.Config)
	limit := unix.Rlimit{Cur: socketLimit, Max: socketLimit}
	if err := unix.Prlimit(env.Program.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
	env.Runtime.AcceptSync(0, "new", 0)
	established := env.ConnectWithPendingCall("standing", body)
	notice := 1
	for n := range idleClientCount {
		openIdleConnection(t, env, n)
		if n%64 == 63 {
			expectServed(t, env, &notice, fmt.Sprint("among", n))
		}
	}
	expectLimitReached(t, env)
	expectServed(t, env, &notice, "full")

	env.Index.Send("standing HIT %d\r\n%s\r\n", len(reply), reply)
	env.Runtime.AwaitCommand("give", "standing")
	notice++
	env.Runtime.SendEnd(notice, "standing", "good", result)
	established.ExpectResponse(1, 0, result)
	env.Index.Disconnect() // the next call needs a descriptor
	stub := env.Connect()
	stub.SendRequest(1, "seal", "called", body, "")
	env.Runtime.AwaitCommand("start", "called")
	notice++
	env.Runtime.SendCall(notice, "called", "call")
	env.Index.Accept()
	env.Index.ExpectCall()
	env.Index.Send("called HIT %d\r\n%s\r\n", len(reply), reply)
	env.Runtime.AwaitCommand("give", "called")
	notice++
	env.Runtime.SendEnd(notice, "called", "good", result)
	stub.ExpectResponse(1, 0, result)

	back, err := net.ListenPacket("udp", catalog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { back.Close() })
	_ = back.SetReadDeadline(time.Now().Add(reportDeadline))
	report := make([]byte, 100)
	n, _, err := back.ReadFrom(report)
	if err != nil || string(report[:n]) != "alive n3 passing" {
		t.Errorf("the restarted catalog received %q (%v)", report[:n], err)
	}
	expectLimitReached(t, env)
}

// expectLimitReached fails the test unless the clients use all connections that stubs may have.
func expectLimitReached(t *testing.T, env *testutil.Environment) {
	t.Helper()
	stubConns := stubDescriptorShares * ((socketLimit - reservedDescriptors) / 8)
	open := env.Program.OpenDescriptors()
	t.Logf("%d of %d descriptors open", open, socketLimit)
	if open < stubConns {
		t.Errorf("%d of %d descriptors are open, want at least the %d that stubs may have", open, socketLimit, stubConns)
	}
}
