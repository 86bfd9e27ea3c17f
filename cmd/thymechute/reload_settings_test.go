package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"thymechute/internal/testutil"
)

// otherSettings returns the configuration with different settings: another class, a longer key window, and other modes. change,
// if not nil, changes them further.
func otherSettings(t *testing.T, env *testutil.Environment, change func(settings map[string]any)) []byte {
	t.Helper()
	config := map[string]any{}
	for k, v := range env.Config {
		config[k] = v
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
	config["settings"] = s
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Reloads switch between two settings while idempotent requests are in flight. Each start and each response must come exactly once
// and in order: an extra one would be taken for the next and fail the test.
func TestReloadBetweenTwoSettingsUnderLoad(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	original, err := json.Marshal(env.Config)
	if err != nil {
		t.Fatal(err)
	}
	other := otherSettings(t, env, nil)
	stub := env.Connect()
	notice := 0
	start := func(id int, class, rid, more string) {
		t.Helper()
		stub.SendRequest(id, class, rid, body, more)
		if task, _ := env.Runtime.ExpectCommand("start"); task != rid {
			t.Fatalf("task %s was started, want %s", task, rid)
		}
	}
	end := func(id int, rid string) {
		t.Helper()
		notice++
		env.Runtime.SendEnd(notice, rid, "good", rid)
		stub.ExpectResponse(id, 0, rid)
	}
	expectUnknown := func(id int, class string) {
		t.Helper()
		stub.SendRequest(id, class, fmt.Sprint("no", id), body, "")
		stub.ExpectResponse(id, -32601, "")
	}
	start(1, "excursion", "aa01", `,"token":"5c0f"`)
	start(2, "trace", "aa02", "")
	expectUnknown(3, "issue")

	env.Program.Reload(other, `"settings_changed": true`)
	start(4, "issue", "bb01", `,"token":"77"`)
	expectUnknown(5, "trace")
	end(2, "aa02") // of a class that only the previous settings have

	for text, words := range map[string]string{
		string(other[:len(other)/2]): "GW_CONFIG: found",
		string(otherSettings(t, env, func(s map[string]any) { s["domain"].(map[string]any)["halt"] = "suspnd" })):                   `settings.domain.halt: found \"suspnd\", expected one of off, abort, suspend`,
		string(otherSettings(t, env, func(s map[string]any) { s["classes"].([]any)[0].(map[string]any)["aim_s"] = 31 })):            "settings.classes.0.aim_s: found 31, expected at most its deadline_s, 30",
		string(otherSettings(t, env, func(s map[string]any) { s["classes"].([]any)[2].(map[string]any)["repeat"] = "repeatable" })): "settings.classes: class \\\"seal\\\": found repeat \\\"repeatable\\\", expected",
	} {
		env.Program.Reload([]byte(text), "configuration rejected")
		if !strings.Contains(env.Program.Log(), words) {
			t.Errorf("the log does not contain %s:\n%s", words, env.Program.Log())
		}
	}
	expectUnknown(6, "trace") // the last valid settings still apply

	env.Program.Reload(original, `"settings_changed": true`)
	expectUnknown(7, "issue")
	start(8, "trace", "aa03", "")
	stub.SendRequest(9, "excursion", "aa04", body, `,"token":"5c0f","again":1`) // coalesced with the run that started before both reloads
	end(4, "bb01")
	notice++
	env.Runtime.SendEnd(notice, "aa01", "good", "once")
	for range 2 {
		if r, closed := stub.Receive(); closed || r.Doc() != "once" || r.ID != 1.0 && r.ID != 9.0 {
			t.Fatalf("got %+v, closed %v", r, closed)
		}
	}

	env.Program.Reload(other, `"settings_changed": true`)
	stub.SendRequest(10, "issue", "bb02", body, `,"token":"77","again":1`) // its result was retained through both reloads
	stub.ExpectResponse(10, 0, "bb01")
	end(8, "aa03")
	start(11, "issue", "bb03", `,"token":"78"`) // nothing else was started meanwhile
	end(11, "bb03")
	env.Program.Reload(other, `"settings_changed": false`)
}
