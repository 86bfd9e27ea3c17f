package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

func TestReconnectedRuntimeLinkAppliesNoticesOnce(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	for id := 1; id <= 3; id++ {
		stub.SendRequest(id, "seal", fmt.Sprintf("aa%d", id), body, "")
		env.Runtime.ExpectCommand("start")
	}
	env.Runtime.SendEnd(1, "aa1", "good", "one")
	stub.ExpectResponse(1, 0, "one")
	env.Runtime.Send(`{"verb":"end","index":2,"task":"aa2","out`) // truncated
	env.Runtime.Disconnect()
	// Runs that ended meanwhile are not started again. The run without a notice is, as its start may have been lost.
	env.Runtime.AcceptSync(1, "new", 50, testutil.EndLine(1, "aa1", "good", "one"), testutil.EndLine(2, "aa2", "good", "two"))
	stub.ExpectResponse(2, 0, "two")
	if task, _ := env.Runtime.ExpectCommand("start"); task != "aa3" {
		t.Errorf("task %s was started, want aa3", task)
	}
	env.Runtime.SendEnd(3, "aa3", "good", "three")
	stub.ExpectResponse(3, 0, "three")
}

func TestReplyOfUnknownDeliveryIsNotResent(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.ConnectWithPendingCall("aa01", body)
	env.Index.Send("aa01 HIT 1\r\nx\r\n")
	env.Runtime.ExpectCommand("give")
	env.Runtime.Disconnect()
	env.Runtime.AcceptSync(1, "new", 50)
	stub.SendRequest(2, "seal", "bb01", body, "")
	if task, _ := env.Runtime.ExpectCommand("start"); task != "bb01" { // neither start nor give of the first request comes before
		t.Errorf("task %s was started, want bb01", task)
	}
}

func TestRestartedRuntimeFailsItsRuns(t *testing.T) {
	env := testutil.NewEnvironment(t, nil)
	env.Program = testutil.StartProgram(t, env.Config)
	env.Runtime.AcceptSync(0, "new", 5000)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.Disconnect()
	env.Runtime.AcceptSync(0, "new", 0)
	stub.ExpectResponse(1, -32000, "") // failed, as it may have run
}

// Guards against an instance that serves nobody after its runtime was restarted alone: the notices of the new process, numbered from
// 1 again or going on, were dropped as duplicates.
func TestRestartedRuntimeServesAgain(t *testing.T) {
	const firstNotices = 5
	for _, next := range []int{1, firstNotices + 1} {
		t.Run(fmt.Sprintf("notices from %d", next), func(t *testing.T) {
			env := testutil.NewEnvironment(t, nil)
			env.Program = testutil.StartProgram(t, env.Config)
			env.Runtime.AcceptSync(0, "new", 5000)
			stub := env.Connect()
			serve := func(id, notice int) {
				t.Helper()
				rid := fmt.Sprintf("aa%d", id)
				stub.SendRequest(id, "seal", rid, body, "")
				env.Runtime.AwaitCommand("start", rid)
				env.Runtime.SendEnd(notice, rid, "good", result)
				stub.ExpectResponse(id, 0, result)
			}
			for notice := 1; notice <= firstNotices; notice++ {
				serve(notice, notice)
			}
			env.Runtime.Disconnect()
			env.Runtime.AcceptSync(firstNotices, "new", 0) // another process
			for n := range firstNotices {
				serve(firstNotices+1+n, next+n)
			}
			env.Runtime.Disconnect()
			env.Runtime.AcceptSync(next+firstNotices-1, "old", 1000) // the same process again
		})
	}
}

func TestRuntimeStartsLate(t *testing.T) {
	env := testutil.NewEnvironment(t, nil)
	env.Program = testutil.StartProgram(t, env.Config)
	stub := env.Connect()
	stub.SendHealthCheck(1)
	if r, _ := stub.Receive(); r.Code() != 0 || r.Result.Serving {
		t.Errorf("reports serving without a runtime: %+v", r)
	}
	stub.SendRequest(2, "trace", "aa01", body, "")
	stub.ExpectResponse(2, -32001, "")
	env.Runtime.AcceptSync(0, "old", 1000)
	stub.SendRequest(3, "trace", "aa02", body, "")
	env.Runtime.ExpectCommand("start")
}

func TestCallIsRetriedOnlyIfItNeverRan(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	address := env.Index.Address
	env.Index.Shutdown() // connections are refused, so the call has not run
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendCall(1, "aa01", "call")
	env.Index.Listen(address)
	env.Index.Accept()
	env.Index.ExpectCall()
	for _, word := range []string{"SHED", "NOBODY"} {
		env.Index.Send("aa01 %s\r\n", word)
		env.Index.Accept() // each attempt on a new connection
		if _, got := env.Index.ExpectCall(); got != "call" {
			t.Errorf("after %s called with %q", word, got)
		}
	}
	env.Index.Send("aa01 BROKEN\r\n")
	stub.ExpectResponse(1, -32000, "")
}

func TestCallWithTruncatedReplyIsNotRetried(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.ConnectWithPendingCall("aa01", body)
	env.Index.Send("aa01 HIT 9\r\nhal")
	env.Index.Disconnect()
	stub.ExpectResponse(1, -32000, "")
}

func TestInvalidInputFromRuntimeAndIndex(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.Send(`{"verb":"hum"}` + "\n" + `{"verb":"end","index":1,"task":"zz","outcome":"good"}` + "\n")
	env.Runtime.SendCall(2, "aa01", "call")
	env.Runtime.SendCall(2, "aa01", "another") // a repeated notice number: ignored
	env.Index.Accept()
	if _, got := env.Index.ExpectCall(); got != "call" {
		t.Errorf("called with %q", got)
	}
	env.Index.Send("zz HIT 1\r\nx\r\naa01 WHAT\r\nno reply at all\n")
	env.Index.AwaitClose()
	stub.ExpectResponse(1, -32000, "")
	env.Runtime.Send("no notice\n")
	env.Runtime.AwaitClose()
	env.Runtime.AcceptSync(2, "new", 50)
	stub.SendRequest(2, "seal", "aa02", body, "")
	env.Runtime.ExpectCommand("start")
}

// A catalog that is restarted on the same address receives the next report.
func TestReportsResumeAfterCatalogRestart(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	testutil.Next(t, env.CatalogReports, "a report")
	address := env.Catalog.LocalAddr().String()
	env.Catalog.Close()
	stub := env.Connect()
	for start := time.Now(); time.Since(start) < time.Second; { // three reports fail meanwhile, unless the machine is busy
		stub.SendHealthCheck(1)
		stub.ExpectServing()
	}
	back, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	_ = back.SetReadDeadline(time.Now().Add(20 * time.Second))
	report := make([]byte, 100)
	if n, _, err := back.ReadFrom(report); err != nil || string(report[:n]) != "alive n3 passing" {
		t.Errorf("report: got %q, error %v", report[:n], err)
	}
}

// A link that is open but silent is closed and a new one opened.
func TestSilentRuntimeLinkIsReconnected(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "seal", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.IgnoreGauges()
	env.Runtime.AcceptSync(0, "new", 3000, testutil.EndLine(1, "aa01", "good", result))
	stub.ExpectResponse(1, 0, result)
	stub.SendRequest(2, "seal", "aa02", body, "")
	env.Runtime.AwaitCommand("start", "aa02")
}
