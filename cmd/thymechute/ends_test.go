package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// A caller may tell that it is gone by a notification, which has no id: that is no fault, and the other requests of its
// connection are owed their answers. Seen in the wide variant's short days.
func TestNotificationCostsNothing(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	s.Send(`{"jsonrpc":"2.0","method":"interrupt","params":{"id":7}}`)
	s.Send(`{"jsonrpc":"2.0","method":"progress"}`)
	s.Ask(2, "trace", "aa02", body, "") // proves that the notifications were read and the connection stands
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	w.Runtime.End(2, "aa02", "good", result)
	s.Wants(2, 0, result)
}

// What can't be answered under an id ends the connection, but not before its open requests have their answers; what stands
// behind the fault is not run.
func TestFaultWithoutAnIDEndsBehindTheOpen(t *testing.T) {
	w := testutil.Serve(t, nil)
	for n, fault := range []string{`{"jsonrpc":"2.0","method":`, `{"jsonrpc":"2.0","method":"trace","params":{}}`, `{"jsonrpc":"2.0","method":"check"}`,
		`[]`, strings.Repeat("x", 10000)} {
		rid := fmt.Sprintf("aa%d", n)
		s := w.Stub()
		s.Ask(1, "seal", rid, body, "")
		w.Runtime.ExpectCommand("start")
		s.Send("%s", fault)
		s.Ask(2, "seal", rid+"b", body, "")
		other := w.Stub()
		other.Ask(1, "trace", rid+"c", body, "")
		if task, _ := w.Runtime.ExpectCommand("start"); task != rid+"c" {
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
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":2,"method":"seal","params":{"rid":"aa02","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="}}`+"\n", time.Now().UnixMilli())
	if _, err := s.Conn.Write([]byte(line[:40])); err != nil {
		t.Fatal(err)
	}
	quiet := w.Stub() // brought nothing either: its end tells that the time is over
	quiet.Closing()
	quiet.Ends()
	if _, err := s.Conn.Write([]byte(line[40:])); err != nil {
		t.Fatal(err)
	}
	w.Runtime.End(1, "aa01", "good", result)
	s.Closing()
	s.Wants(1, 0, result)
	s.Ends()
	other := w.Stub()
	other.Ask(1, "trace", "bb01", body, "")
	if task, _ := w.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("%s was started", task)
	}
}

// A line that takes long to arrive is told closing, and served where its rest crosses that.
func TestSlowLineThatCrossesItsNoticeIsServed(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	line := fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"seal","params":{"rid":"aa01","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="}}`+"\n", time.Now().UnixMilli())
	for n, part := range []string{line[:40], line[40:]} {
		if _, err := s.Conn.Write([]byte(part)); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			s.Closing()
		}
	}
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Ends()
}

// At the limit the connection that is needed least makes room; a request that crosses its notice is served on it.
func TestRequestThatCrossesTheEvictionIsServed(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) { given["limits"].(map[string]any)["sockets"] = 64 })
	const most = (64 - own) / 8 * stubParts
	var stubs []*testutil.Stub
	for range most {
		s := w.Stub()
		s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
		s.Read()
		stubs = append(stubs, s)
	}
	late := w.Stub() // takes the place of the first
	s := stubs[0]
	s.Closing()
	s.Ask(2, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(2, 0, result)
	s.Ends()
	for _, s := range append(stubs[1:], late) {
		s.Send(`{"jsonrpc":"2.0","id":2,"method":"check"}`)
		if r, closed := s.Read(); closed || !r.Result.Serving {
			t.Fatalf("%+v, closed %v", r, closed)
		}
	}
}

// An idle connection is told closing first; a request that crosses the notice is served on it.
func TestRequestThatCrossesTheIdleEndIsServed(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["domain"].(map[string]any)["caller_idle_s"] = 4 // a tenth of it, at first
	})
	s := w.Stub()
	s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	s.Read()
	s.Closing()
	s.Ask(2, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(2, 0, result)
	s.Ends()
}

// SIGTERM before the runtime is up: what comes is refused, nothing is started when the runtime comes up meanwhile, and a
// second notice changes nothing.
// SIGTERM while a new configuration is read, from a file that does not end: the notice is heard all the same.
// What is read before the notice is answered, and what comes past the grace is refused and not run.
// A stub that reads nothing before the end still gets all its answers, those too that the system did not take from the program.
// What is still owed shortly before the kill is answered then, and the connection ends behind it as every connection does: no
// reset, though bytes come up to the last moment.
// SIGTERM while the program starts, before it has read what it is told: it starts, owes nothing, and ends.
// From exec to listed and serving takes well under a second, a thirtieth of what is allowed; also for a process that starts
// again beside a runtime at work.
func TestReadySoonAfterExec(t *testing.T) {
	testutil.Built(t)
	w := testutil.NewEnvironment(t, nil)
	for life, state := range []string{"new", "old"} {
		began := time.Now()
		w.Program = testutil.Start(t, w.Config)
		w.Runtime.Sync(0, state, life*100000)
		testutil.Until(t, w.CatalogReports, "a good report", func(word string) bool { return word == "alive n3 passing" })
		listed := time.Since(began)
		s := w.Stub()
		s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
		if r, closed := s.Read(); closed || !r.Result.Serving {
			t.Errorf("%s: %+v, closed %v", state, r, closed)
		}
		t.Logf("%s: listed after %v, serving after %v", state, listed, time.Since(began))
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: ready after %v, a tenth of the allowed is 3 s", state, took)
		}
		_ = w.Program.Cmd.Process.Kill()
		w.Program.Exit()
		for len(w.CatalogReports) > 0 {
			<-w.CatalogReports
		}
	}
}

// An answer that breaks off in mid-write costs its own connection: the run counts, and a repeat gets its result, not a run.
func TestAnswerThatBreaksOffLeavesItsResult(t *testing.T) {
	w := testutil.Serve(t, nil)
	large := strings.Repeat("r", 4<<10)
	s := w.Stub()
	_ = s.Conn.(*net.TCPConn).SetReadBuffer(1 << 10)
	for id := 1; id <= 30; id++ {
		s.Ask(id, "excursion", fmt.Sprintf("aa%d", id), body, fmt.Sprintf(`,"token":"k%d"`, id))
	}
	for n := 1; n <= 30; n++ {
		task, _ := w.Runtime.ExpectCommand("start")
		w.Runtime.End(n, task, "good", large)
	}
	part := make([]byte, 1000)
	if _, err := s.Conn.Read(part); err != nil {
		t.Fatal(err)
	}
	s.Conn.Close() // over unread bytes: a reset in the middle of an answer
	other := w.Stub()
	for id := 1; id <= 30; id++ {
		other.Ask(id, "excursion", fmt.Sprintf("bb%d", id), body, fmt.Sprintf(`,"token":"k%d","again":1`, id))
		other.Wants(id, 0, large)
	}
	other.Ask(31, "trace", "cc01", body, "")
	if task, _ := w.Runtime.ExpectCommand("start"); task != "cc01" {
		t.Errorf("%s was started", task)
	}
}

// A catalog that is away for a while hears the next report after it is back, on the same address.
func TestCatalogThatComesBackHearsReports(t *testing.T) {
	w := testutil.Serve(t, nil)
	testutil.Next(t, w.CatalogReports, "a report")
	address := w.Catalog.LocalAddr().String()
	w.Catalog.Close()
	s := w.Stub()
	for began := time.Now(); time.Since(began) < time.Second; { // three reports are refused meanwhile, on a machine that is not crowded
		s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
		if r, closed := s.Read(); closed || !r.Result.Serving {
			t.Fatalf("%+v, closed %v", r, closed)
		}
	}
	back, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer back.Close()
	_ = back.SetReadDeadline(time.Now().Add(20 * time.Second))
	word := make([]byte, 100)
	if n, _, err := back.ReadFrom(word); err != nil || string(word[:n]) != "alive n3 passing" {
		t.Errorf("%q, %v", word[:n], err)
	}
}

// A repeat just before the window's end gets the result, with the same body; with another it is an error. Past the end it is new
// work. The window counts from the first try, and a repeat from when it came, not from when it was read.
func TestRepeatsAroundTheWindowsEnd(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)["window_s"] = 1
	})
	s := w.Stub()
	const token = `,"token":"5c0f"`
	asked := time.Now()
	s.Ask(1, "excursion", "aa01", body, token)
	w.Runtime.ExpectCommand("start")
	s.Ask(2, "excursion", "aa02", body, token+`,"again":1`) // while the first still runs
	w.Runtime.End(1, "aa01", "good", "one")
	s.Wants(1, 0, "one")
	s.Wants(2, 0, "one")
	go w.Runtime.ServeAll(2, "two")
	served, sent := 2, time.Now()
	for id, doc := 3, "one"; doc == "one"; id++ { // up to the end and past it, as often as this goes
		s.Ask(id, "excursion", fmt.Sprintf("aa%d", id), body, token+`,"again":1`)
		r, closed := s.Read()
		if doc = r.Doc(); closed || r.ID != float64(id) || doc != "one" && doc != "two" {
			t.Fatalf("got %+v, closed %v", r, closed)
		}
		if served++; doc == "one" {
			sent = time.Now()
		}
	}
	if kept := time.Since(asked); kept < time.Second { // when the last was read at the latest
		t.Errorf("run again %v after the first try", kept)
	}
	if sent.Sub(asked) > 2*time.Second {
		t.Errorf("the result was still given %v after the first try", sent.Sub(asked))
	}
	s.Ask(99999, "excursion", "bb01", "another body", token+`,"again":1`)
	s.Wants(99999, -32000, "")
	t.Logf("%d served, of which one was run again", served)
}

// The descriptors of a flood are given back.
func TestDescriptorsAreGivenBack(t *testing.T) {
	w := testutil.Serve(t, nil)
	count := func() int {
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.Program.Cmd.Process.Pid))
		if err != nil {
			t.Skip(err)
		}
		return len(fds)
	}
	s := w.Stub()
	s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	s.Read()
	before := count()
	var conns []*testutil.Stub
	for range 150 {
		conns = append(conns, w.Stub())
	}
	for n, c := range conns {
		if n%3 == 0 {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		if n%3 != 1 { // these say nothing, and are ended by the program
			c.Conn.Close()
		}
	}
	testutil.Eventually(t, "the descriptors are back", func() bool { return count() <= before })
}

// A link on which nothing comes any more, though it stands, is replaced.
func TestRuntimeLinkThatFallsSilentIsOpenedAnew(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.Mute()
	w.Runtime.Sync(0, "new", 3000, testutil.EndLine(1, "aa01", "good", result))
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
			w := testutil.Serve(t, func(given map[string]any) { given["settings"] = settings })
			s := w.Stub()
			go w.Runtime.ServeAll(1, result)
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
			w.Program.EndsWith(0)
		})
	}
}

// What one caller floods costs that caller alone.
func TestFloodsCostTheirSenderOnly(t *testing.T) {
	w := testutil.Serve(t, nil)
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
