package main

import (
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// sendInPieces sends a request in four pieces within 0.6 s, and calls between after the first.
func sendInPieces(t *testing.T, stub *testutil.Stub, between func()) {
	t.Helper()
	const pieces = 4
	line := testutil.RequestLine(2, "seal", "aa02", body, "") + "\n"
	for n := range pieces {
		if _, err := stub.Conn.Write([]byte(line[n*len(line)/pieces : (n+1)*len(line)/pieces])); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			between()
		}
		if n < pieces-1 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// expectAnswer reads up to the response to message 2, past closing notifications, and returns its code.
func expectAnswer(t *testing.T, stub *testutil.Stub) int {
	t.Helper()
	for {
		response, closed := stub.Receive()
		if closed {
			t.Fatal("the connection was closed without an answer")
		}
		if response.Method == "" {
			return response.Code()
		}
	}
}

// startedStub returns a stub whose connection has served a health check.
func startedStub(env *testutil.Environment) *testutil.Stub {
	stub := env.Connect()
	stub.SendHealthCheck(1)
	stub.ExpectServing()
	return stub
}

// Guards against review case 6 on sockets, in the three ways in which the program ends connections: a message of which a part has
// arrived is answered.
func TestPartialMessageSurvivesIdleClose(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		testutil.SettingsSection(config, "domain")["caller_idle_s"] = 4 // the idle timeout starts at a tenth of this
	})
	stub := startedStub(env)
	time.Sleep(300 * time.Millisecond)
	sendInPieces(t, stub, func() {})
	env.Runtime.AwaitCommand("start", "aa02")
	env.Runtime.SendEnd(1, "aa02", "good", result)
	if code := expectAnswer(t, stub); code != 0 {
		t.Errorf("answered with code %d, want a result", code)
	}
}

func TestPartialMessageSurvivesEviction(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) { config["limits"].(map[string]any)["sockets"] = 64 })
	const maxConns = (64 - reservedDescriptors) / descriptorShares * (stubDescriptorShares + 1)
	first := startedStub(env)
	sendInPieces(t, first, func() {
		for range 2 * maxConns {
			startedStub(env)
		}
	})
	env.Runtime.AwaitCommand("start", "aa02")
	env.Runtime.SendEnd(1, "aa02", "good", result)
	if code := expectAnswer(t, first); code != 0 {
		t.Errorf("answered with code %d, want a result", code)
	}
}

func TestPartialMessageSurvivesShutdown(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := startedStub(env)
	sendInPieces(t, stub, env.Program.Terminate)
	if code := expectAnswer(t, stub); code != -32001 {
		t.Errorf("answered with code %d, want a rejection, as its last part came after the grace period", code)
	}
	stub.Conn.Close()
	env.Program.ExpectExit(0)
}
