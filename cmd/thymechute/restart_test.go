package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

func TestRetriesAreNotRunAfterProgramRestart(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	env.Runtime.ExpectCommand("start")
	env.Program.Kill()
	env.Program = testutil.StartProgram(t, env.Config)
	env.Runtime.AcceptSync(0, "old", 5000, testutil.EndLine(1, "aa01", "good", result)) // of a run that the killed process started
	stub = env.Connect()
	stub.SendRequest(1, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	stub.ExpectResponse(1, -32000, "")
	stub.SendRequest(2, "excursion", "bb01", body, `,"token":"77"`)
	if task, _ := env.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("task %s was started, want bb01", task)
	}
}

// The program reports passing and serves within 3 s of its start, a tenth of the allowed 30 s, also when only the program
// is restarted and the runtime has been up for long.
func TestReadyWithinStartupTarget(t *testing.T) {
	testutil.BuildProgram(t)
	env := testutil.NewEnvironment(t, nil)
	for incarnation, state := range []string{"new", "old"} {
		start := time.Now()
		env.Program = testutil.StartProgram(t, env.Config)
		env.Runtime.AcceptSync(0, state, incarnation*100000)
		testutil.NextMatching(t, env.CatalogReports, "a passing report", func(report string) bool { return report == "alive n3 passing" })
		reported := time.Since(start)
		stub := env.Connect()
		stub.SendHealthCheck(1)
		if r, closed := stub.Receive(); closed || !r.Result.Serving {
			t.Errorf("runtime state %s: health check %+v, closed %v", state, r, closed)
		}
		t.Logf("runtime state %s: reported after %v, serving after %v", state, reported, time.Since(start))
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("runtime state %s: ready after %v, want at most 3 s", state, took)
		}
		env.Program.Kill()
		for len(env.CatalogReports) > 0 {
			<-env.CatalogReports
		}
	}
}

const (
	restartTenants = 60000
	restartCount   = 10
	readyDeadline  = 10 * time.Second
	unfinishedRuns = 2 // number of them at each kill

	unfinishedPrefix = "unfinished" // of the names of tasks that the runtime does not complete
)

// runtimeDriver is the runtime for all processes of the program in turn. It completes all runs except those of tasks whose name
// starts with unfinishedPrefix.
type runtimeDriver struct {
	env          *testutil.Environment
	unfinished   chan string   // started tasks that it does not complete
	disconnected chan struct{} // closed once the current link is closed
}

// serve completes the runs of the current process. missed is the number of the last notice in its sync.
func (d *runtimeDriver) serve(missed int) {
	disconnected := make(chan struct{})
	d.disconnected = disconnected
	go func() {
		defer close(disconnected)
		d.env.Runtime.ServeAllExcept(missed+1, result, func(task string) bool {
			isUnfinished := strings.HasPrefix(task, unfinishedPrefix)
			if isUnfinished {
				d.unfinished <- task
			}
			return isUnfinished
		})
	}()
}

// startBackgroundLoad starts clients that send requests until the end of the test, also while the program is not running.
func startBackgroundLoad(env *testutil.Environment, clients int) {
	done := make(chan struct{})
	env.T.Cleanup(func() { close(done) })
	for client := range clients {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
					sendBackgroundRequest(env.ListenAddress, fmt.Sprintf("p%dx%d", client, n))
				}
			}
		}()
	}
}

// sendBackgroundRequest sends a request on a new connection, and waits up to a second for one line.
func sendBackgroundRequest(address, rid string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, err = fmt.Fprintln(c, testutil.RequestLine(1, "trace", rid, body, ""))
	if err == nil {
		_, _ = bufio.NewReader(c).ReadString('\n')
	}
}

// retryUntil sends requests, each after the response to the previous one, until a response matches.
func retryUntil(t *testing.T, stub *testutil.Stub, send func(id int), matches func(testutil.Response) bool) {
	t.Helper()
	for id := 1; ; id++ {
		send(id)
		r, closed := stub.Receive()
		if closed {
			t.Fatal("the connection was closed before a response matched")
		}
		if matches(r) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Nine in ten restarted processes must be ready within 10 s; this test requires it of all ten. Each is killed in the middle of its
// work while the runtime stays up, has all cores busy and has runs that the next process does not know. 60,000 tenants are
// configured, and there is background load. Ready means that a health check reports serving and a request is served.
func TestRestartsBesideBusyRuntimeAreReadyInTime(t *testing.T) {
	testutil.BuildProgram(t)
	env := testutil.NewEnvironment(t, func(config map[string]any) {
		tenants := []any{map[string]any{"name": "acme", "quota_per_s": 1000}}
		for n := range restartTenants - 1 {
			tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%05d", n), "quota_per_s": 5})
		}
		config["settings"].(map[string]any)["tenants"] = tenants
	})
	text, err := json.Marshal(env.Config)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	runtime := &runtimeDriver{env: env, unfinished: make(chan string, 100)}
	env.Runtime.ReportBusy()
	env.Program = testutil.StartProgramFromFile(t, file)
	env.Runtime.AcceptSync(0, "new", 0)
	runtime.serve(0)
	startBackgroundLoad(env, 4)
	for incarnation := range restartCount {
		for n := range unfinishedRuns {
			env.Connect().SendRequest(1, "trace", fmt.Sprintf("%s%dx%d", unfinishedPrefix, incarnation, n), body, "")
			testutil.Next(t, runtime.unfinished, "a start of an unfinished run")
		}
		env.Program.Kill()
		testutil.Next(t, runtime.disconnected, "the close of the runtime link")

		start := time.Now()
		env.Program = testutil.StartProgramFromFile(t, file)
		env.Runtime.AcceptSync(0, "old", 60000+1000*incarnation, testutil.EndLine(1, fmt.Sprintf("%s%dx0", unfinishedPrefix, incarnation), "good", result))
		runtime.serve(1)
		stub := env.Connect()
		retryUntil(t, stub, func(id int) { stub.SendHealthCheck(id) },
			func(r testutil.Response) bool { return r.Result.Serving })
		serving := time.Since(start)
		stub = env.Connect()
		retryUntil(t, stub, func(id int) { stub.SendRequest(id, "trace", fmt.Sprintf("first%dx%d", incarnation, id), body, "") },
			func(r testutil.Response) bool { return r.Code() == 0 && r.Doc() == result })
		served := time.Since(start)
		t.Logf("restart %d: serving after %v, a request served after %v", incarnation, serving.Round(time.Millisecond), served.Round(time.Millisecond))
		if served > readyDeadline {
			t.Errorf("restart %d: ready after %v, want at most %v", incarnation, served, readyDeadline)
		}
	}
}
