package instance

import (
	"context"
	"strings"
	"testing"
	"time"

	"thymechute/internal/fake/stub"
	"thymechute/internal/lab/scale"
	"thymechute/internal/testutil"
)

func run(t *testing.T, s sizes) *scale.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	result, err := part{s}.Run(ctx, scale.Options{Seed: 1, Folder: t.TempDir(), Program: testutil.BuildProgram(t), Progress: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func small() sizes {
	return sizes{tenants: []int{10, 20, 40, 80}, loaded: []int{10, 20, 40, 80}, routes: []int{4, 8, 16, 32}, connections: []int{15, 30, 60, 120},
		reporters: []int{5, 10, 20, 40}, rates: []float64{200}, single: 250 * time.Millisecond,
		reporting: 400 * time.Millisecond, quiet: 200 * time.Millisecond, reloads: 7, reloading: 600 * time.Millisecond}
}

// The measurement at a small size: every figure is there, with its fit, and what the program claims at that size holds. Times
// are not judged here: the machine may be busy.
func TestSmallRunHasEveryFigure(t *testing.T) {
	result := run(t, small())
	if len(result.Faults) > 0 {
		t.Errorf("does not hold: %s", strings.Join(result.Faults, "; "))
	}
	have := map[string]scale.Series{}
	for _, s := range result.Series {
		have[s.Name+" by "+s.Of] = s
	}
	for _, f := range rowFigures {
		for _, of := range []string{"tenants", "routes"} {
			if f.name == "reload_in_force_ms_worst" && of == "routes" {
				continue // what changes with a route no probe shows
			}
			if s, ok := have[f.name+" by "+of]; !ok || len(s.Points) != 4 || s.Bound != f.bound {
				t.Errorf("%s by %s: %+v", f.name, of, s)
			}
		}
	}
	for _, name := range []string{"added_ms_p50_at_200_s by tenants", "added_ms_p99_at_200_s by tenants", "added_ms_p99.9_at_200_s by tenants",
		"added_ms_p99_at_200_s_a_reload_each_second by tenants", "resident_kb_idle_connections by connections", "descriptors by connections",
		"reports_s by members", "report_bytes_s by members", "list_bytes by members"} {
		if s := have[name]; len(s.Points) != 4 {
			t.Errorf("%s: %+v", name, s)
		}
	}
	if slope := have["descriptors by connections"].Fit.Slope; slope < 0.99 || slope > 1.01 {
		t.Errorf("%.3f descriptors a connection", slope)
	}
	if bytes := result.Single["report_bytes"]; bytes != float64(len("alive n1 passing")) {
		t.Errorf("%.2f bytes a report", bytes)
	}
	for name, least := range map[string]float64{"resident_mb_start": 1, "reload_in_force_ms_worst": 0.1, "added_ms_p50_at_200_s": 0.01} {
		for _, p := range have[name+" by tenants"].Points {
			if p.Value < least {
				t.Errorf("%s at %.0f: %g", name, p.Size, p.Value)
			}
		}
	}
}

// A program that serves but never heeds the signal is reported as silent, within the bound, and its row ends.
func TestReloadsAreWaitedForWithinABound(t *testing.T) {
	r, _, err := startRig(t.Context(), testutil.BuildProgram(t), t.TempDir(), deployment{tenants: 2, classes: 1, sockets: sockets})
	if err != nil {
		t.Fatal(err)
	}
	defer r.end()
	if line, ok := r.await(t.Context(), r.logged(), 50*time.Millisecond, wordsTaken); ok {
		t.Errorf("found %q, expected nothing", line.text)
	}
	s := &script{rig: r, row: &row{}}
	for _, one := range []struct {
		reload
		fault string
	}{{reload{outcome: silent}, "no word"}, {reload{outcome: refused}, "refused"}, {reload{outcome: taken}, ""},
		{reload{outcome: taken, sent: time.Unix(0, 0), over: time.Unix(6, 0)}, "took 6000 ms"}} {
		s.row.fault = ""
		if s.took(one.reload); !strings.Contains(s.row.fault, one.fault) || s.row.whole() != (one.fault == "") {
			t.Errorf("%+v: fault %q", one.reload, s.row.fault)
		}
	}
}

// The probe tells a limit that acts from one that does not, both ways, and a refused file leaves what acts.
func TestProbeSeesTheLimitAct(t *testing.T) {
	d := deployment{tenants: 5, classes: 1, sockets: sockets, limited: true}
	r, _, err := startRig(t.Context(), testutil.BuildProgram(t), t.TempDir(), d)
	if err != nil {
		t.Fatal(err)
	}
	defer r.end()
	p := r.newProbe()
	defer p.close()
	for _, limited := range []bool{true, false, true} {
		changed := r.deployment
		changed.limited = limited
		text, err := changed.text()
		if err != nil {
			t.Fatal(err)
		}
		if one, err := r.put(t.Context(), text); err != nil || one.outcome != taken {
			t.Fatalf("%+v, %v", one, err)
		}
		if _, err := p.until(t.Context(), limited, reloadLimit); err != nil {
			t.Fatal(err)
		}
		if acts, err := p.acts(); err != nil || acts != limited {
			t.Errorf("limited %v: the probe says %v, %v", limited, acts, err)
		}
	}
	if one, err := r.put(t.Context(), []byte(`{"name":`)); err != nil || one.outcome != refused {
		t.Errorf("a faulty file: %+v, %v", one, err)
	}
	if acts, err := p.acts(); err != nil || !acts {
		t.Errorf("after a faulty file the limit acts: %v, %v", acts, err)
	}
}

// A program that refuses its configuration is a row with that fault and no figures; the run goes on.
func TestProgramThatDoesNotStartIsAFault(t *testing.T) {
	m := &measuring{ctx: t.Context(), sizes: small(), result: &scale.Result{},
		options: scale.Options{Folder: t.TempDir(), Program: testutil.BuildProgram(t)}}
	r, err := m.measureRow(deployment{tenants: 2, classes: 1, shorter: -1}, func(*deployment) {}, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.addRows([]*row{r}, "tenants", 1, func(r *row) int { return r.tenants }); err != nil {
		t.Fatal(err)
	}
	if len(m.result.Faults) != 1 || !strings.Contains(m.result.Faults[0], "did not start") || !strings.Contains(m.result.Faults[0], "aim_s") {
		t.Errorf("%q", m.result.Faults)
	}
	if len(m.result.Single)+len(m.result.Series) > 0 {
		t.Errorf("figures of a program that did not start: %v %v", m.result.Single, m.result.Series)
	}
}

func TestNoProgramIsAnError(t *testing.T) {
	if _, err := New().Run(t.Context(), scale.Options{}); err == nil || !strings.Contains(err.Error(), "program") {
		t.Errorf("%v", err)
	}
}

// Rows that a reload ended early give what they have: a fault each, the longest wait where it was not cut off, and no figure
// that was not had.
func TestRowsEndedEarly(t *testing.T) {
	m := &measuring{sizes: small(), result: &scale.Result{}}
	var rows []*row
	for n, fault := range []string{"", "", "a reload was refused", "a reload was refused", "no word"} {
		r := &row{tenants: 1000 * (n + 1), start: 1, fault: fault, waits: stub.NewDistribution()}
		if r.first.outcome = refused; fault == "no word" {
			r.first.outcome = silent
		}
		r.waits.Add(time.Duration(n+1) * time.Second)
		if r.whole() {
			r.logged, r.inForce, r.oddWaits = []float64{5, 7}, []float64{6, 9}, stub.NewDistribution()
		}
		rows = append(rows, r)
	}
	if err := m.addRows(rows, "tenants", scale.TargetTenants, func(r *row) int { return r.tenants }); err != nil {
		t.Fatal(err)
	}
	if len(m.result.Faults) != 3 || !strings.Contains(m.result.Faults[0], "3000 tenants, 0 routes: a reload was refused; the longest wait 3") ||
		!strings.Contains(m.result.Faults[2], "5000 tenants, 0 routes: no word; the longest wait at least 5") {
		t.Errorf("%q", m.result.Faults)
	}
	if len(m.result.NotRun) != 1 || !strings.Contains(m.result.NotRun[0], "reload_in_force_ms_worst") ||
		!strings.Contains(m.result.NotRun[0], "4000 (a reload was refused), 5000 (no word)") {
		t.Errorf("not run: %q", m.result.NotRun)
	}
	for _, s := range m.result.Series {
		if s.Name == "reload_in_force_ms_worst" || s.Name == "reload_wait_longest_ms" && len(s.Points) != 4 {
			t.Errorf("%+v", s)
		}
	}
	if worst := m.result.Single["reload_in_force_ms_worst_at_2000_tenants"]; worst != 9 {
		t.Errorf("in force at 2000: %g", worst)
	}
	if _, ok := m.result.Single["reload_in_force_ms_worst_at_3000_tenants"]; ok {
		t.Error("a reload that was refused counts as in force")
	}
}
