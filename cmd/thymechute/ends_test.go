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

	"thymechute/internal/aid"
)

// A caller may tell that it is gone by a notification, which has no id: that is no fault, and the other requests of its
// connection are owed their answers. Seen in the wide variant's short days.
func TestNotificationCostsNothing(t *testing.T) {
	w := aid.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.Command("start")
	s.Send(`{"jsonrpc":"2.0","method":"interrupt","params":{"id":7}}`)
	s.Send(`{"jsonrpc":"2.0","method":"progress"}`)
	s.Ask(2, "trace", "aa02", body, "") // proves that the notifications were read and the connection stands
	w.Runtime.Command("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	w.Runtime.End(2, "aa02", "good", result)
	s.Wants(2, 0, result)
}

// What can't be answered under an id ends the connection, but not before its open requests have their answers; what stands
// behind the fault is not run.
func TestFaultWithoutAnIDEndsBehindTheOpen(t *testing.T) {
	w := aid.Serve(t, nil)
	for n, fault := range []string{`{"jsonrpc":"2.0","method":`, `{"jsonrpc":"2.0","method":"trace","params":{}}`, `{"jsonrpc":"2.0","method":"check"}`,
		`[]`, strings.Repeat("x", 10000)} {
		rid := fmt.Sprintf("aa%d", n)
		s := w.Stub()
		s.Ask(1, "seal", rid, body, "")
		w.Runtime.Command("start")
		s.Send("%s", fault)
		s.Ask(2, "seal", rid+"b", body, "")
		other := w.Stub()
		other.Ask(1, "trace", rid+"c", body, "")
		if task, _ := w.Runtime.Command("start"); task != rid+"c" {
			t.Errorf("behind %.30s %s was started", fault, task)
		}
		w.Runtime.End(2*n+1, rid, "good", result)
		if r, closed := s.Read(); !closed && r.ID == nil { // the fault's own answer, to nobody in particular
			s.Wants(1, 0, result)
		} else if closed || r.ID != 1.0 || r.Doc() != result {
			t.Fatalf("behind %.30s got %+v, closed %v", fault, r, closed)
		}
		s.Ends()
		w.Runtime.End(2*n+2, rid+"c", "good", result)
		other.Wants(1, 0, result)
	}
}

// Half a line that never gets whole ends the connection; the request open on it is answered first, and the rest of the line
// comes too late to be run.
func TestHalfALineEndsBehindTheOpen(t *testing.T) {
	w := aid.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.Command("start")
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":2,"method":"seal","params":{"rid":"aa02","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="}}`+"\n", time.Now().UnixMilli())
	if _, err := s.Conn.Write([]byte(line[:40])); err != nil {
		t.Fatal(err)
	}
	quiet := w.Stub() // brought nothing either: its end tells that the time is over
	quiet.Ends()
	if _, err := s.Conn.Write([]byte(line[40:])); err != nil {
		t.Fatal(err)
	}
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Ends()
	other := w.Stub()
	other.Ask(1, "trace", "bb01", body, "")
	if task, _ := w.Runtime.Command("start"); task != "bb01" {
		t.Errorf("%s was started", task)
	}
}

// An idle connection is told closing first; a request that crosses the notice is served on it.
func TestRequestThatCrossesTheIdleEndIsServed(t *testing.T) {
	w := aid.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["domain"].(map[string]any)["caller_idle_s"] = 4 // a tenth of it, at first
	})
	s := w.Stub()
	s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	s.Read()
	s.Closing()
	s.Ask(2, "trace", "aa01", body, "")
	w.Runtime.Command("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(2, 0, result)
	s.Ends()
}

// SIGTERM before the runtime is up: what comes is refused, nothing is started when the runtime comes up meanwhile, and a
// second notice changes nothing.
func TestDrainBeforeTheRuntimeIsUp(t *testing.T) {
	w := aid.NewWorld(t, nil)
	w.Program = aid.Start(t, w.Given)
	w.Runtime.Accept()
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	s.Wants(1, -32001, "")
	w.Program.Term()
	s.Closing()
	w.Program.Term()
	w.Runtime.Send(`{"verb":"ready","outcome":"old","spent":3600000}` + "\n")
	s.Ask(2, "trace", "aa02", body, "")
	s.Wants(2, -32001, "")
	s.Ends()
	s.Conn.Close()
	if code := w.Program.Exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// SIGTERM while a new configuration is read, from a file that does not end: the notice is heard all the same.
func TestDrainInTheMiddleOfAReload(t *testing.T) {
	w := aid.NewWorld(t, nil)
	pipe := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	text, _ := json.Marshal(w.Given)
	feed := func() *os.File {
		f, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.Write(text)
		return f
	}
	go func() { feed().Close() }()
	w.Program = aid.StartFrom(t, pipe)
	w.Runtime.Sync(0, "new", 0)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.Command("start")
	_ = w.Program.Cmd.Process.Signal(syscall.SIGHUP)
	f := feed() // the program reads, and there is no end yet
	defer f.Close()
	w.Program.Term()
	s.Closing()
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Conn.Close()
	if code := w.Program.Exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// What is read before the notice is answered, and what comes past the grace is refused and not run.
func TestDrainRefusesWhatComesPastTheGrace(t *testing.T) {
	w := aid.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["rules"].(map[string]any)["drain_grace_s"] = 0
	})
	s, other := w.Stub(), w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.Command("start")
	other.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	other.Read()
	w.Program.Term()
	s.Closing()
	other.Closing()
	other.Send(`{"jsonrpc":"2.0","id":2,"method":"check","params":{"full":true}}`)
	if r, closed := other.Read(); closed || r.ID != 2.0 || r.Result.Serving {
		t.Errorf("got %+v (closed %v), want a bad check", r, closed)
	}
	for id := 2; id <= 9; id++ {
		s.Ask(id, "trace", fmt.Sprintf("bb%d", id), body, "")
		s.Wants(id, -32001, "")
	}
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	other.Ends()
	other.Conn.Close()
	s.Ends()
	s.Conn.Close()
	if code := w.Program.Exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// A stub that reads nothing before the end still gets all its answers.
func TestDrainWaitsForTheSlowReader(t *testing.T) {
	w := aid.Serve(t, nil)
	s := w.Stub()
	large := strings.Repeat("r", 4<<10)
	for id := 1; id <= 30; id++ {
		rid := fmt.Sprintf("aa%d", id)
		s.Ask(id, "trace", rid, "x", "")
	}
	started := map[string]bool{}
	for n := 1; len(started) < 30; n++ {
		task, _ := w.Runtime.Command("start")
		started[task] = true
		w.Runtime.End(n, task, "good", large)
	}
	w.Program.Term()
	aid.Eventually(t, "no longer listening", func() bool { return strings.Contains(w.Program.Log(), "no longer listening") })
	got := 0
	for got < 30 {
		if r, closed := s.Read(); closed {
			t.Fatalf("closed after %d answers", got)
		} else if r.Doc() == large {
			got++
		}
	}
	s.Conn.Close()
	if code := w.Program.Exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// A link on which nothing comes any more, though it stands, is replaced.
func TestRuntimeLinkThatFallsSilentIsOpenedAnew(t *testing.T) {
	w := aid.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.Command("start")
	w.Runtime.Mute()
	w.Runtime.Sync(0, "new", 3000, aid.EndLine(1, "aa01", "good", result))
	s.Wants(1, 0, result)
	s.Ask(2, "seal", "aa02", body, "")
	w.Runtime.Until("start", "aa02")
}

// Settings that are nobody's: names that need escaping, one class or many, no tenant, no keyed class, values left out or
// shorter than a Tick.
func TestSettingsOfAnotherCustomer(t *testing.T) {
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
	for what, settings := range map[string]map[string]any{
		"one class, nothing else": {"classes": []any{class("a", "")}},
		"names to escape": {"classes": []any{class("a \"b\" \\ \u00e9\u2028\n/", "by_key", "deadline_s", 5, "window_s", 5), class("", "once"), class("check-in", "once", "deadline_s", 5)},
			"tenants": []any{map[string]any{"name": "t \"1\"\t\u0130"}}},
		"twenty classes": {"classes": many, "tenants": []any{}},
		"zeros": {"classes": []any{class("z", "by_key", "aim_s", 0, "deadline_s", 0, "window_s", 0, "worth", 0)},
			"domain": map[string]any{"cores": 0, "caller_idle_s": 0, "entry_kb": 0}, "rules": map[string]any{"drain_grace_s": 0}},
		"under a Tick": {"classes": []any{class("u", "by_key", "aim_s", 0.001, "deadline_s", 0.005, "window_s", 0.005)}},
	} {
		t.Run(what, func(t *testing.T) {
			w := aid.Serve(t, func(given map[string]any) { given["settings"] = settings })
			s := w.Stub()
			go w.Runtime.Obey(result)
			for n, c := range settings["classes"].([]any) {
				name := c.(map[string]any)["name"].(string)
				if name == "" {
					continue
				}
				method, _ := json.Marshal(name)
				more := ""
				if tenants, _ := settings["tenants"].([]any); len(tenants) > 0 {
					acct, _ := json.Marshal(tenants[0].(map[string]any)["name"])
					more = `,"acct":` + string(acct)
				}
				if c.(map[string]any)["repeat"] == "by_key" {
					more += fmt.Sprintf(`,"token":"k%d"`, n)
				}
				s.Send(`{"jsonrpc":"2.0","id":%d,"method":%s,"params":{"rid":"aa%d","t0":%d,"peer":1,"mem":10,"prio":0.5,"doc":"AA=="%s}}`,
					n+1, method, n, time.Now().UnixMilli(), more)
				r, closed := s.Read()
				if closed || r.ID != float64(n+1) || r.Code() != 0 && r.Code() != -32000 && r.Code() != -32001 {
					t.Fatalf("class %q: %+v, closed %v", name, r, closed)
				}
				if what != "zeros" && what != "under a Tick" && r.Doc() != result {
					t.Errorf("class %q is not served: %+v", name, r)
				}
			}
			w.Program.Term()
			s.Closing()
			s.Conn.Close()
			if code := w.Program.Exit(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// What one caller floods costs that caller alone.
func TestFloodsCostTheirSenderOnly(t *testing.T) {
	w := aid.Serve(t, nil)
	flood := bytes.Repeat([]byte(`{"jsonrpc":"2.0","method":"note"}`+"\n"+`{"jsonrpc":"2.0","id":1,"method":"check"}`+"\n"), 500)
	for range 4 {
		c, err := net.Dial("tcp", w.Listen)
		if err != nil {
			t.Fatal(err)
		}
		go func() { // reads nothing, until its connection is closed for that or the test ends
			for err := error(nil); err == nil; {
				_, err = c.Write(flood)
			}
		}()
		t.Cleanup(func() { c.Close() })
	}
	full := w.Stub() // one caller with 32 open
	for id := 1; id <= 33; id++ {
		full.Ask(id, "seal", fmt.Sprintf("ff%d", id), "x", "")
	}
	full.Wants(33, -32600, "")
	s := w.Stub()
	for id := 1; id <= 50; id++ {
		s.Send(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, id)
		if r, closed := s.Read(); closed || !r.Result.Serving {
			t.Fatalf("%+v, closed %v", r, closed)
		}
	}
}
