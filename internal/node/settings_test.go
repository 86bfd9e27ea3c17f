package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// settingsWithClasses returns settings with these classes, given as alternating names and idempotencies. Their weights are 1,
// 2 and so on.
func settingsWithClasses(classes ...string) settings.Settings {
	return testutil.TypedSettings(func(s *settings.Settings) {
		s.Classes = nil
		for n := 0; n < len(classes); n += 2 {
			s.Classes = append(s.Classes, settings.Class{
				Name:             classes[n],
				Idempotency:      settings.Idempotency(classes[n+1]),
				Weight:           settings.NumberOf(float64(n/2 + 1)),
				LatencyObjective: settings.NumberOf(20),
				CallerTimeout:    settings.NumberOf(30),
				KeyWindow:        settings.NumberOf(10),
			})
		}
		s.Tenants = []settings.Tenant{{Name: "acme", Quota: settings.NumberOf(5)}}
	})
}

// newReadyInstanceWith returns an instance of these settings with a ready runtime.
func newReadyInstanceWith(s settings.Settings) (*Instance, *recorder) {
	rec := &recorder{}
	n := New(s, 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(rec, rec, discardReporter{}, recordingFront{rec})
	n.RuntimeReady(RuntimeState{RequestedAt: time.Now()})
	n.Tick()
	return n, rec
}

func TestDeltaRetainsIndicesAndCanBeReverted(t *testing.T) {
	before := settingsWithClasses("trace", "repeatable", "excursion", "by_key")
	after := settingsWithClasses("issue", "by_key", "excursion", "by_key", "lookup", "repeatable")
	n, rec := newReadyInstanceWith(before)
	n.admitRequest(rec, "a", "trace", "", 0)
	trace, _ := n.classes.findActive("trace")
	excursion, _ := n.classes.findActive("excursion")
	n.applySettings(t, before, after)
	if n.HasClass("trace") || !n.HasClass("issue") || !n.HasClass("lookup") || n.SettingsVersion() != firstSettingsVersion+1 {
		t.Errorf("classes in force: %v, want those of the next version", n.classes.active)
	}
	if index, _ := n.classes.findActive("excursion"); index != excursion || n.classes.at(index).Weight != settings.NumberOf(2) {
		t.Errorf("excursion has index %d, want %d: %+v", index, excursion, n.classes.at(index))
	}
	if issue, _ := n.classes.findActive("issue"); issue == trace || n.idempotencyOf(issue) != settings.Idempotent || n.idempotencyOf(trace) != settings.Safe {
		t.Error("a removed class that a request refers to lost its index or its idempotency")
	}
	n.applySettings(t, after, before)
	if index, ok := n.classes.findActive("trace"); !ok || index != trace || n.classes.at(index).Weight != settings.NumberOf(1) || n.HasClass("issue") {
		t.Errorf("trace has index %d, want %d, or the former settings are not in force", index, trace)
	}
	n.RunEnded("a", RunResult{Outcome: policy.OK})
	n.Tick()
	rec.expect(t, 1, "answer a 0")
	delta, err := settings.Compare(n.SettingsVersion(), before, settingsWithClasses("excursion", "repeatable"), func() {})
	var changed *settings.IdempotencyChangedError
	if !errors.As(err, &changed) {
		t.Errorf("Compare: got %v, want an IdempotencyChangedError", err)
	}
	if err := n.Apply(delta); !errors.As(err, &changed) || changed.Class != "excursion" || !n.HasClass("trace") {
		t.Errorf("Apply: got %v, want an IdempotencyChangedError of excursion and unchanged settings", err)
	}
}

// The idempotency of a removed class cannot be changed while a request or key refers to it.
func TestRemovedClassCanChangeIdempotencyOnceUnreferenced(t *testing.T) {
	before := settingsWithClasses("trace", "repeatable", "seal", "by_key")
	without := settingsWithClasses("trace", "repeatable")
	n, rec := newReadyInstanceWith(before)
	n.admitRequest(rec, "a", "seal", "k", 0)
	n.applySettings(t, before, without)
	delta, err := settings.Compare(n.SettingsVersion(), without, settingsWithClasses("trace", "repeatable", "seal", "once"), func() {})
	if err != nil {
		t.Fatal(err)
	}
	var changed *settings.IdempotencyChangedError
	if err := n.Apply(delta); !errors.As(err, &changed) {
		t.Errorf("with a run in flight: got %v, want an IdempotencyChangedError", err)
	}
	n.RunEnded("a", RunResult{Outcome: policy.OK})
	n.Tick()
	if err := n.Apply(delta); !errors.As(err, &changed) {
		t.Errorf("with a key in the table: got %v, want an IdempotencyChangedError", err)
	}
	n.keys.entries["seal k"].expiresAt, n.nextSweep = n.now-2*expiredKeyRetention, 0
	n.Tick()
	if err := n.Apply(delta); err != nil {
		t.Errorf("without references: %v", err)
	}
}

func TestInvalidDeltaChangesNothing(t *testing.T) {
	n, _ := newReadyInstanceWith(settingsWithClasses("trace", "repeatable"))
	maxClasses := settings.Changes[settings.Class]{}
	for i := range settings.MaxClasses {
		maxClasses.Set = append(maxClasses.Set, settings.Class{Name: fmt.Sprint("c", i)})
	}
	maxTenants := settings.Changes[settings.Tenant]{}
	for i := range settings.MaxTenants {
		maxTenants.Set = append(maxTenants.Set, settings.Tenant{Name: fmt.Sprint("t", i)})
	}
	server := settings.Server{FleetSize: settings.NumberOf(99)}
	boundedClasses := settings.Changes[settings.Class]{Set: maxClasses.Set, Removed: []string{"trace", "nobody"}}
	for name, delta := range map[string]settings.Delta{
		"version": {From: n.SettingsVersion() + 1, To: n.SettingsVersion() + 2, Server: &server, Tenants: maxTenants},
		"classes": {From: n.SettingsVersion(), To: n.SettingsVersion() + 1, Server: &server, Classes: maxClasses},
		"tenants": {From: n.SettingsVersion(), To: n.SettingsVersion() + 1, Server: &server, Classes: boundedClasses, Tenants: maxTenants},
		"idempotency": {From: n.SettingsVersion(), To: n.SettingsVersion() + 1, Server: &server,
			Tenants: settings.Changes[settings.Tenant]{Removed: []string{"acme"}},
			Classes: settings.Changes[settings.Class]{Set: []settings.Class{{Name: "new"}, {Name: "trace", Idempotency: settings.NonIdempotent}}}},
	} {
		if err := n.Apply(delta); err == nil {
			t.Errorf("%s: an invalid delta was applied", name)
		}
		if n.SettingsVersion() != firstSettingsVersion || len(n.classes.active) != 1 || len(n.tenants.active) != 1 ||
			n.serverSettings.FleetSize == server.FleetSize {
			t.Fatalf("%s: a part of an invalid delta is in force", name)
		}
	}
	maxTenants.Removed = []string{"acme"}
	if err := n.Apply(settings.Delta{From: 1, To: 2, Classes: boundedClasses, Tenants: maxTenants}); err != nil {
		t.Errorf("a delta up to the bounds: %v", err)
	}
}

// The controller, which is created when the runtime is ready, starts with the deltas that were applied before.
func TestDeltaBeforeTheRuntimeIsReady(t *testing.T) {
	before := settingsWithClasses("trace", "repeatable", "seal", "once")
	after := settingsWithClasses("seal", "once")
	after.Tenants = nil
	rec := &recorder{}
	n := New(before, 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(rec, rec, discardReporter{}, recordingFront{rec})
	n.applySettings(t, before, after)
	n.RuntimeReady(RuntimeState{RequestedAt: time.Now()})
	n.Tick()
	n.admitRequest(rec, "a", "seal", "", 0)
	rec.expect(t, 1, "start a seal x")
	if err := n.Admit(rec, "b", Request{ID: "b", Class: "trace"}); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("a class that the delta removed: got %v, want ErrUnknownClass", err)
	}
	n.applySettings(t, after, before)
	n.admitRequest(rec, "c", "trace", "", 0)
	rec.expect(t, 1, "start c trace x")
}

// A tenant that reuses an index does not inherit the empty token bucket of the previous one.
func TestReusedTenantIndexHasNewTokenBucket(t *testing.T) {
	before := testutil.TypedSettings(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Name: "a", Quota: settings.NumberOf(0.001)}, {Name: "other"}}
		s.Server.OverQuotaWeight = settings.NumberOf(0.001)
	})
	after := before
	after.Tenants = []settings.Tenant{{Name: "b", Quota: settings.NumberOf(0.001)}, {Name: "other"}}
	n, rec := newReadyInstanceWith(before)
	admit := func(id TaskID, class, tenant string) {
		t.Helper()
		if err := n.Admit(rec, MessageID(id), Request{
			ID:         id,
			Class:      class,
			Tenant:     tenant,
			MemoryKB:   1,
			ReceivedAt: time.Now(),
			Body:       []byte("x"),
		}); err != nil {
			t.Fatal(err)
		}
		n.Tick()
	}
	end := func(id TaskID) {
		n.RunEnded(id, RunResult{Outcome: policy.OK, Duration: time.Millisecond})
		n.Tick()
	}
	for i := range 10 { // more than the burst
		id := TaskID(fmt.Sprint("a", i))
		admit(id, "safe", "a")
		end(id)
	}
	freed, _ := n.tenants.findActive("a")
	n.applySettings(t, before, after)
	if reused, ok := n.tenants.findActive("b"); !ok || reused != freed {
		t.Fatalf("b has index %d, want the freed index %d", reused, freed)
	}
	if err := n.Admit(rec, "z", Request{ID: "z", Class: "safe", Tenant: "a"}); !errors.Is(err, ErrUnknownTenant) {
		t.Errorf("a removed tenant: got %v, want ErrUnknownTenant", err)
	}
	admit("x1", "safe", "other")
	admit("x2", "safe", "other") // occupy both cores
	admit("b1", "safe", "b")     // starts next, unless it is over its quota
	admit("x3", "safe", "other")
	end("x1")
	rec.expect(t, 1, "start b1")
	rec.expect(t, 0, "start x3")
}

func TestFindAllocatesNothing(t *testing.T) {
	n, _ := newReadyInstanceWith(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(60_000) }))
	name := fmt.Sprint("tenant-", 59_999)
	if got := testing.AllocsPerRun(100, func() {
		if _, ok := n.tenants.findActive(name); !ok {
			t.Error("not found")
		}
		if _, ok := n.classes.findActive("keyed"); !ok {
			t.Error("not found")
		}
	}); got != 0 {
		t.Errorf("%v allocations, want none", got)
	}
}

func tenantsOf(n int) []settings.Tenant {
	list := make([]settings.Tenant, n)
	for i := range list {
		list[i] = settings.Tenant{Name: fmt.Sprint("tenant-", i), Quota: settings.NumberOf(1000)}
	}
	return list
}

// BenchmarkApply measures a delta of one tenant changed, one added and one removed, in tables of two sizes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1000, 60_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, _ := newReadyInstanceWith(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(size) }))
			for i := 0; b.Loop(); i++ {
				delta := settings.Delta{
					From: n.SettingsVersion(),
					To:   n.SettingsVersion() + 1,
					Tenants: settings.Changes[settings.Tenant]{
						Set: []settings.Tenant{{Name: "tenant-7", Quota: settings.NumberOf(float64(i))}, {Name: []string{"x", "y"}[i%2]}}, Removed: []string{[]string{"y", "x"}[i%2]}},
				}
				if err := n.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFind measures finding a tenant by its name.
func BenchmarkFind(b *testing.B) {
	for _, size := range []int{1000, 60_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, _ := newReadyInstanceWith(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(size) }))
			names := make([]string, 1024)
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i*size/len(names))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := n.tenants.findActive(names[i%len(names)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// The runtime has no command to continue a run without its call. Settings with a weight for degraded answers, from the start
// or by a later delta, must not make the controller skip a call: that run would wait until it is abandoned.
func TestCallsAreNeverSkipped(t *testing.T) {
	degraded := func(s *settings.Settings) {
		for k := range s.Classes {
			s.Classes[k].DegradedWeight = settings.NumberOf(0.6)
		}
	}
	without := testutil.TypedSettings(nil)
	for name, start := range map[string]func() (*Instance, *recorder){
		"from the start": func() (*Instance, *recorder) { return newReadyInstance(degraded) },
		"by a later delta": func() (*Instance, *recorder) {
			n, rec := newReadyInstance(nil)
			n.applySettings(t, without, testutil.TypedSettings(degraded))
			return n, rec
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, rec := start()
			n.admitRequest(rec, "a", "safe", "", 0)
			n.CallRequested("a", []byte("below"))
			n.Tick()
			rec.expect(t, 1, "call a below")
			// With a weight for degraded answers the controller would skip the call now.
			n.CallReturned("a", CallResult{Outcome: policy.Failed, Duration: 10 * time.Millisecond})
			n.Tick()
			rec.expect(t, 2, "call a below")
			n.CallReturned("a", CallResult{Outcome: policy.OK, Duration: 10 * time.Millisecond, Reply: []byte("reply")})
			n.Tick()
			rec.expect(t, 1, "deliver a reply")
			n.RunEnded("a", RunResult{Outcome: policy.OK, Duration: 20 * time.Millisecond, Body: []byte("done")})
			n.Tick()
			rec.expect(t, 1, "answer a 0 done")
		})
	}
}
