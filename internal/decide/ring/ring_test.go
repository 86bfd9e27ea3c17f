package ring

import (
	"fmt"
	"testing"
)

// testBackends returns backends of equal weight in three zones.
func testBackends(count int) (backends []Backend) {
	for n := range count {
		backends = append(backends, Backend{Name: fmt.Sprintf("b%03d", n), Zone: fmt.Sprintf("z%d", n%3), Weight: 1})
	}
	return backends
}

// mustPlan calls Table.Plan without slot loads, and fails the test on an error.
func mustPlan(t testing.TB, from *Table, to []Backend, bound BalanceBound) (*Table, []Migration, int) {
	next, migrations, minimum, err := from.Plan(to, bound, nil)
	if err != nil {
		t.Fatal(err)
	}
	return next, migrations, minimum
}

func TestInvalidBackendsAndSlotCountsAreRejected(t *testing.T) {
	table, _ := New(8)
	for _, bad := range [][]Backend{nil, {{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, {{Name: "", Weight: 1}}, {{Name: "a"}},
		{{Name: "a", Weight: -1}}, make([]Backend, MaxBackends+1)} {
		if _, _, _, err := table.Plan(bad, BalanceBound{}, nil); err == nil {
			t.Errorf("backends %.60v were accepted", fmt.Sprint(bad))
		}
	}
	for _, slots := range []int{0, 1, 3, MaxSlots * 2} {
		if _, err := New(slots); err == nil {
			t.Errorf("%d slots were accepted", slots)
		}
	}
}

func BenchmarkOwner(b *testing.B) {
	table, _ := New(MaxSlots)
	table, _, _ = mustPlan(b, table, testBackends(500), BalanceBound{})
	b.ReportAllocs()
	for b.Loop() {
		table.Owner(table.Slot("shipment-4711:17"))
	}
}

func TestOwnerLookupDoesNotAllocate(t *testing.T) {
	table, _ := New(MaxSlots)
	table, _, _ = mustPlan(t, table, testBackends(500), BalanceBound{})
	if n := testing.AllocsPerRun(100, func() { table.Owner(table.Slot("shipment-4711:17")) }); n != 0 {
		t.Errorf("lookup made %v allocations, want 0", n)
	}
}
