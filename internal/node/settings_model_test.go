package node

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

// model drives an instance, and holds the expected settings in force and requests in flight.
type model struct {
	instance *Instance
	peers    *recorder
	active   settings.Settings
	requests map[TaskID]modelRequest
	lastID   int
}

type modelRequest struct{ class, tenant, key string }

func (m *model) drawSettings(t *rapid.T) settings.Settings {
	return testutil.TypedSettings(func(s *settings.Settings) {
		s.Server.FleetSize = settings.NumberOf(float64(rapid.IntRange(1, 2).Draw(t, "fleet")))
		s.Server.MemoryKB = settings.NumberOf(1e6)
		s.Classes = []settings.Class{{Name: "trace", Idempotency: settings.Safe, LatencyObjective: settings.NumberOf(1e4), CallerTimeout: settings.NumberOf(1e4)}}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"p", "q", "r"}), rapid.ID[string]).Draw(t, "classes") {
			s.Classes = append(s.Classes, settings.Class{
				Name:             name,
				Idempotency:      settings.Idempotent,
				LatencyObjective: settings.NumberOf(1e4),
				CallerTimeout:    settings.NumberOf(1e4),
				KeyWindow:        settings.NumberOf(float64(rapid.IntRange(1, 3).Draw(t, "window"))),
			})
		}
		for _, name := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID[string]).Draw(t, "tenants") {
			s.Tenants = append(s.Tenants, settings.Tenant{Name: name, Quota: settings.NumberOf(float64(rapid.IntRange(0, 2).Draw(t, "quota")))})
		}
	})
}

func (m *model) applyDelta(t *rapid.T) {
	later := m.drawSettings(t)
	d, err := settings.Compare(m.instance.SettingsVersion(), m.active, later, func() {})
	if err == nil {
		err = m.instance.Apply(d)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.active = later
}

// applyStaleDelta checks that a delta to an earlier version is rejected.
func (m *model) applyStaleDelta(t *rapid.T) {
	d, _ := settings.Compare(m.instance.SettingsVersion()-1, m.active, m.drawSettings(t), func() {})
	if m.instance.Apply(d) == nil {
		t.Fatal("a stale delta was applied")
	}
}

func (m *model) admit(t *rapid.T) {
	r := modelRequest{
		class:  rapid.SampledFrom([]string{"trace", "p", "q", "r"}).Draw(t, "class"),
		tenant: rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "tenant"),
		key:    rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key"),
	}
	m.lastID++
	id := TaskID(fmt.Sprint("i", m.lastID))
	err := m.instance.Admit(m.peers, MessageID(id), Request{
		ID:         id,
		Class:      r.class,
		Tenant:     r.tenant,
		Key:        r.key,
		MemoryKB:   1,
		ReceivedAt: time.Now(),
		Body:       []byte("x"),
	})
	isClassKnown := slices.ContainsFunc(m.active.Classes, func(c settings.Class) bool { return c.Name == r.class })
	isTenantKnown := r.tenant == "" || slices.ContainsFunc(m.active.Tenants, func(c settings.Tenant) bool { return c.Name == r.tenant })
	var want error
	switch {
	case !isClassKnown:
		want = ErrUnknownClass
	case !isTenantKnown:
		want = ErrUnknownTenant
	}
	if !errors.Is(err, want) {
		t.Fatalf("%+v: %v, want %v", r, err, want)
	}
	if err == nil {
		m.requests[id] = r
	}
	m.instance.Tick()
}

func (m *model) endRun(t *rapid.T) {
	if ids := slices.Sorted(maps.Keys(m.instance.byTaskID)); len(ids) > 0 {
		m.instance.RunEnded(rapid.SampledFrom(ids).Draw(t, "id"), RunResult{
			Outcome:  policy.OK,
			Duration: time.Millisecond,
			Body:     []byte("r"),
		})
		m.instance.Tick()
	}
}

// expireKeys lets all keys expire, so that those of ended runs are dropped.
func (m *model) expireKeys(*rapid.T) {
	for _, r := range m.instance.keys.entries {
		r.expiresAt = m.instance.now - 2*expiredKeyRetention
	}
	m.instance.nextSweep = 0
	m.instance.Tick()
}

func (m *model) check(t *rapid.T) {
	classes := map[string]int{}
	tenants := map[string]int{}
	for id := range m.instance.byTaskID {
		classes[m.requests[id].class]++
		if r := m.requests[id]; r.tenant != "" {
			tenants[r.tenant]++
		}
	}
	for key := range m.instance.keys.entries {
		classes[key[:len(key)-2]]++ // "class k"
	}
	checkTable(t, m.instance.classes, m.active.Classes, classes)
	checkTable(t, m.instance.tenants, m.active.Tenants, tenants)
}

// checkTable compares a table with the resources in force and the number of references to each.
func checkTable[T interface {
	comparable
	resource
}](t *rapid.T, table *resourceTable[T], active []T, references map[string]int) {
	owner := map[int32]string{}
	if len(table.active) != len(active) {
		t.Fatalf("%v in force, want %v", table.active, active)
	}
	for _, value := range active {
		at, ok := table.active[value.ResourceName()]
		if !ok || table.rows[at].value != value || table.rows[at].retired {
			t.Fatalf("%v: %+v", value, table.rows)
		}
		owner[at] = value.ResourceName()
	}
	for name, at := range table.retired {
		if owner[at] != "" || references[name] == 0 || table.rows[at].value.ResourceName() != name {
			t.Fatalf("%s at %d, which is %q's; %d references", name, at, owner[at], references[name])
		}
		owner[at] = name
	}
	for name, count := range references {
		if table.findAny(name) == nil {
			t.Fatalf("%s has %d references and no row", name, count)
		}
	}
	for at, name := range owner {
		if int(table.rows[at].references) != references[name] {
			t.Fatalf("%s: %d references counted, want %d", name, table.rows[at].references, references[name])
		}
	}
	if len(owner)+len(table.freeRows) != len(table.rows) {
		t.Fatalf("%d rows, %d in use, %d free", len(table.rows), len(owner), len(table.freeRows))
	}
	for _, at := range table.freeRows {
		if owner[at] != "" || table.rows[at] != (resourceRow[T]{}) {
			t.Fatalf("row %d is free and %q's: %+v", at, owner[at], table.rows[at])
		}
	}
}

// In any order of events, an index belongs to one name while that is in force or referred to, and is free afterwards.
func TestDeltasWithRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{requests: map[TaskID]modelRequest{}}
		m.active = m.drawSettings(t)
		m.instance, m.peers = newReadyWith(m.active)
		t.Repeat(map[string]func(*rapid.T){
			"apply delta":       m.applyDelta,
			"apply stale delta": m.applyStaleDelta,
			"admit":             m.admit,
			"end run":           m.endRun,
			"expire keys":       m.expireKeys,
			"":                  m.check,
		})
		for len(m.instance.byTaskID) > 0 {
			for _, id := range slices.Sorted(maps.Keys(m.instance.byTaskID)) {
				m.instance.RunEnded(id, RunResult{Outcome: policy.OK, Duration: time.Millisecond})
			}
			m.instance.Tick()
		}
		m.expireKeys(t)
		m.check(t)
		if len(m.instance.classes.retired)+len(m.instance.tenants.retired) > 0 {
			t.Fatalf("still retired: %v, %v", m.instance.classes.retired, m.instance.tenants.retired)
		}
	})
}
