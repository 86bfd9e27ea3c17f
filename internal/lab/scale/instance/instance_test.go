package instance

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
	"thymechute/internal/testutil"
)

func runWorkload(t *testing.T, w workload) *scale.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	result, err := part{w}.Run(ctx, scale.Options{Seed: 1, Folder: t.TempDir(), Program: testutil.BuildProgram(t),
		Progress: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func smallWorkload() workload {
	return workload{tenants: []int{10, 20, 40, 80}, loadedTenants: []int{10, 20, 40, 80}, routes: []int{4, 8, 16, 32},
		connections: []int{15, 30, 60, 120}, reporters: []int{5, 10, 20, 40}, rates: []float64{200}, singleReloadLoad: 250 * time.Millisecond,
		reportingTime: 400 * time.Millisecond, quietLoad: 200 * time.Millisecond, reloadCount: 7, reloadingLoad: 600 * time.Millisecond}
}

// With a small workload every figure is measured and fitted, and all claims hold. Upper limits of times are not checked, since the
// machine may be busy.
func TestSmallWorkloadHasEveryFigure(t *testing.T) {
	result := runWorkload(t, smallWorkload())
	if len(result.Faults) > 0 {
		t.Errorf("claims that do not hold: %s", strings.Join(result.Faults, "; "))
	}
	seriesByName := map[string]scale.Series{}
	for _, s := range result.Series {
		seriesByName[s.Name+" by "+s.SizeUnit] = s
	}
	for _, f := range trialFigures {
		for _, unit := range []string{"tenants", "routes"} {
			if f.name == "reload_in_force_ms_worst" && unit == "routes" {
				continue // no probe detects a change of a route
			}
			if s, ok := seriesByName[f.name+" by "+unit]; !ok || len(s.Points) != 4 || s.Bound != f.bound {
				t.Errorf("%s by %s: found %+v, expected 4 points and the bound %v", f.name, unit, s, f.bound)
			}
		}
	}
	for _, name := range []string{"added_ms_p50_at_200_s by tenants", "added_ms_p99_at_200_s by tenants", "added_ms_p99.9_at_200_s by tenants",
		"added_ms_p99_at_200_s_a_reload_each_second by tenants", "resident_kb_idle_connections by connections", "descriptors by connections",
		"reports_s by members", "report_bytes_s by members", "list_bytes by members"} {
		if s := seriesByName[name]; len(s.Points) != 4 {
			t.Errorf("%s: found %+v, expected 4 points", name, s)
		}
	}
	if slope := seriesByName["descriptors by connections"].Fit.Slope; slope < 0.99 || slope > 1.01 {
		t.Errorf("found %.3f descriptors per connection, expected 1 within 1%%", slope)
	}
	if bytes := result.Figures["report_bytes"]; bytes != float64(len("alive n1 passing")) {
		t.Errorf("found %.2f bytes per report, expected those of \"alive n1 passing\"", bytes)
	}
	for name, least := range map[string]float64{"resident_mb_start": 1, "reload_in_force_ms_worst": 0.1, "added_ms_p50_at_200_s": 0.01} {
		for _, p := range seriesByName[name+" by tenants"].Points {
			if p.Value < least {
				t.Errorf("%s at %.0f tenants: found %g, expected at least %g", name, p.Size, p.Value, least)
			}
		}
	}
}

// Waiting for the log line of a reload ends at the timeout, and a failed reload ends the trial.
func TestFailedReloadEndsTrial(t *testing.T) {
	r, _, err := newRig(t.Context(), testutil.BuildProgram(t), t.TempDir(), deploymentPlan{tenants: 2, classes: 1, sockets: maxSockets})
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	if line, ok := r.awaitLine(t.Context(), r.lineCount(), 50*time.Millisecond, appliedMessage); ok {
		t.Errorf("found log line %q, expected none before the timeout", line.text)
	}
	s := &trialScript{rig: r, trial: &trial{}}
	for _, c := range []struct {
		reload
		fault string
	}{{reload{outcome: unanswered}, "not logged within"}, {reload{outcome: rejected}, "rejected after"}, {reload{outcome: applied}, ""},
		{reload{outcome: applied, sent: time.Unix(0, 0), completed: time.Unix(6, 0)}, "took 6000 ms"}} {
		s.trial.failure = ""
		if s.recordReload(c.reload); !strings.Contains(s.trial.failure, c.fault) || s.trial.hasCompleted() != (c.fault == "") {
			t.Errorf("%+v: found failure %q, expected %q", c.reload, s.trial.failure, c.fault)
		}
	}
}

// The probe detects whether the limit is in force, and a rejected configuration file has no effect.
func TestProbeDetectsLimit(t *testing.T) {
	d := deploymentPlan{tenants: 5, classes: 1, sockets: maxSockets, lastTenantLimited: true}
	r, _, err := newRig(t.Context(), testutil.BuildProgram(t), t.TempDir(), d)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	p := r.newProbe()
	defer p.close()
	for _, limited := range []bool{true, false, true} {
		changed := r.deploymentPlan
		changed.lastTenantLimited = limited
		text, err := changed.encode()
		if err != nil {
			t.Fatal(err)
		}
		if reloaded, err := r.replaceFile(t.Context(), text); err != nil || reloaded.outcome != applied {
			t.Fatalf("limited %v: found reload %+v, %v, expected it to be applied", limited, reloaded, err)
		}
		if _, err := p.waitUntil(t.Context(), limitState(limited), reloadTimeout); err != nil {
			t.Fatal(err)
		}
		if isLimited, err := p.isLimited(); err != nil || isLimited != limited {
			t.Errorf("limited %v: the probe found %v, %v", limited, isLimited, err)
		}
	}
	if reloaded, err := r.replaceFile(t.Context(), []byte(`{"name":`)); err != nil || reloaded.outcome != rejected {
		t.Errorf("malformed file: found reload %+v, %v, expected it to be rejected", reloaded, err)
	}
	if isLimited, err := p.isLimited(); err != nil || !isLimited {
		t.Errorf("after a malformed file: the probe found %v, %v, expected the limit to remain in force", isLimited, err)
	}
}

// A program that does not start because it rejects its configuration yields a failed trial without figures, but no error.
func TestProgramThatDoesNotStartIsAFault(t *testing.T) {
	m := &measurement{ctx: t.Context(), workload: smallWorkload(), result: &scale.Result{},
		options: scale.Options{Folder: t.TempDir(), Program: testutil.BuildProgram(t)}}
	r, err := m.runTrial(deploymentPlan{tenants: 2, classes: 1, shorterObjective: -1}, func(*deploymentPlan) {}, withLoads)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.addTrials([]*trial{r}, "tenants", 1, func(r *trial) int { return r.tenants }); err != nil {
		t.Fatal(err)
	}
	if len(m.result.Faults) != 1 || !strings.Contains(m.result.Faults[0], "did not start") || !strings.Contains(m.result.Faults[0], "aim_s") {
		t.Errorf("found faults %q, expected one that the program did not start because of aim_s", m.result.Faults)
	}
	if len(m.result.Figures)+len(m.result.Series) > 0 {
		t.Errorf("program that did not start: found figures %v and series %v, expected none", m.result.Figures, m.result.Series)
	}
}

func TestNoProgramIsAnError(t *testing.T) {
	if _, err := New().Run(t.Context(), scale.Options{}); err == nil || !strings.Contains(err.Error(), "program") {
		t.Errorf("found error %v, expected one about the missing program", err)
	}
}

// Each incomplete trial adds a fault and the figures that it measured, but no others. Its maximum latency counts unless the end of the
// observation truncated it.
func TestIncompleteTrials(t *testing.T) {
	m := &measurement{workload: smallWorkload(), result: &scale.Result{}}
	var trials []*trial
	for n, fault := range []string{"", "", "reload rejected", "reload rejected", "not logged"} {
		r := &trial{tenants: 1000 * (n + 1), startMillis: 1, failure: fault, reloadLatency: stub.NewDistribution()}
		if r.firstReload.outcome = rejected; fault == "not logged" {
			r.firstReload.outcome = unanswered
		}
		r.reloadLatency.Add(time.Duration(n+1) * time.Second)
		if r.hasCompleted() {
			r.loggedMillis, r.effectiveMillis, r.abnormalLatency = []float64{5, 7}, []float64{6, 9}, stub.NewDistribution()
		}
		trials = append(trials, r)
	}
	if err := m.addTrials(trials, "tenants", scale.TargetTenants, func(r *trial) int { return r.tenants }); err != nil {
		t.Fatal(err)
	}
	if len(m.result.Faults) != 3 || !strings.Contains(m.result.Faults[0], "3000 tenants, 0 routes: reload rejected; maximum latency 3") ||
		!strings.Contains(m.result.Faults[2], "5000 tenants, 0 routes: not logged; maximum latency at least 5") {
		t.Errorf("found faults %q, expected one for each of the sizes 3000, 4000 and 5000", m.result.Faults)
	}
	if len(m.result.NotRun) != 1 || !strings.Contains(m.result.NotRun[0], "reload_in_force_ms_worst") ||
		!strings.Contains(m.result.NotRun[0], "4000 (reload rejected), 5000 (not logged)") {
		t.Errorf("found NotRun %q, expected reload_in_force_ms_worst with the failures at 4000 and 5000", m.result.NotRun)
	}
	for _, s := range m.result.Series {
		isUnexpected := s.Name == "reload_in_force_ms_worst"
		isIncomplete := s.Name == "reload_wait_longest_ms" && len(s.Points) != 4
		if isUnexpected || isIncomplete {
			t.Errorf("found series %+v, expected none for reload_in_force_ms_worst and 4 points for reload_wait_longest_ms", s)
		}
	}
	if worst := m.result.Figures["reload_in_force_ms_worst_at_2000_tenants"]; worst != 9 {
		t.Errorf("reload_in_force_ms_worst at 2000 tenants: found %g, expected 9", worst)
	}
	if _, ok := m.result.Figures["reload_in_force_ms_worst_at_3000_tenants"]; ok {
		t.Error("found reload_in_force_ms_worst at 3000 tenants, whose reload was rejected, expected none")
	}
}

// The configuration file is encoded byte for byte as by revision d489d24.
func TestRecordedConfiguration(t *testing.T) {
	recorded, err := os.ReadFile("testdata/deployment-d489d24.json")
	if err != nil {
		t.Fatal(err)
	}
	d := deploymentPlan{tenants: 3, classes: 2, sockets: maxSockets, lastTenantLimited: true, shorterObjective: 1,
		listen: "127.0.0.1:1", runtime: "127.0.0.1:2", catalog: "127.0.0.1:3"}
	if text, err := d.encode(); err != nil || !bytes.Equal(text, recorded) {
		t.Errorf("encoded as %s, %v, recorded %s", text, err, recorded)
	}
}
