package ring

import (
	"bytes"
	"slices"
	"testing"

	"thymechute/internal/testutil"
)

// Digests of the tables in testdata/state_migrating.json, computed by the build that wrote the file (commit d489d24).
const (
	fixtureActiveDigest  = 0x8f3377afb77cd10e
	fixturePendingDigest = 0x4161b4287fd6ebd7
)

// migratingState builds the state in testdata/state_migrating.json: three backends, one of them in slow start, which the
// pending table no longer contains.
func migratingState(t *testing.T) *ReplicatedState {
	t.Helper()
	bound := BalanceBound{Slack: 0.05}
	remaining := []Backend{{Name: "b0", Zone: "z0", Weight: 1}, {Name: "b1", Zone: "z1", Weight: 2.5}}
	all := append(slices.Clone(remaining), Backend{Name: "b2", Zone: "z0", Weight: 0.25, WarmingUp: true})
	empty, _ := New(8)
	active, _, _ := mustPlan(t, empty, all, bound)
	next, migrations, _ := mustPlan(t, active, remaining, bound)
	state := &ReplicatedState{Active: active, LastGrantSequence: 41}
	for _, process := range []string{"m1#18f3", "m0#18f2", "m2#18f4"} {
		state.RecordAcknowledgement(process)
	}
	state.ApplyGrant(Grant{Sequence: 42, Quotas: []BackendQuota{{"b2", 7}}, Departed: []string{"m2#18f4"}})
	slots := make([]int, len(migrations))
	for n, migration := range migrations {
		slots[n] = migration.Slot
	}
	if !state.Freeze(next, slots) {
		t.Fatal("Freeze returned false")
	}
	return state
}

// Snapshots that an older build (commit d489d24) wrote must be decoded, and the same state must be encoded as the same bytes.
func TestSnapshotsOfOlderBuildsRoundTrip(t *testing.T) {
	empty, _ := New(8)
	for file, state := range map[string]*ReplicatedState{
		"state_empty.json":     {Active: empty},
		"state_migrating.json": migratingState(t),
	} {
		stored := testutil.ReadFixture(t, file)
		var decoded ReplicatedState
		if err := decoded.Decode(stored); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		for what, s := range map[string]*ReplicatedState{"decoded": &decoded, "built": state} {
			encoded, err := s.Encode()
			if err != nil || !bytes.Equal(encoded, stored) {
				t.Errorf("%s, encoding the %s state: %v\nfound    %s\nexpected %s", file, what, err, encoded, stored)
			}
		}
	}
}

func TestDecodeReadsAllFieldsOfOlderSnapshot(t *testing.T) {
	stored := testutil.ReadFixture(t, "state_migrating.json")
	var s ReplicatedState
	if err := s.Decode(stored); err != nil {
		t.Fatal(err)
	}
	if got := s.Active.Digest(); got != fixtureActiveDigest {
		t.Errorf("active table: digest %#x, expected %#x", got, uint64(fixtureActiveDigest))
	}
	if got := s.Pending.Digest(); got != fixturePendingDigest {
		t.Errorf("pending table: digest %#x, expected %#x", got, uint64(fixturePendingDigest))
	}
	if b, ok := s.Active.backendNamed("b2"); !ok || !b.WarmingUp || b.Weight != 0.25 || b.Zone != "z0" {
		t.Errorf("b2: found %+v, %v, expected weight 0.25 in zone z0, warming up", b, ok)
	}
	if s.Active.Version != 1 || s.Pending.Version != 2 || s.LastGrantSequence != 42 ||
		!slices.Equal(s.MigratingSlots, []int{7}) || !slices.Equal(s.Participants, []string{"m0#18f2", "m1#18f3"}) {
		t.Errorf("decoded state %+v", s)
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	empty, _ := New(16)
	table, _, _ := mustPlan(t, empty, testBackends(3), BalanceBound{})
	next, migrations, _ := mustPlan(t, table, testBackends(4), BalanceBound{})
	a := ReplicatedState{Active: table}
	a.Freeze(next, []int{migrations[0].Slot})
	b, err := a.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var decoded ReplicatedState
	if err := decoded.Decode(b); err != nil || decoded.Active.Digest() != table.Digest() || decoded.Pending.Digest() != next.Digest() ||
		decoded.Pending.Version != next.Version || len(decoded.MigratingSlots) != 1 {
		t.Errorf("error %v, decoded state %+v", err, decoded)
	}
	if table.Digest() == next.Digest() {
		t.Error("different tables have the same digest")
	}
	for _, bad := range []string{"", "{}", `{"Table":{"Slots":"AAAA"}}`, `{"Table":{"Backends":[{"Name":"a","Weight":1}],"Slots":"BQAFAA=="}}`} {
		if err := decoded.Decode([]byte(bad)); err == nil {
			t.Errorf("snapshot %q was accepted", bad)
		}
	}
}
