package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"thymechute/internal/testutil"
)

// elsewhere are the settings of a deployment that is put together differently: another band, a longer window, the
// other forms of what the module reads.
func elsewhere(t *testing.T, w *testutil.Environment, change func(settings map[string]any)) []byte {
	t.Helper()
	given := map[string]any{}
	for k, v := range w.Config {
		given[k] = v
	}
	s := testutil.Settings()
	classes := s["classes"].([]any)
	classes[0] = map[string]any{"name": "issue", "repeat": "by_key", "worth": 10, "aim_s": 20, "deadline_s": 30, "window_s": 60}
	classes[1].(map[string]any)["window_s"] = 90
	d := s["domain"].(map[string]any)
	d["halt"], d["say"], d["readiness"], d["said_for_s"] = "suspend", "share_of", true, 1
	if change != nil {
		change(s)
	}
	given["settings"] = s
	text, err := json.Marshal(given)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The switch under load with receipted work in hand: each start and each answer is counted by coming exactly once in
// its place; a command or an answer too many would be taken for the next.
func TestSwitchThereAndBackAndThereAgain(t *testing.T) {
	w := testutil.Serve(t, nil)
	here, err := json.Marshal(w.Config)
	if err != nil {
		t.Fatal(err)
	}
	there := elsewhere(t, w, nil)
	s, notice := w.Stub(), 0
	start := func(id int, band, rid, more string) {
		t.Helper()
		s.Ask(id, band, rid, body, more)
		if task, _ := w.Runtime.ExpectCommand("start"); task != rid {
			t.Fatalf("%s was started, want %s", task, rid)
		}
	}
	end := func(id int, rid string) {
		t.Helper()
		notice++
		w.Runtime.End(notice, rid, "good", rid)
		s.Wants(id, 0, rid)
	}
	unknown := func(id int, band string) {
		t.Helper()
		s.Ask(id, band, fmt.Sprint("no", id), body, "")
		s.Wants(id, -32601, "")
	}
	start(1, "excursion", "aa01", `,"token":"5c0f"`)
	start(2, "trace", "aa02", "")
	unknown(3, "issue")

	w.Program.Reload(there, `"settings": true`)
	start(4, "issue", "bb01", `,"token":"77"`)
	unknown(5, "trace")
	end(2, "aa02") // of a band that only the earlier settings have

	for text, words := range map[string]string{
		string(there[:len(there)/2]): "GW_CONFIG: found",
		string(elsewhere(t, w, func(s map[string]any) { s["domain"].(map[string]any)["halt"] = "suspnd" })):                   `settings.domain.halt: found \"suspnd\", expected one of off, abort, suspend`,
		string(elsewhere(t, w, func(s map[string]any) { s["classes"].([]any)[0].(map[string]any)["aim_s"] = 31 })):            "settings.classes.0.aim_s: found 31, expected at most its deadline_s, 30",
		string(elsewhere(t, w, func(s map[string]any) { s["classes"].([]any)[2].(map[string]any)["repeat"] = "repeatable" })): "settings.classes: found seal as \\\"repeatable\\\"",
	} {
		w.Program.Reload([]byte(text), "configuration not taken")
		if !strings.Contains(w.Program.Log(), words) {
			t.Errorf("the log does not say %s:\n%s", words, w.Program.Log())
		}
	}
	unknown(6, "trace") // what stands is still the later one

	w.Program.Reload(here, `"settings": true`)
	unknown(7, "issue")
	start(8, "trace", "aa03", "")
	s.Ask(9, "excursion", "aa04", body, `,"token":"5c0f","again":1`) // joins the run from before both switches
	end(4, "bb01")
	notice++
	w.Runtime.End(notice, "aa01", "good", "once")
	for range 2 {
		if r, closed := s.Read(); closed || r.Doc() != "once" || r.ID != 1.0 && r.ID != 9.0 {
			t.Fatalf("%+v, closed %v", r, closed)
		}
	}

	w.Program.Reload(there, `"settings": true`)
	s.Ask(10, "issue", "bb02", body, `,"token":"77","again":1`) // its result was kept over the way back
	s.Wants(10, 0, "bb01")
	end(8, "aa03")
	start(11, "issue", "bb03", `,"token":"78"`) // and nothing else was started meanwhile
	end(11, "bb03")
	w.Program.Reload(there, `"settings": false`)
}
