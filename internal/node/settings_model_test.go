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
	rec      *recorder
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
	next := m.drawSettings(t)
	delta, err := settings.Compare(m.instance.SettingsVersion(), m.active, next, func() {})
	if err == nil {
		err = m.instance.Apply(delta)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.active = next
}

// applyStaleDelta checks that a delta to an earlier version is rejected.
func (m *model) applyStaleDelta(t *rapid.T) {
	delta, _ := settings.Compare(m.instance.SettingsVersion()-1, m.active, m.drawSettings(t), func() {})
	if m.instance.Apply(delta) == nil {
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
	err := m.instance.Admit(m.rec, MessageID(id), Request{
		ID:         id,
		Class:      r.class,
		Tenant:     r.tenant,
		Key:        r.key,
		MemoryKB:   1,
		ReceivedAt: time.Now(),
		Body:       []byte("x"),
	})
	isClassKnown := slices.ContainsFunc(m.active.Classes, func(class settings.Class) bool { return class.Name == r.class })
	isTenantKnown := r.tenant == "" || slices.ContainsFunc(m.active.Tenants, func(tenant settings.Tenant) bool { return tenant.Name == r.tenant })
	var want error
	switch {
	case !isClassKnown:
		want = ErrUnknownClass
	case !isTenantKnown:
		want = ErrUnknownTenant
	}
	if !errors.Is(err, want) {
		t.Fatalf("admitting %+v: got %v, want %v", r, err, want)
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

// expireKeys makes all keys expire, which drops those of ended runs.
func (m *model) expireKeys(*rapid.T) {
	for _, entry := range m.instance.keys.entries {
		entry.expiresAt = m.instance.now - 2*expiredKeyRetention
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
		t.Fatalf("in force: %v, want %v", table.active, active)
	}
	for _, value := range active {
		index, ok := table.active[value.ResourceName()]
		if !ok || table.rows[index].value != value || table.rows[index].retired {
			t.Fatalf("%v is not in force in its row: %+v", value, table.rows)
		}
		owner[index] = value.ResourceName()
	}
	for name, index := range table.retired {
		if owner[index] != "" || references[name] == 0 || table.rows[index].value.ResourceName() != name {
			t.Fatalf("retired %s has row %d, which belongs to %q or to another name, and %d references", name, index, owner[index], references[name])
		}
		owner[index] = name
	}
	for name, count := range references {
		if table.findAny(name) == nil {
			t.Fatalf("%s has %d references but no row", name, count)
		}
	}
	for index, name := range owner {
		if int(table.rows[index].references) != references[name] {
			t.Fatalf("%s: %d references counted, want %d", name, table.rows[index].references, references[name])
		}
	}
	if len(owner)+len(table.freeRows) != len(table.rows) {
		t.Fatalf("%d rows, %d in use, %d free", len(table.rows), len(owner), len(table.freeRows))
	}
	for _, index := range table.freeRows {
		if owner[index] != "" || table.rows[index] != (resourceRow[T]{}) {
			t.Fatalf("row %d is free but belongs to %q or is not empty: %+v", index, owner[index], table.rows[index])
		}
	}
}

// In any order of events, an index belongs to a single name as long as that is in force or referred to, and is free afterwards.
func TestDeltasWithRequestsInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{requests: map[TaskID]modelRequest{}}
		m.active = m.drawSettings(t)
		m.instance, m.rec = newReadyInstanceWith(m.active)
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
			t.Fatalf("retired without references: classes %v, tenants %v", m.instance.classes.retired, m.instance.tenants.retired)
		}
	})
}
