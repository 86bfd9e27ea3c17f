package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const body, reply, result = "\x00\xff body\n", "a reply\r\n", "the \"result\"\x01"

func TestRequestIsServedWithCallBytesUnchanged(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	if task, got := env.Runtime.ExpectCommand("start"); task != "aa01" || got != body {
		t.Errorf("started %s with %q", task, got)
	}
	env.Runtime.SendCall(1, "aa01", "call \r\n")
	env.Index.Accept()
	if rid, got := env.Index.ExpectCall(); rid != "aa01" || got != "call \r\n" {
		t.Errorf("called for %s with %q", rid, got)
	}
	env.Index.Send("aa01 HIT %d\r\n%s\r\n", len(reply), reply)
	if task, got := env.Runtime.ExpectCommand("give"); task != "aa01" || got != reply {
		t.Errorf("gave %s %q", task, got)
	}
	env.Runtime.SendEnd(2, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	if report := testutil.Next(t, env.CatalogReports, "a report"); !strings.HasPrefix(report, "alive n3 ") {
		t.Errorf("reported %q", report)
	}
}

func TestResponsesComeInAnyOrderAndOnce(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	for id := 1; id <= 3; id++ {
		stub.SendRequest(id, "trace", fmt.Sprintf("aa%d", id), body, "")
		env.Runtime.ExpectCommand("start")
	}
	for n, id := range []int{3, 1, 2} {
		env.Runtime.SendEnd(n+1, fmt.Sprintf("aa%d", id), "good", result)
		stub.ExpectResponse(id, 0, result)
	}
	env.Runtime.SendEnd(4, "aa1", "good", result) // a run that has already ended: ignored
	stub.SendLine(`{"jsonrpc":"2.0","id":9,"method":"check","params":{"full":true}}`)
	if r, _ := stub.Receive(); r.ID != 9.0 || !r.Result.Serving {
		t.Errorf("got %+v, want a passing health check", r)
	}
}

func TestRequestOverMemoryIsRejected(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		testutil.SettingsSection(config, "domain")["ram_kb"] = 5
	})
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	if r := stub.ExpectResponse(1, -32001, ""); r.Error.Data.Backoff < 1 {
		t.Errorf("no backoff: %+v", r.Error)
	}
}

func TestRetryGetsResultOfFirstAttempt(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	other := env.Connect()
	const token = `,"token":"5c0f"`
	stub.SendRequest(1, "excursion", "aa01", body, token)
	env.Runtime.ExpectCommand("start")
	other.SendRequest(1, "excursion", "aa02", body, token+`,"again":1`)
	stub.SendRequest(2, "excursion", "bb01", body, `,"token":"77"`) // shows that the retry before it was not started
	if task, _ := env.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("task %s was started, want bb01", task)
	}
	stub.Conn.Close() // the caller of the first attempt disconnects; the result of its run is still used
	env.Runtime.SendEnd(1, "aa01", "good", result)
	other.ExpectResponse(1, 0, result)
	other.SendRequest(2, "excursion", "aa03", body, token+`,"again":1`)
	other.ExpectResponse(2, 0, result)
}

func TestRetryOfFailedAttemptIsNotRun(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(1, "aa01", "bad", "")
	stub.ExpectResponse(1, -32000, "")
	stub.SendRequest(2, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	stub.ExpectResponse(2, -32000, "")
}

// A connection is lost in the middle of a response: a retry on another connection gets the result, and nothing runs again.
func TestTruncatedResponseKeepsIdempotentResult(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	large := strings.Repeat("r", 4<<10)
	stub := env.Connect()
	_ = stub.Conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	for id := 1; id <= 30; id++ {
		stub.SendRequest(id, "excursion", fmt.Sprintf("aa%d", id), body, fmt.Sprintf(`,"token":"k%d"`, id))
	}
	for n := 1; n <= 30; n++ {
		task, _ := env.Runtime.ExpectCommand("start")
		env.Runtime.SendEnd(n, task, "good", large)
	}
	part := make([]byte, 1000)
	if _, err := stub.Conn.Read(part); err != nil {
		t.Fatal(err)
	}
	stub.Conn.Close() // with unread bytes: resets the connection in the middle of a response
	other := env.Connect()
	for id := 1; id <= 30; id++ {
		other.SendRequest(id, "excursion", fmt.Sprintf("bb%d", id), body, fmt.Sprintf(`,"token":"k%d","again":1`, id))
		other.ExpectResponse(id, 0, large)
	}
	other.SendRequest(31, "trace", "cc01", body, "")
	if task, _ := env.Runtime.ExpectCommand("start"); task != "cc01" {
		t.Errorf("task %s was started, want cc01", task)
	}
}

// A retry just before the key window expires gets the retained result if it has the same body, and an error otherwise. After the
// expiry it is a new request. The window starts at the first attempt, and what counts is when a retry arrives, not when it is
// read.
func TestRetriesAroundKeyWindowExpiry(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		testutil.SettingsClass(config, 1)["window_s"] = 1
	})
	stub := env.Connect()
	const token = `,"token":"5c0f"`
	firstSent := time.Now()
	stub.SendRequest(1, "excursion", "aa01", body, token)
	env.Runtime.ExpectCommand("start")
	stub.SendRequest(2, "excursion", "aa02", body, token+`,"again":1`) // while the first still runs
	env.Runtime.SendEnd(1, "aa01", "good", "one")
	stub.ExpectResponse(1, 0, "one")
	stub.ExpectResponse(2, 0, "one")
	go env.Runtime.ServeAll(2, "two")
	served := 2
	lastSent := time.Now()
	for id, doc := 3, "one"; doc == "one"; id++ { // until after the expiry
		stub.SendRequest(id, "excursion", fmt.Sprintf("aa%d", id), body, token+`,"again":1`)
		r, closed := stub.Receive()
		doc = r.Doc()
		if closed || r.ID != float64(id) || doc != "one" && doc != "two" {
			t.Fatalf("got %+v, closed %v", r, closed)
		}
		served++
		if doc == "one" {
			lastSent = time.Now()
		}
	}
	if age := time.Since(firstSent); age < time.Second { // the last retry was read at this age at the latest
		t.Errorf("run again %v after the first attempt, want at least 1 s", age)
	}
	if lastSent.Sub(firstSent) > 2*time.Second {
		t.Errorf("the result was still returned %v after the first attempt, want at most 2 s", lastSent.Sub(firstSent))
	}
	stub.SendRequest(99999, "excursion", "bb01", "another body", token+`,"again":1`)
	stub.ExpectResponse(99999, -32000, "")
	t.Logf("%d served, of which one was run again", served)
}

// The program works with unusual settings: names that need escaping, one class or many, no tenant, no idempotency keys, and values
// that are missing or shorter than a tick.
func TestUnusualSettings(t *testing.T) {
	class := func(name, repeat string, more ...any) map[string]any {
		c := map[string]any{"name": name}
		if repeat != "" {
			c["repeat"] = repeat
		}
		for n := 0; n < len(more); n += 2 {
			c[more[n].(string)] = more[n+1]
		}
		return c
	}
	many := []any{}
	for n := range 20 {
		many = append(many, class(fmt.Sprintf("kind.%d", n), []string{"repeatable", "by_key", "once"}[n%3], "aim_s", 2, "deadline_s", 5, "window_s", 9))
	}
	for name, settings := range map[string]map[string]any{
		"one class, nothing else": {"classes": []any{class("a", "")}},
		"names to escape": {"classes": []any{class("a \"b\" \\ \u00e9\u2028\n/", "by_key", "deadline_s", 5, "window_s", 5), class("", "once"), class("check-in", "once", "deadline_s", 5)},
			"tenants": []any{map[string]any{"name": "t \"1\"\t\u0130"}}},
		"twenty classes": {"classes": many, "tenants": []any{}},
		"zeros": {"classes": []any{class("z", "by_key", "aim_s", 0, "deadline_s", 0, "window_s", 0, "worth", 0)},
			"domain": map[string]any{"cores": 0, "caller_idle_s": 0, "entry_kb": 0}, "rules": map[string]any{"drain_grace_s": 0}},
		"under a tick": {"classes": []any{class("u", "by_key", "aim_s", 0.001, "deadline_s", 0.005, "window_s", 0.005)}},
	} {
		t.Run(name, func(t *testing.T) {
			env := testutil.StartEnvironment(t, func(config map[string]any) { config["settings"] = settings })
			stub := env.Connect()
			go env.Runtime.ServeAll(1, result)
			for n, c := range settings["classes"].([]any) {
				className := c.(map[string]any)["name"].(string)
				if className == "" {
					continue
				}
				method, _ := json.Marshal(className)
				more := ""
				if tenants, _ := settings["tenants"].([]any); len(tenants) > 0 {
					acct, _ := json.Marshal(tenants[0].(map[string]any)["name"])
					more = `,"acct":` + string(acct)
				}
				if c.(map[string]any)["repeat"] == "by_key" {
					more += fmt.Sprintf(`,"token":"k%d"`, n)
				}
				stub.SendLine(`{"jsonrpc":"2.0","id":%d,"method":%s,"params":{"rid":"aa%d","t0":%d,"peer":1,"mem":10,"prio":0.5,"doc":"AA=="%s}}`,
					n+1, method, n, time.Now().UnixMilli(), more)
				r, closed := stub.Receive()
				if closed || r.ID != float64(n+1) || r.Code() != 0 && r.Code() != -32000 && r.Code() != -32001 {
					t.Fatalf("class %q: %+v, closed %v", className, r, closed)
				}
				if name != "zeros" && name != "under a tick" && r.Doc() != result {
					t.Errorf("class %q is not served: %+v", className, r)
				}
			}
			env.Program.Terminate()
			stub.ExpectClosing()
			stub.Conn.Close()
			env.Program.ExpectExit(0)
		})
	}
}
