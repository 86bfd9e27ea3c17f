package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// with is a small site of these classes, by name and kind in turn, each with its place, from 1, as its value.
func with(classes ...string) settings.Settings {
	return testutil.TypedSettings(func(s *settings.Settings) {
		s.Classes = nil
		for n := 0; n < len(classes); n += 2 {
			s.Classes = append(s.Classes, settings.Class{Name: classes[n], Idempotency: settings.Idempotency(classes[n+1]), Weight: settings.NumberOf(float64(n/2 + 1)),
				LatencyObjective: settings.NumberOf(20), CallerTimeout: settings.NumberOf(30), KeyWindow: settings.NumberOf(10)})
		}
		s.Tenants = []settings.Tenant{{Name: "acme", Quota: settings.NumberOf(5)}}
	})
}

// serving is an instance of these settings whose runtime is up.
func serving(s settings.Settings) (*Instance, *sides) {
	out := &sides{}
	n := New(s, 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(out, out, reports{}, front{out})
	n.RuntimeReady(false, 0, time.Now())
	n.Tick()
	return n, out
}

func TestLaterSettingsKeepIndicesAndTheWayBackIsTheSame(t *testing.T) {
	here := with("trace", "repeatable", "excursion", "by_key")
	there := with("issue", "by_key", "excursion", "by_key", "lookup", "repeatable")
	n, s := serving(here)
	n.ask(s, "a", "trace", "", 0)
	trace, _ := n.classes.find("trace")
	excursion, _ := n.classes.find("excursion")
	n.apply(t, here, there)
	if n.HasClass("trace") || !n.HasClass("issue") || !n.HasClass("lookup") || n.Version() != firstVersion+1 {
		t.Errorf("%v", n.classes.inForce)
	}
	if at, _ := n.classes.find("excursion"); at != excursion || n.classes.at(at).Weight != settings.NumberOf(2) {
		t.Errorf("excursion at %d, was at %d: %+v", at, excursion, n.classes.at(at))
	}
	if issue, _ := n.classes.find("issue"); issue == trace || n.kind(issue) != settings.Idempotent || n.kind(trace) != settings.Safe {
		t.Error("a class that is in hand lost its index or its kind")
	}
	n.apply(t, there, here)
	if at, ok := n.classes.find("trace"); !ok || at != trace || n.classes.at(at).Weight != settings.NumberOf(1) || n.HasClass("issue") {
		t.Errorf("trace at %d, was at %d", at, trace)
	}
	n.RunEnded("a", policy.OK, 0, nil)
	n.Tick()
	s.wants(t, 1, "answer a 0")
	d, err := settings.Compare(n.Version(), here, with("excursion", "repeatable"), func() {})
	var kind *settings.IdempotencyChangedError
	if !errors.As(err, &kind) {
		t.Errorf("a class changed its kind: %v", err)
	}
	if err := n.Apply(d); !errors.As(err, &kind) || kind.Class != "excursion" || !n.HasClass("trace") {
		t.Errorf("a class changed its kind: %v", err)
	}
}

// A class that was removed keeps its kind for as long as something of it is in hand, and no longer.
func TestARemovedClassMayComeBackAsAnotherKindOnceNothingIsInHand(t *testing.T) {
	here, without := with("trace", "repeatable", "seal", "by_key"), with("trace", "repeatable")
	n, s := serving(here)
	n.ask(s, "a", "seal", "k", 0)
	n.apply(t, here, without)
	other, err := settings.Compare(n.Version(), without, with("trace", "repeatable", "seal", "once"), func() {})
	if err != nil {
		t.Fatal(err)
	}
	var kind *settings.IdempotencyChangedError
	if err := n.Apply(other); !errors.As(err, &kind) {
		t.Errorf("with a run in hand: %v", err)
	}
	n.RunEnded("a", policy.OK, 0, nil)
	n.Tick()
	if err := n.Apply(other); !errors.As(err, &kind) {
		t.Errorf("with a key in hand: %v", err)
	}
	n.keys["seal k"].end, n.swept = n.now-2*afterEnd, 0
	n.Tick()
	if err := n.Apply(other); err != nil {
		t.Errorf("with nothing in hand: %v", err)
	}
}

func TestDeltasAreRefusedWhole(t *testing.T) {
	n, _ := serving(with("trace", "repeatable"))
	many := settings.Changes[settings.Class]{}
	for at := range settings.MaxClasses {
		many.Set = append(many.Set, settings.Class{Name: fmt.Sprint("c", at)})
	}
	long := settings.Changes[settings.Tenant]{}
	for at := range settings.MaxTenants {
		long.Set = append(long.Set, settings.Tenant{Name: fmt.Sprint("t", at)})
	}
	server := settings.Server{FleetSize: settings.NumberOf(99)}
	fits := settings.Changes[settings.Class]{Set: many.Set, Removed: []string{"trace", "nobody"}}
	for what, d := range map[string]settings.Delta{
		"version": {From: n.Version() + 1, To: n.Version() + 2, Server: &server, Tenants: long},
		"classes": {From: n.Version(), To: n.Version() + 1, Server: &server, Classes: many},
		"tenants": {From: n.Version(), To: n.Version() + 1, Server: &server, Classes: fits, Tenants: long},
		"kind": {From: n.Version(), To: n.Version() + 1, Server: &server, Tenants: settings.Changes[settings.Tenant]{Removed: []string{"acme"}},
			Classes: settings.Changes[settings.Class]{Set: []settings.Class{{Name: "new"}, {Name: "trace", Idempotency: settings.NonIdempotent}}}},
	} {
		if err := n.Apply(d); err == nil {
			t.Errorf("%s: taken", what)
		}
		if n.Version() != firstVersion || len(n.classes.inForce) != 1 || len(n.tenants.inForce) != 1 || n.server.FleetSize == server.FleetSize {
			t.Fatalf("%s: half of it is in force", what)
		}
	}
	long.Removed = []string{"acme"}
	if err := n.Apply(settings.Delta{From: 1, To: 2, Classes: fits, Tenants: long}); err != nil {
		t.Errorf("as many as may be: %v", err)
	}
}

// A delta that comes before the runtime is up holds for the module that starts with it.
func TestDeltasBeforeTheRuntimeIsUp(t *testing.T) {
	here, there := with("trace", "repeatable", "seal", "once"), with("seal", "once")
	there.Tenants = nil
	s := &sides{}
	n := New(here, 7, 3*time.Second, 192<<20, zap.NewNop())
	n.Connect(s, s, reports{}, front{s})
	n.apply(t, here, there)
	n.RuntimeReady(false, 0, time.Now())
	n.Tick()
	n.ask(s, "a", "seal", "", 0)
	s.wants(t, 1, "start a seal x")
	if err := n.Admit(s, "b", Request{ID: "b", Class: "trace"}); !errors.Is(err, ErrUnknownClass) {
		t.Errorf("%v", err)
	}
	n.apply(t, there, here)
	n.ask(s, "c", "trace", "", 0)
	s.wants(t, 1, "start c trace x")
}

// An index that goes to another tenant brings nothing along: the first one's empty bucket does not hold up the second.
func TestAFreedIndexLeavesNoBucket(t *testing.T) {
	here := testutil.TypedSettings(func(s *settings.Settings) {
		s.Tenants = []settings.Tenant{{Name: "a", Quota: settings.NumberOf(0.001)}, {Name: "other"}}
		s.Server.OverQuotaWeight = settings.NumberOf(0.001)
	})
	there := here
	there.Tenants = []settings.Tenant{{Name: "b", Quota: settings.NumberOf(0.001)}, {Name: "other"}}
	n, s := serving(here)
	of := func(rid, class, tenant string) {
		t.Helper()
		if err := n.Admit(s, rid, Request{ID: rid, Class: class, Tenant: tenant, MemoryKB: 1, ReceivedAt: time.Now(), Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
		n.Tick()
	}
	end := func(rid string) {
		n.RunEnded(rid, policy.OK, time.Millisecond, nil)
		n.Tick()
	}
	for at := range 10 { // more than may come at once
		rid := fmt.Sprint("a", at)
		of(rid, "safe", "a")
		end(rid)
	}
	was, _ := n.tenants.find("a")
	n.apply(t, here, there)
	if now, ok := n.tenants.find("b"); !ok || now != was {
		t.Fatalf("b at %d, want %d", now, was)
	}
	if err := n.Admit(s, "z", Request{ID: "z", Class: "safe", Tenant: "a"}); !errors.Is(err, ErrUnknownTenant) {
		t.Errorf("a removed tenant: %v", err)
	}
	of("x1", "safe", "other")
	of("x2", "safe", "other") // on both cores
	of("b1", "safe", "b")     // first, unless it is beyond its quota
	of("x3", "safe", "other")
	end("x1")
	s.wants(t, 1, "start b1")
	s.wants(t, 0, "start x3")
}

// machine drives an instance and a plain model of what is in force and in hand.
type machine struct {
	n       *Instance
	s       *sides
	inForce settings.Settings
	rids    map[string]request
	next    int
}

type request struct{ class, tenant, key string }

func (m *machine) draw(t *rapid.T) settings.Settings {
	return testutil.TypedSettings(func(s *settings.Settings) {
		s.Server.FleetSize = settings.NumberOf(float64(rapid.IntRange(1, 2).Draw(t, "fleet")))
		s.Server.MemoryKB = settings.NumberOf(1e6)
		s.Classes = []settings.Class{{Name: "trace", Idempotency: settings.Safe, LatencyObjective: settings.NumberOf(1e4), CallerTimeout: settings.NumberOf(1e4)}}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), rapid.ID[string]).Draw(t, "classes") {
			s.Classes = append(s.Classes, settings.Class{Name: name, Idempotency: settings.Idempotent, LatencyObjective: settings.NumberOf(1e4),
				CallerTimeout: settings.NumberOf(1e4), KeyWindow: settings.NumberOf(float64(rapid.IntRange(1, 3).Draw(t, "window")))})
		}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, "tenants") {
			s.Tenants = append(s.Tenants, settings.Tenant{Name: name, Quota: settings.NumberOf(float64(rapid.IntRange(0, 2).Draw(t, "quota")))})
		}
	})
}

func (m *machine) change(t *rapid.T) {
	later := m.draw(t)
	d, err := settings.Compare(m.n.Version(), m.inForce, later, func() {})
	if err == nil {
		err = m.n.Apply(d)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.inForce = later
}

// stale is a delta that was made before another came first.
func (m *machine) stale(t *rapid.T) {
	d, _ := settings.Compare(m.n.Version()-1, m.inForce, m.draw(t), func() {})
	if m.n.Apply(d) == nil {
		t.Fatal("taken")
	}
}

func (m *machine) ask(t *rapid.T) {
	r := request{class: rapid.SampledFrom([]string{"trace", "p", "q", "r"}).Draw(t, "class"),
		tenant: rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "tenant"), key: rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key")}
	m.next++
	rid := fmt.Sprint("i", m.next)
	err := m.n.Admit(m.s, rid, Request{ID: rid, Class: r.class, Tenant: r.tenant, Key: r.key, MemoryKB: 1, ReceivedAt: time.Now(), Body: []byte("x")})
	known := slices.ContainsFunc(m.inForce.Classes, func(c settings.Class) bool { return c.Name == r.class })
	mine := r.tenant == "" || slices.ContainsFunc(m.inForce.Tenants, func(c settings.Tenant) bool { return c.Name == r.tenant })
	if errors.Is(err, ErrUnknownClass) == known || known && errors.Is(err, ErrUnknownTenant) == mine || known && mine && err != nil {
		t.Fatalf("%+v: %v, class known %v, tenant %v", r, err, known, mine)
	}
	if err == nil {
		m.rids[rid] = r
	}
	m.n.Tick()
}

func (m *machine) end(t *rapid.T) {
	if rids := slices.Sorted(maps.Keys(m.n.byRid)); len(rids) > 0 {
		m.n.RunEnded(rapid.SampledFrom(rids).Draw(t, "rid"), policy.OK, time.Millisecond, []byte("r"))
		m.n.Tick()
	}
}

// forget lets the keys of what has ended go.
func (m *machine) forget(*rapid.T) {
	for _, r := range m.n.keys {
		r.end = m.n.now - 2*afterEnd
	}
	m.n.swept = 0
	m.n.Tick()
}

func (m *machine) check(t *rapid.T) {
	classes, tenants := map[string]int{}, map[string]int{}
	for rid := range m.n.byRid {
		classes[m.rids[rid].class]++
		if r := m.rids[rid]; r.tenant != "" {
			tenants[r.tenant]++
		}
	}
	for key := range m.n.keys {
		classes[key[:len(key)-2]]++ // "class k"
	}
	checkTable(t, m.n.classes, m.inForce.Classes, classes)
	checkTable(t, m.n.tenants, m.inForce.Tenants, tenants)
}

// checkTable holds a table against what is in force and how much of each is in hand.
func checkTable[T interface {
	comparable
	resource
}](t *rapid.T, table *table[T], inForce []T, inHand map[string]int) {
	owner := map[int32]string{}
	if len(table.inForce) != len(inForce) {
		t.Fatalf("%v in force, want %v", table.inForce, inForce)
	}
	for _, value := range inForce {
		at, ok := table.inForce[value.ResourceName()]
		if !ok || table.rows[at].value != value || table.rows[at].retired {
			t.Fatalf("%v: %+v", value, table.rows)
		}
		owner[at] = value.ResourceName()
	}
	for name, at := range table.retired {
		if owner[at] != "" || inHand[name] == 0 || table.rows[at].value.ResourceName() != name {
			t.Fatalf("%s at %d, which is %q's; %d in hand", name, at, owner[at], inHand[name])
		}
		owner[at] = name
	}
	for name, count := range inHand {
		if table.known(name) == nil {
			t.Fatalf("%s has %d in hand and no row", name, count)
		}
	}
	for at, name := range owner {
		if int(table.rows[at].uses) != inHand[name] {
			t.Fatalf("%s: %d uses, %d in hand", name, table.rows[at].uses, inHand[name])
		}
	}
	if len(owner)+len(table.free) != len(table.rows) {
		t.Fatalf("%d rows, %d in use, %d free", len(table.rows), len(owner), len(table.free))
	}
	for _, at := range table.free {
		if owner[at] != "" || table.rows[at] != (row[T]{}) {
			t.Fatalf("row %d is free and %q's: %+v", at, owner[at], table.rows[at])
		}
	}
}

// Whatever comes between, an index is of one name while anything of it is in force or in hand, and of nobody after.
func TestDeltasWithWorkInHand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{rids: map[string]request{}}
		m.inForce = m.draw(t)
		m.n, m.s = serving(m.inForce)
		t.Repeat(map[string]func(*rapid.T){"change": m.change, "stale": m.stale, "ask": m.ask, "end": m.end, "forget": m.forget, "": m.check})
		for len(m.n.byRid) > 0 {
			for _, rid := range slices.Sorted(maps.Keys(m.n.byRid)) {
				m.n.RunEnded(rid, policy.OK, time.Millisecond, nil)
			}
			m.n.Tick()
		}
		m.forget(t)
		m.check(t)
		if len(m.n.classes.retired)+len(m.n.tenants.retired) > 0 {
			t.Fatalf("left behind: %v, %v", m.n.classes.retired, m.n.tenants.retired)
		}
	})
}

func TestLookingUpANameAllocatesNothing(t *testing.T) {
	n, _ := serving(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(60_000) }))
	name := fmt.Sprint("tenant-", 59_999)
	if got := testing.AllocsPerRun(100, func() {
		if _, ok := n.tenants.find(name); !ok {
			t.Error("not found")
		}
		if _, ok := n.classes.find("keyed"); !ok {
			t.Error("not found")
		}
	}); got != 0 {
		t.Errorf("%v allocations", got)
	}
}

func tenantsOf(n int) []settings.Tenant {
	list := make([]settings.Tenant, n)
	for at := range list {
		list[at] = settings.Tenant{Name: fmt.Sprint("tenant-", at), Quota: settings.NumberOf(1000)}
	}
	return list
}

// BenchmarkApply is a delta of one tenant changed, one added and one removed, in tables of two sizes.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1000, 60_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, _ := serving(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(size) }))
			for at := 0; b.Loop(); at++ {
				d := settings.Delta{From: n.Version(), To: n.Version() + 1, Tenants: settings.Changes[settings.Tenant]{
					Set: []settings.Tenant{{Name: "tenant-7", Quota: settings.NumberOf(float64(at))}, {Name: []string{"x", "y"}[at%2]}}, Removed: []string{[]string{"y", "x"}[at%2]}}}
				if err := n.Apply(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookUp is a name found among the tenants.
func BenchmarkLookUp(b *testing.B) {
	for _, size := range []int{1000, 60_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n, _ := serving(testutil.TypedSettings(func(s *settings.Settings) { s.Tenants = tenantsOf(size) }))
			names := make([]string, 1024)
			for at := range names {
				names[at] = fmt.Sprint("tenant-", at*size/len(names))
			}
			b.ReportAllocs()
			for at := 0; b.Loop(); at++ {
				if _, ok := n.tenants.find(names[at%len(names)]); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

// The runtime has no command by which a run goes on without its call. Settings that pay for an answer without one, from the
// start or by a later change, must not make the module leave a call out: that run would stand until it is given up.
func TestNoCallIsLeftOutBesideTheRuntime(t *testing.T) {
	pays := func(s *settings.Settings) {
		for k := range s.Classes {
			s.Classes[k].DegradedWeight = settings.NumberOf(0.6)
		}
	}
	without := testutil.TypedSettings(nil)
	for name, start := range map[string]func() (*Instance, *sides){
		"from the start": func() (*Instance, *sides) { return up(pays) },
		"by a later change": func() (*Instance, *sides) {
			n, s := up(nil)
			n.apply(t, without, testutil.TypedSettings(pays))
			return n, s
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, s := start()
			n.ask(s, "a", "safe", "", 0)
			n.CallRequested("a", []byte("below"))
			n.Tick()
			s.wants(t, 1, "call a below")
			n.CallReturned("a", policy.Failed, 10*time.Millisecond, nil) // where it pays, the module leaves the call out now
			n.Tick()
			s.wants(t, 2, "call a below")
			n.CallReturned("a", policy.OK, 10*time.Millisecond, []byte("reply"))
			n.Tick()
			s.wants(t, 1, "give a reply")
			n.RunEnded("a", policy.OK, 20*time.Millisecond, []byte("done"))
			n.Tick()
			s.wants(t, 1, "answer a 0 done")
		})
	}
}
