package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

// planned is the number of tenants that the instance is built for.
const planned = 60_000

// tenantList is a list of so many tenants, one of which has this quota, and more behind them.
func tenantList(many, one, quota int, more ...string) json.RawMessage {
	list := []byte("[")
	for n := range many {
		of := 1000
		if n == one {
			of = quota
		}
		list = fmt.Appendf(list, `{"name":"tenant-%06d","quota_per_s":%d},`, n, of)
	}
	for _, name := range more {
		list = fmt.Appendf(list, `{"name":%q,"quota_per_s":1000},`, name)
	}
	return append(list[:len(list)-1], ']')
}

// withTenants is the world's configuration with these tenants.
func withTenants(t *testing.T, given map[string]any, tenants json.RawMessage) []byte {
	t.Helper()
	later := map[string]any{}
	for key, value := range given {
		later[key] = value
	}
	s := testutil.Settings()
	s["tenants"] = tenants
	later["settings"] = s
	text, err := json.Marshal(later)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// asks tells whether a request of this tenant is taken. It has a connection of its own, as one may bring only a few that
// are not.
func asks(w *testutil.Environment, tenant string) bool {
	w.T.Helper()
	s := w.Stub()
	defer s.Conn.Close()
	now := time.Now()
	s.Send(`{"jsonrpc":"2.0","id":1,"method":"trace","params":{"rid":"r%d","t0":%d,"peer":1,"acct":%q,"mem":1,"prio":0.5,"doc":""}}`,
		now.UnixNano(), now.UnixMilli(), tenant)
	r, closed := s.Read()
	if closed || r.Code() != 0 && r.Code() != -32602 {
		w.T.Fatalf("%s: %+v, closed %v", tenant, r, closed)
	}
	return r.Code() == 0
}

// residentMB is a process's memory as the system counts it: now, or the most so far.
func residentMB(t *testing.T, pid int, field string) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb / 1024
		}
	}
	t.Fatalf("no %s", field)
	return 0
}

// One tenant of 60,000 changed, one added, one removed, again and again, by whole files, beside checks that come at their
// own times: service goes on, the change is in force soon, and the memory stays. The bounds here are wide, as others may
// have the machine; THYMECHUTE_MEASURE=20 goes 20 times and holds the planned ones:
//
//	THYMECHUTE_MEASURE=20 go test -count=1 -v -run TestReloadOfOneTenantInManyGoesUnnoticed ./cmd/thymechute
func TestReloadOfOneTenantInManyGoesUnnoticed(t *testing.T) {
	rounds, start, inForce, p99, most, resident := 3, 30*time.Second, 10*time.Second, time.Second, 2*time.Second, 64.0
	if text := os.Getenv("THYMECHUTE_MEASURE"); text != "" {
		rounds, _ = strconv.Atoi(text)
		start, inForce, p99, most = 2*time.Second, 200*time.Millisecond, 6400*time.Microsecond, 20*time.Millisecond
	}
	testutil.Built(t)
	began := time.Now()
	w := testutil.Serve(t, func(given map[string]any) {
		given["limits"].(map[string]any)["memory_mb"] = 128
		given["settings"].(map[string]any)["tenants"] = tenantList(planned, -1, 0)
	})
	up := time.Since(began)
	go w.Runtime.ServeAll(1, result)
	pid := w.Program.Cmd.Process.Pid
	before := residentMB(t, pid, "VmRSS")
	calm := w.Probe(2500 * time.Microsecond)
	time.Sleep(time.Second)
	t.Logf("up in %v, %.1f MB; without a reload %+v", up, before, calm.Stop())

	probe, last, longest := w.Probe(2500*time.Microsecond), "", time.Duration(0)
	for round := range rounds {
		name := fmt.Sprint("new-", round)
		text := withTenants(t, w.Config, tenantList(planned, 30_000+round, 5, name))
		if asks(w, name) {
			t.Fatalf("%s is known before its reload", name)
		}
		w.Program.Replace(text)
		from := time.Now()
		_ = w.Program.Cmd.Process.Signal(syscall.SIGHUP)
		for !asks(w, name) {
			time.Sleep(10 * time.Millisecond) // seldom: each is a connection more, and takes its part of the core
		}
		longest = max(longest, time.Since(from))
		if last != "" && asks(w, last) {
			t.Errorf("%s was removed, and is taken", last)
		}
		last = name
	}
	waits, after, peak := probe.Stop(), residentMB(t, pid, "VmRSS"), residentMB(t, pid, "VmHWM")
	t.Logf("%d reloads: in force in %v at most, %+v, %.1f MB, %.1f at most", rounds, longest, waits, after, peak)
	if up > start || longest > inForce || waits.P99 > p99 || waits.Most > most {
		t.Errorf("up in %v, want %v; in force in %v, want %v; waits %v and %v, want %v and %v", up, start, longest, inForce, waits.P99, waits.Most, p99, most)
	}
	if os.Getenv("THYMECHUTE_BUILD") == "" && peak > resident {
		t.Errorf("%.1f MB, want %.0f", peak, resident)
	}
}

// As many tenants as may be are read again; one more is refused by name, at the start and while running, and the version
// in force is named.
func TestTenantsAreBoundedByName(t *testing.T) {
	w := testutil.Serve(t, func(given map[string]any) {
		given["settings"].(map[string]any)["tenants"] = tenantList(1001, -1, 0) // more than once could be read again
	})
	w.Program.Reload(withTenants(t, w.Config, tenantList(1001, 1000, 5)), `"settings": true, "version": 2`)
	w.Program.Reload(withTenants(t, w.Config, tenantList(settings.MaxTenants+1, -1, 0)), "configuration not taken")
	for _, words := range []string{`settings.tenants: found more than 100000, expected at most 100000`, `"version in force": 2`} {
		if !strings.Contains(w.Program.Log(), words) {
			t.Errorf("the log does not say %s:\n%s", words, w.Program.Log())
		}
	}
	go w.Runtime.ServeAll(1, result)
	if !asks(w, "tenant-001000") || asks(w, "tenant-001001") {
		t.Error("half of a refused file is in force")
	}
	other := testutil.NewEnvironment(t, func(given map[string]any) {
		given["settings"].(map[string]any)["tenants"] = tenantList(settings.MaxTenants+1, -1, 0)
	})
	other.Program = testutil.Start(t, other.Config)
	if code := other.Program.Exit(); code != 2 || !strings.Contains(other.Program.Log(), "settings.tenants: found more than 100000") {
		t.Errorf("ended with %d: %s", code, other.Program.Log())
	}
}

// A tenant that was removed is refused, what it has in hand is answered, and it may come back.
func TestRemovedTenantEndsItsWork(t *testing.T) {
	w := testutil.Serve(t, nil)
	here, err := json.Marshal(w.Config)
	if err != nil {
		t.Fatal(err)
	}
	s := w.Stub()
	s.Ask(1, "trace", "aa01", body, "")
	w.Runtime.ExpectCommand("start")
	w.Program.Reload(withTenants(t, w.Config, json.RawMessage(`[{"name":"other"}]`)), `"tenants set": 1, "tenants removed": 1`)
	s.Ask(2, "trace", "aa02", body, "")
	s.Wants(2, -32602, "")
	w.Runtime.End(1, "aa01", "good", "one")
	s.Wants(1, 0, "one")
	w.Program.Reload(here, `"version": 3`)
	s.Ask(3, "trace", "aa03", body, "")
	w.Runtime.ExpectCommand("start")
	w.Runtime.End(2, "aa03", "good", "three")
	s.Wants(3, 0, "three")
}
