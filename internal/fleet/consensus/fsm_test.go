package consensus

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
)

// fixedState is a StateMachine whose state no entry changes.
type fixedState struct{ state []byte }

func (s *fixedState) Apply(uint64, lease.Command, lease.Outcome) {}
func (s *fixedState) Encode() ([]byte, error)                    { return s.state, nil }
func (s *fixedState) Decode(state []byte) error                  { s.state = bytes.Clone(state); return nil }

// sink is an in-memory raft.SnapshotSink.
type sink struct{ bytes.Buffer }

func (*sink) ID() string    { return "" }
func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }

// A member that joins late receives a snapshot, which takes some megabytes in a fleet of the planned size. With an earlier
// bound of one megabyte the snapshot was truncated, and no further member could join.
func TestSnapshotOfPlannedSizeIsRestored(t *testing.T) {
	table := func() *lease.Table {
		created, err := lease.NewTable("ring")
		if err != nil {
			t.Fatal(err)
		}
		return created
	}
	const planned = 4 << 20
	from, to := &fixedState{bytes.Repeat([]byte("tenant"), planned/6)}, &fixedState{}
	created, err := fsm{&Log{table: table(), stateMachine: from}}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var persisted sink
	if err := created.Persist(&persisted); err != nil {
		t.Fatal(err)
	}
	if err := (fsm{&Log{table: table(), stateMachine: to, subscriber: discardSubscriber{}}}).Restore(io.NopCloser(&persisted)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(from.state, to.state) {
		t.Errorf("restored %d bytes, want the %d that were persisted", len(to.state), len(from.state))
	}
}

func TestOversizedSnapshotIsRejected(t *testing.T) {
	created, err := lease.NewTable("ring")
	if err != nil {
		t.Fatal(err)
	}
	oversized := &fixedState{make([]byte, maxSnapshotBytes)} // its encoding is longer still
	if _, err := (fsm{&Log{table: created, stateMachine: oversized}}).Snapshot(); err == nil {
		t.Error("a snapshot over maxSnapshotBytes was created; no member could restore it")
	}
	long := io.LimitReader(zeros{}, maxSnapshotBytes+2)
	if err := (fsm{&Log{table: created, subscriber: discardSubscriber{}}}).Restore(io.NopCloser(long)); err == nil {
		t.Error("a snapshot over maxSnapshotBytes was restored")
	}
}

// zeros is an endless io.Reader of zero bytes.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// fixtureLog returns a replica that can restore testdata/snapshot.json, and its state machines. The files in testdata were
// written by the build of commit d489d24.
func fixtureLog(t *testing.T) (*Log, StateMachines) {
	t.Helper()
	table, err := lease.NewTable("ring", "roll")
	if err != nil {
		t.Fatal(err)
	}
	states := StateMachines{"ring": &fixedState{}, "roll": &fixedState{}}
	return &Log{table: table, stateMachine: states, subscriber: discardSubscriber{}}, states
}

func checkFixtureStates(t *testing.T, states StateMachines) {
	t.Helper()
	ring := states["ring"].(*fixedState).state
	roll := states["roll"].(*fixedState).state
	if string(ring) != "ring state" || !bytes.Equal(roll, []byte{0, 1, 2, 255}) {
		t.Errorf("state of ring %q, of roll %v; want \"ring state\" and [0 1 2 255]", ring, roll)
	}
}

func TestSnapshotOfEarlierBuildRoundTrips(t *testing.T) {
	encoded := testutil.ReadFixture(t, "snapshot.json")
	log, states := fixtureLog(t)
	if err := (fsm{log}).Restore(io.NopCloser(bytes.NewReader(encoded))); err != nil {
		t.Fatal(err)
	}
	checkFixtureStates(t, states)
	created, err := fsm{log}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var again sink
	if err := created.Persist(&again); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), encoded) {
		t.Errorf("snapshot encoded again: %s, want %s", again.Bytes(), encoded)
	}
}

func TestStatesOfEarlierBuildRoundTrip(t *testing.T) {
	encoded := testutil.ReadFixture(t, "states.json")
	_, states := fixtureLog(t)
	if err := states.Decode(encoded); err != nil {
		t.Fatal(err)
	}
	checkFixtureStates(t, states)
	if again, err := states.Encode(); err != nil || !bytes.Equal(again, encoded) {
		t.Errorf("states encoded again: %s, %v; want %s", again, err, encoded)
	}
	if _, err := DecodeStates([]byte("{")); !errors.Is(err, ErrInvalidState) {
		t.Errorf("truncated states: error %v, want ErrInvalidState", err)
	}
}

func TestEntriesOfEarlierBuildProduceTheSameSnapshot(t *testing.T) {
	log, states := fixtureLog(t)
	states["ring"] = &fixedState{[]byte("ring state")}
	states["roll"] = &fixedState{[]byte{0, 1, 2, 255}}
	for n, line := range bytes.Split(bytes.TrimSpace(testutil.ReadFixture(t, "commands.jsonl")), []byte("\n")) {
		if failed := (fsm{log}).Apply(&raft.Log{Index: uint64(3 + n), Data: line}); failed != nil {
			t.Fatalf("entry %d: %v", n, failed)
		}
	}
	if encoded, err := (fsm{log}).encode(); err != nil || !bytes.Equal(encoded, testutil.ReadFixture(t, "snapshot.json")) {
		t.Errorf("snapshot %s, %v; want %s", encoded, err, testutil.ReadFixture(t, "snapshot.json"))
	}
}
