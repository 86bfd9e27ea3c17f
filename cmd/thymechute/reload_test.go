package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy/settings"
)

func TestReloadSwitchesAddressesWithWorkInFlight(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	stub := env.Connect()
	stub.SendRequest(1, "excursion", "aa01", body, `,"token":"5c0f"`)
	env.Runtime.ExpectCommand("start")
	good, _ := json.Marshal(env.Config)
	env.Program.Reload(good[:len(good)/2], "configuration rejected")
	env.Program.Reload([]byte(strings.Replace(string(good), env.Runtime.Address, "nowhere", 1)), `runtime: found \"nowhere\"`)
	old := env.Runtime
	oldIndex := env.Index
	env.Runtime = testutil.NewFakeRuntime(t)
	env.Index = testutil.NewFakeIndex(t)
	env.Config["runtime"], env.Config["index"], env.Config["listen"] = env.Runtime.Address, env.Index.Address, testutil.FreeAddress(t)
	again, _ := json.Marshal(env.Config)
	env.Program.Reload(again, `"restart_keys": ["listen"]`)
	env.Runtime.AcceptSync(0, "new", 50)
	if task, _ := env.Runtime.ExpectCommand("start"); task != "aa01" { // started again, as its start may have been lost
		t.Errorf("task %s was started, want aa01", task)
	}
	old.Shutdown()
	oldIndex.Shutdown()
	env.Runtime.SendCall(1, "aa01", "call")
	env.Index.Accept()
	env.Index.ExpectCall()
	env.Index.Send("aa01 HIT 1\r\nx\r\n")
	env.Runtime.ExpectCommand("give")
	env.Runtime.SendEnd(2, "aa01", "good", result)
	stub.ExpectResponse(1, 0, result)
	stub.SendRequest(2, "excursion", "aa02", body, `,"token":"5c0f","again":1`)
	stub.ExpectResponse(2, 0, result)
}

// plannedTenants is the number of tenants that the instance is designed for.
const plannedTenants = 60_000

// tenantList returns the JSON of count tenants with a quota of 1000, followed by those in extraNames. The tenant at the index
// changed has the given quota instead.
func tenantList(count, changed, quota int, extraNames ...string) json.RawMessage {
	list := []byte("[")
	for n := range count {
		tenantQuota := 1000
		if n == changed {
			tenantQuota = quota
		}
		list = fmt.Appendf(list, `{"name":"tenant-%06d","quota_per_s":%d},`, n, tenantQuota)
	}
	for _, name := range extraNames {
		list = fmt.Appendf(list, `{"name":%q,"quota_per_s":1000},`, name)
	}
	return append(list[:len(list)-1], ']')
}

// withTenants returns the configuration, as JSON, with the given tenants.
func withTenants(t *testing.T, config map[string]any, tenants json.RawMessage) []byte {
	t.Helper()
	later := map[string]any{}
	for key, value := range config {
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

// isAdmitted reports whether a request of the tenant is admitted. It opens a new connection each time, as the program closes a
// connection after a few invalid requests.
func isAdmitted(env *testutil.Environment, tenant string) bool {
	env.T.Helper()
	stub := env.Connect()
	defer stub.Conn.Close()
	now := time.Now()
	stub.SendLine(`{"jsonrpc":"2.0","id":1,"method":"trace","params":{"rid":"r%d","t0":%d,"peer":1,"acct":%q,"mem":1,"prio":0.5,"doc":""}}`,
		now.UnixNano(), now.UnixMilli(), tenant)
	r, closed := stub.Receive()
	if closed || r.Code() != 0 && r.Code() != -32602 {
		env.T.Fatalf("request of tenant %s: got %+v, closed %v", tenant, r, closed)
	}
	return r.Code() == 0
}

// residentMB returns a field of /proc/PID/status in MB. VmRSS is the resident memory of the process, VmHWM its maximum.
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
	t.Fatalf("no field %s in the status of the process", field)
	return 0
}

// reloadLimits are the upper limits of what TestReloadOfOneTenantKeepsLatency measures.
type reloadLimits struct {
	startup time.Duration // from the start of the program until the runtime link is established
	apply   time.Duration // from SIGHUP until a new tenant is admitted
	p99     time.Duration // 99th percentile of the latency of health checks
	latency time.Duration // maximum latency of health checks
}

// Each reload of a file with 60,000 tenants changes, adds and removes one tenant, while health checks are sent at fixed
// intervals. Latency stays low, the change takes effect soon, and memory stays within its bound. The bounds on time are wide, as
// the machine may be busy. THYMECHUTE_MEASURE=20 reloads 20 times and checks the bounds of the design:
//
//	THYMECHUTE_MEASURE=20 go test -count=1 -v -run TestReloadOfOneTenantKeepsLatency ./cmd/thymechute
func TestReloadOfOneTenantKeepsLatency(t *testing.T) {
	const maxResidentMB = 64.0
	rounds := 3
	limits := reloadLimits{startup: 30 * time.Second, apply: 10 * time.Second, p99: time.Second, latency: 2 * time.Second}
	if text := os.Getenv("THYMECHUTE_MEASURE"); text != "" {
		rounds, _ = strconv.Atoi(text)
		limits = reloadLimits{
			startup: 2 * time.Second,
			apply:   200 * time.Millisecond,
			p99:     6400 * time.Microsecond,
			latency: 20 * time.Millisecond,
		}
	}
	testutil.BuildProgram(t)
	start := time.Now()
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		config["limits"].(map[string]any)["memory_mb"] = 128
		config["settings"].(map[string]any)["tenants"] = tenantList(plannedTenants, -1, 0)
	})
	startup := time.Since(start)
	go env.Runtime.ServeAll(1, result)
	pid := env.Program.Cmd.Process.Pid
	before := residentMB(t, pid, "VmRSS")
	baseline := env.StartHealthChecks(2500 * time.Microsecond)
	time.Sleep(time.Second)
	t.Logf("startup %v, %.1f MB; latencies without a reload %+v", startup, before, baseline.Stop())

	checks := env.StartHealthChecks(2500 * time.Microsecond)
	previous := ""
	slowestReload := time.Duration(0)
	for round := range rounds {
		name := fmt.Sprint("new-", round)
		text := withTenants(t, env.Config, tenantList(plannedTenants, 30_000+round, 5, name))
		if isAdmitted(env, name) {
			t.Fatalf("%s is admitted before its reload", name)
		}
		env.Program.WriteConfig(text)
		signalled := time.Now()
		env.Program.SignalReload()
		for !isAdmitted(env, name) {
			time.Sleep(10 * time.Millisecond) // not more often, as each check opens a connection and takes CPU time
		}
		slowestReload = max(slowestReload, time.Since(signalled))
		if previous != "" && isAdmitted(env, previous) {
			t.Errorf("%s is admitted after its removal", previous)
		}
		previous = name
	}
	latencies := checks.Stop()
	after := residentMB(t, pid, "VmRSS")
	peak := residentMB(t, pid, "VmHWM")
	t.Logf("%d reloads: applied within %v, latencies %+v, %.1f MB, maximum %.1f MB", rounds, slowestReload, latencies, after, peak)
	if startup > limits.startup || slowestReload > limits.apply || latencies.P99 > limits.p99 || latencies.Max > limits.latency {
		t.Errorf("startup %v, reload applied within %v, latency p99 %v, maximum %v; want at most %+v",
			startup, slowestReload, latencies.P99, latencies.Max, limits)
	}
	if os.Getenv("THYMECHUTE_BUILD") == "" && peak > maxResidentMB {
		t.Errorf("maximum resident memory: %.1f MB, want at most %.0f MB", peak, maxResidentMB)
	}
}

// A file with more tenants than the limit is rejected at startup and on a reload. The error has the key and the limit, and on a
// reload the log has the version that stays in effect.
func TestTenantLimitIsReported(t *testing.T) {
	env := testutil.StartEnvironment(t, func(config map[string]any) {
		config["settings"].(map[string]any)["tenants"] = tenantList(1001, -1, 0) // more than an earlier version could reload
	})
	env.Program.Reload(withTenants(t, env.Config, tenantList(1001, 1000, 5)), `"settings_changed": true, "version": 2`)
	env.Program.Reload(withTenants(t, env.Config, tenantList(settings.MaxTenants+1, -1, 0)), "configuration rejected")
	for _, words := range []string{`settings.tenants: found more than 100000 entries, expected at most 100000`, `"current_version": 2`} {
		if !strings.Contains(env.Program.Log(), words) {
			t.Errorf("the log does not contain %s:\n%s", words, env.Program.Log())
		}
	}
	go env.Runtime.ServeAll(1, result)
	if !isAdmitted(env, "tenant-001000") || isAdmitted(env, "tenant-001001") {
		t.Error("the tenants in effect are not those of the last valid file")
	}
	other := testutil.NewEnvironment(t, func(config map[string]any) {
		config["settings"].(map[string]any)["tenants"] = tenantList(settings.MaxTenants+1, -1, 0)
	})
	other.Program = testutil.StartProgram(t, other.Config)
	if code := other.Program.AwaitExit(); code != 2 || !strings.Contains(other.Program.Log(), "settings.tenants: found more than 100000 entries") {
		t.Errorf("exit code %d, want 2 and an error for settings.tenants: %s", code, other.Program.Log())
	}
}

// Requests of a removed tenant are rejected, those in flight are answered, and the tenant can be added again.
func TestRemovedTenantCompletesWorkInFlight(t *testing.T) {
	env := testutil.StartEnvironment(t, nil)
	original, err := json.Marshal(env.Config)
	if err != nil {
		t.Fatal(err)
	}
	stub := env.Connect()
	stub.SendRequest(1, "trace", "aa01", body, "")
	env.Runtime.ExpectCommand("start")
	env.Program.Reload(withTenants(t, env.Config, json.RawMessage(`[{"name":"other"}]`)), `"tenants_set": 1, "tenants_removed": 1`)
	stub.SendRequest(2, "trace", "aa02", body, "")
	stub.ExpectResponse(2, -32602, "")
	env.Runtime.SendEnd(1, "aa01", "good", "one")
	stub.ExpectResponse(1, 0, "one")
	env.Program.Reload(original, `"version": 3`)
	stub.SendRequest(3, "trace", "aa03", body, "")
	env.Runtime.ExpectCommand("start")
	env.Runtime.SendEnd(2, "aa03", "good", "three")
	stub.ExpectResponse(3, 0, "three")
}
