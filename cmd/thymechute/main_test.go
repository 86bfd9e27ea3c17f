package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

const body, reply, result = "\x00\xff body\n", "a reply\r\n", "the \"result\"\x01"

func TestServedWithItsCallBytesUnchanged(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	if task, got := w.Runtime.ExpectCommand("start"); task != "aa01" || got != body {
		t.Errorf("started %s with %q", task, got)
	}
	w.Runtime.RequestCall(1, "aa01", "call \r\n")
	w.Index.Accept()
	if rid, got := w.Index.ExpectCall(); rid != "aa01" || got != "call \r\n" {
		t.Errorf("called for %s with %q", rid, got)
	}
	w.Index.Send("aa01 HIT %d\r\n%s\r\n", len(reply), reply)
	if task, got := w.Runtime.ExpectCommand("give"); task != "aa01" || got != reply {
		t.Errorf("gave %s %q", task, got)
	}
	w.Runtime.End(2, "aa01", "good", result)
	s.Wants(1, 0, result)
	if word := testutil.Next(t, w.CatalogReports, "a report"); !strings.HasPrefix(word, "alive n3 ") {
		t.Errorf("reported %q", word)
	}
}

func TestAnswersComeInAnyOrderAndOnlyOnce(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	for id := 1; id <= 3; id++ {
		s.Ask(id, "trace", fmt.Sprintf("aa%d", id), body, "")
		w.Runtime.ExpectCommand("start")
	}
	for n, id := range []int{3, 1, 2} {
		w.Runtime.End(n+1, fmt.Sprintf("aa%d", id), "good", result)
		s.Wants(id, 0, result)
	}
	w.Runtime.End(4, "aa1", "good", result) // once more: ignored
	s.Send(`{"jsonrpc":"2.0","id":9,"method":"check","params":{"full":true}}`)
	if r, _ := s.Read(); r.ID != 9.0 || !r.Result.Serving {
		t.Errorf("got %+v, want a good health check", r)
	}
}

func TestTurnedBackWhereItDoesNotFit(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["domain"].(map[string]any)["ram_kb"] = 5
	})
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	if r := s.Wants(1, -32001, ""); r.Error.Data.Backoff < 1 {
		t.Errorf("no word when to come back: %+v", r.Error)
	}
}

func TestRepeatIsFulfilledFromItsForerunner(t *testing.T) {
	w := testutil.Serve(t, nil)
	s, other := w.Stub(), w.Stub()
	const token = `,"token":"5c0f"`
	s.Ask(1, "excursion", "aa01", body, token)
	w.Runtime.ExpectCommand("start")
	other.Ask(1, "excursion", "aa02", body, token+`,"again":1`)
	s.Ask(2, "excursion", "bb01", body, `,"token":"77"`) // proves that the repeat before it was not started
	if task, _ := w.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("%s was started", task)
	}
	s.Conn.Close() // the first try's caller goes: its run counts all the same
	w.Runtime.End(1, "aa01", "good", result)
	other.Wants(1, 0, result)
	other.Ask(2, "excursion", "aa03", body, token+`,"again":1`)
	other.Wants(2, 0, result)
}

func TestRepeatOfWhatFailedIsNotRun(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(1, "aa01", "bad", "")
	s.Wants(1, -32000, "")
	s.Ask(2, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	s.Wants(2, -32000, "")
}

func TestLinkBreaksAndNoticesCountOnce(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	for id := 1; id <= 3; id++ {
		s.Ask(id, "seal", fmt.Sprintf("aa%d", id), body, "")
		w.Runtime.ExpectCommand("start")
	}
	w.Runtime.End(1, "aa1", "good", "one")
	s.Wants(1, 0, "one")
	w.Runtime.Send(`{"verb":"end","index":2,"task":"aa2","out`) // broken at any byte
	w.Runtime.Break()
	// What ended meanwhile is not started again; what is not known of is, as its start may not have come.
	w.Runtime.Sync(1, "new", 50, testutil.EndLine(1, "aa1", "good", "one"), testutil.EndLine(2, "aa2", "good", "two"))
	s.Wants(2, 0, "two")
	if task, _ := w.Runtime.ExpectCommand("start"); task != "aa3" {
		t.Errorf("%s was started again", task)
	}
	w.Runtime.End(3, "aa3", "good", "three")
	s.Wants(3, 0, "three")
}

func TestReplyThatMayHaveBeenTakenIsNotGivenTwice(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.AtCall("aa01", body)
	w.Index.Send("aa01 HIT 1\r\nx\r\n")
	w.Runtime.ExpectCommand("give")
	w.Runtime.Break()
	w.Runtime.Sync(1, "new", 50)
	s.Ask(2, "seal", "bb01", body, "")
	if task, _ := w.Runtime.ExpectCommand("start"); task != "bb01" { // neither start nor give of the first
		t.Errorf("%s was started", task)
	}
}

func TestNewConfigurationMovesToItsAddressesAndWorkGoesOn(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	w.Runtime.ExpectCommand("start")
	good, _ := json.Marshal(w.Config)
	w.Program.Reload(good[:len(good)/2], "configuration not taken")
	w.Program.Reload([]byte(strings.Replace(string(good), w.Runtime.Address, "nowhere", 1)), `runtime: found \"nowhere\"`)
	old, oldIndex := w.Runtime, w.Index
	w.Runtime, w.Index = testutil.NewFakePeer(t), testutil.NewFakePeer(t)
	w.Config["runtime"], w.Config["index"], w.Config["listen"] = w.Runtime.Address, w.Index.Address, testutil.FreeAddress(t)
	again, _ := json.Marshal(w.Config)
	w.Program.Reload(again, `"not changed while running": ["listen"]`)
	w.Runtime.Sync(0, "new", 50)
	if task, _ := w.Runtime.ExpectCommand("start"); task != "aa01" { // it may not have come
		t.Errorf("%s was started", task)
	}
	old.Down()
	oldIndex.Down()
	w.Runtime.RequestCall(1, "aa01", "call")
	w.Index.Accept()
	w.Index.ExpectCall()
	w.Index.Send("aa01 HIT 1\r\nx\r\n")
	w.Runtime.ExpectCommand("give")
	w.Runtime.End(2, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Ask(2, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	s.Wants(2, 0, result)
}

func TestRuntimeStartedAnewHasLostItsRuns(t *testing.T) {
	w := testutil.NewEnvironment(t, nil)
	w.Program = testutil.Start(t, w.Config)
	w.Runtime.Sync(0, "new", 5000)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.Break()
	w.Runtime.Sync(0, "new", 0)
	s.Wants(1, -32000, "") // scrapped: it may have run
}

func TestRuntimeThatComesUpLate(t *testing.T) {
	w := testutil.NewEnvironment(t, nil)
	w.Program = testutil.Start(t, w.Config)
	s := w.Stub()
	s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
	if r, _ := s.Read(); r.Code() != 0 || r.Result.Serving {
		t.Errorf("serves without a runtime: %+v", r)
	}
	s.Ask(2, "trace", "aa01", body, "")
	s.Wants(2, -32001, "")
	w.Runtime.Sync(0, "old", 1000)
	s.Ask(3, "trace", "aa02", body, "")
	w.Runtime.ExpectCommand("start")
}

func TestRestartBesideARuntimeAtWorkDoesNotRunRepeats(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	w.Runtime.ExpectCommand("start")
	_ = w.Program.Cmd.Process.Kill()
	w.Program.Exit()
	w.Program = testutil.Start(t, w.Config)
	w.Runtime.Sync(0, "old", 5000, testutil.EndLine(1, "aa01", "good", result)) // of the life before
	s = w.Stub()
	s.Ask(1, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	s.Wants(1, -32000, "")
	s.Ask(2, "excursion", "bb01", body, `,"token":"77"`)
	if task, _ := w.Runtime.ExpectCommand("start"); task != "bb01" {
		t.Errorf("%s was started", task)
	}
}

func TestCallIsRepeatedOnlyIfItNeverRan(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	address := w.Index.Address
	w.Index.Down() // refused: nothing ran
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.RequestCall(1, "aa01", "call")
	w.Index.Listen(address)
	w.Index.Accept()
	w.Index.ExpectCall()
	for _, word := range []string{"SHED", "NOBODY"} {
		w.Index.Send("aa01 %s\r\n", word)
		w.Index.Accept() // never on the same connection again
		if _, got := w.Index.ExpectCall(); got != "call" {
			t.Errorf("after %s called with %q", word, got)
		}
	}
	w.Index.Send("aa01 BROKEN\r\n")
	s.Wants(1, -32000, "")
}

func TestCallBrokenInItsReplyMayHaveRun(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.AtCall("aa01", body)
	w.Index.Send("aa01 HIT 9\r\nhal")
	w.Index.Break()
	s.Wants(1, -32000, "")
}

func TestLeaveAnswersWhatWasReadAndEnds(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	s.Ask(2, "trace", "aa02", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.ExpectCommand("start")
	w.Program.Term()
	if r, _ := s.Read(); r.Method != "closing" {
		t.Errorf("got %+v, want closing", r)
	}
	w.Runtime.End(1, "aa01", "good", result)
	s.Wants(1, 0, result)
	s.Wants(2, -32000, "") // it never ends: scrapped before the stop
	w.Program.EndsWith(0)
	if c, err := net.Dial("tcp", w.Listen); err == nil {
		c.Close()
		t.Error("still listening")
	}
	testutil.Until(t, w.CatalogReports, "a report that it leaves", func(word string) bool { return word == "alive n3 critical" })
}

func TestBadInputFromAStub(t *testing.T) {
	w := testutil.Serve(t, nil)
	other := w.Stub()
	other.Ask(1, "excursion", "cc01", body, `,"token":"5c0f"`)
	w.Runtime.ExpectCommand("start")
	params := fmt.Sprintf(`"params":{"rid":"aa01","t0":%d,"peer":1,"acct":"acme","mem":10,"prio":0.5,"doc":"AA=="`, time.Now().UnixMilli())
	ask := `{"jsonrpc":"2.0","id":1,"method":"trace",` + params + `}}`
	for line, code := range map[string]int{ // by id: the connection stays, unless it brings too many
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
		s := w.Stub()
		s.Send("%s", line)
		if r, closed := s.Read(); closed || r.Code() != code {
			t.Errorf("%s: got %+v (closed %v), want %d", line, r, closed, code)
		}
		s.Ask(9, "excursion", "aa09", "another body", `,"token":"5c0f"`) // never another's result
		s.Wants(9, -32000, "")
	}
	for _, line := range []string{ask[len(ask)/2:], strings.Replace(ask, `"id":1`, `"id":"1"`, 1), strings.Replace(ask, `"id":1,`, "", 1),
		`[` + ask + `]`, strings.Replace(ask, `"id":1`, `"id":1,"id":2`, 1)} {
		s := w.Stub()
		s.Send("%s", line)
		for closed := false; !closed; { // an error to nobody in particular first
			var r testutil.Reply
			if r, closed = s.Read(); !closed && (r.Code() >= 0 || r.Result.Doc != "") {
				t.Errorf("%s: got %+v", line, r)
			}
		}
	}
	s := w.Stub()
	s.Ask(2, "trace", "aa02", body, "")
	w.Runtime.ExpectCommand("start")
	s.Ask(3, "trace", "aa02", body, "")
	s.Wants(3, -32600, "")
	w.Runtime.End(1, "aa02", "good", result)
	s.Wants(2, 0, result)
	s.Ask(4, "trace", "aa04", body, "")
	w.Runtime.ExpectCommand("start")
	s.Ask(4, "trace", "aa05", body, "") // its id is open: this connection ends behind the answer to the first, and no other
	s.Ask(5, "trace", "aa05", body, "") // comes after the end: not read
	w.Runtime.End(2, "aa04", "good", result)
	s.Wants(4, 0, result)
	if _, closed := s.Read(); !closed {
		t.Error("the connection stays open after two requests under one id")
	}
	s = w.Stub()
	s.Send("%s", strings.Repeat("x", 10000)) // can't be framed
	if _, closed := s.Read(); !closed {
		t.Error("the connection stays open after an endless line")
	}
	w.Runtime.End(3, "cc01", "good", "\x00")
	other.Wants(1, 0, "\x00")
	other.Ask(2, "trace", "aa06", body, `,"unheard":{"of":[1,"\u00e9"]}`)
	w.Runtime.Until("start", "aa06")
}

func TestBadInputFromRuntimeAndIndex(t *testing.T) {
	w := testutil.Serve(t, nil)
	s := w.Stub()
	s.Ask(1, "seal", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.Send(`{"verb":"hum"}` + "\n" + `{"verb":"end","index":1,"task":"zz","outcome":"good"}` + "\n")
	w.Runtime.RequestCall(2, "aa01", "call")
	w.Runtime.RequestCall(2, "aa01", "another") // repeated: ignored
	w.Index.Accept()
	if _, got := w.Index.ExpectCall(); got != "call" {
		t.Errorf("called with %q", got)
	}
	w.Index.Send("zz HIT 1\r\nx\r\naa01 WHAT\r\nno reply at all\n")
	w.Index.AwaitClose()
	s.Wants(1, -32000, "")
	w.Runtime.Send("no notice\n")
	w.Runtime.AwaitClose()
	w.Runtime.Sync(2, "new", 50)
	s.Ask(2, "seal", "aa02", body, "")
	w.Runtime.ExpectCommand("start")
}

func TestAtTheLimitWhoBroughtNothingMakesRoom(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) { given["limits"].(map[string]any)["sockets"] = 64 })
	busy := w.Stub()
	busy.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	for range 3 * 64 {
		w.Stub() // says nothing
	}
	for range 3 * 64 {
		s := w.Stub()
		s.Send(`{"jsonrpc":"2.0","id":1,"method":"check"}`)
		if r, closed := s.Read(); closed || !r.Result.Serving {
			t.Fatalf("%+v, closed %v", r, closed)
		}
	}
	w.Runtime.End(1, "aa01", "good", result)
	busy.Wants(1, 0, result)
}

func TestStubThatDoesNotReadIsClosedAndOthersServed(t *testing.T) {
	w := testutil.Serve(t, nil)
	s, other := w.Stub(), w.Stub()
	go func() { // until the program ends this connection, as its answers pile up
		for {
			if _, err := s.Conn.Write([]byte(strings.Repeat(`{"jsonrpc":"2.0","id":1,"method":"check"}`+"\n", 1000))); err != nil {
				return
			}
		}
	}()
	for id := 1; ; id++ {
		other.Send(`{"jsonrpc":"2.0","id":%d,"method":"check"}`, id)
		if r, closed := other.Read(); closed || !r.Result.Serving {
			t.Fatalf("%+v, closed %v", r, closed)
		}
		if strings.Contains(w.Program.Log(), "peer does not read") {
			return
		}
	}
}

func TestLogWithoutAReaderDoesNotEndTheProgram(t *testing.T) {
	reader, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	w := testutil.NewEnvironment(t, nil)
	w.Program = testutil.StartWith(t, w.Config, log)
	w.Runtime.Sync(0, "new", 0)
	w.Runtime.Break() // this and the sync are worth a line each
	w.Runtime.Sync(0, "new", 50)
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
}

func TestFaultyConfigurationEndsWithTheKey(t *testing.T) {
	w := testutil.NewEnvironment(t, func(given map[string]any) { given["stop_ms"] = "soon" })
	p := testutil.Start(t, w.Config)
	if code := p.Exit(); code != 2 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), `stop_ms: found "soon"`) {
		t.Errorf("exit code %d, %q", code, p.Log())
	}
}

func TestCommandLine(t *testing.T) {
	good := "../../deploy/thymechute.xml"
	bad := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(bad, []byte("<thymechute xmlns=\"urn:thymechute:operator:1\">\n<amqp/></thymechute>"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"version", 0, "thymechute "},
		{"check --settings " + good, 0, "ok\n"},
		{"check --settings " + bad, 2, bad + ": line 2, amqp: found element broker 0 times, expected at least 1\n"},
		{"check --settings /no/such", 2, "settings: found open /no/such"},
		{"check", 2, "found nothing, expected --settings or GW_CONFIG"},
		{"serve --settings " + bad, 2, "GW_CONFIG: found nothing"},
		{"sevre", 2, `found "sevre"`},
		{"--setings x", 2, "unknown flag"},
	} {
		out, err := exec.Command(testutil.Built(t), strings.Fields(c.args)...).CombinedOutput()
		code := 0
		if e, ok := err.(*exec.ExitError); ok {
			code = e.ExitCode()
		}
		if code != c.code || !strings.Contains(string(out), c.says) || code == 2 && strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: exit code %d, %q", c.args, code, out)
		}
	}
}
