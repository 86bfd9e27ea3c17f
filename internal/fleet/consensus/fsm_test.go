package consensus

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"

	"thymechute/internal/decide/lease"
)

// fixedState is a StateMachine with a given state.
type fixedState struct{ state []byte }

func (s *fixedState) Apply(uint64, lease.Command, lease.Outcome) {}
func (s *fixedState) Encode() ([]byte, error)                    { return s.state, nil }
func (s *fixedState) Decode(state []byte) error                  { s.state = bytes.Clone(state); return nil }

// sink is a raft.SnapshotSink in memory.
type sink struct{ bytes.Buffer }

func (*sink) ID() string    { return "" }
func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }

// A follower that joins late is handed a snapshot; at the size that is planned for it is some megabytes. Cut off at one, it
// did not read, and nobody could join any more.
func TestSnapshotOfPlannedSizeIsRestored(t *testing.T) {
	table := func() *lease.Table {
		made, err := lease.NewTable("ring")
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	const planned = 4 << 20
	from, to := &fixedState{bytes.Repeat([]byte("tenant"), planned/6)}, &fixedState{}
	made, err := fsm{&Log{table: table(), stateMachine: from}}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var kept sink
	if err := made.Persist(&kept); err != nil {
		t.Fatal(err)
	}
	if err := (fsm{&Log{table: table(), stateMachine: to, subscriber: discardSubscriber{}}}).Restore(io.NopCloser(&kept)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(from.state, to.state) {
		t.Errorf("restored %d bytes, want the %d that were kept", len(to.state), len(from.state))
	}
}

func TestOversizedSnapshotIsRejected(t *testing.T) {
	made, err := lease.NewTable("ring")
	if err != nil {
		t.Fatal(err)
	}
	past := &fixedState{make([]byte, maxSnapshotBytes)} // as text it is longer
	if _, err := (fsm{&Log{table: made, stateMachine: past}}).Snapshot(); err == nil {
		t.Error("a snapshot past its bound was made: no member could restore it")
	}
	long := io.LimitReader(zeros{}, maxSnapshotBytes+2)
	if err := (fsm{&Log{table: made, subscriber: discardSubscriber{}}}).Restore(io.NopCloser(long)); err == nil {
		t.Error("a snapshot past its bound was restored")
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// fixture reads a file that the build d489d24 encoded.
func fixture(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fixtureLog is a replica with the state of testdata/snapshot.json, or none of it yet.
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
	ring, roll := states["ring"].(*fixedState).state, states["roll"].(*fixedState).state
	if string(ring) != "ring state" || !bytes.Equal(roll, []byte{0, 1, 2, 255}) {
		t.Errorf("states %q and %v", ring, roll)
	}
}

func TestSnapshotOfFirstBuildRoundTrips(t *testing.T) {
	encoded := fixture(t, "snapshot.json")
	log, states := fixtureLog(t)
	if err := (fsm{log}).Restore(io.NopCloser(bytes.NewReader(encoded))); err != nil {
		t.Fatal(err)
	}
	checkFixtureStates(t, states)
	made, err := fsm{log}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var again sink
	if err := made.Persist(&again); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), encoded) {
		t.Errorf("encodes to %s, want %s", again.Bytes(), encoded)
	}
}

func TestStatesOfFirstBuildRoundTrip(t *testing.T) {
	encoded := fixture(t, "states.json")
	_, states := fixtureLog(t)
	if err := states.Decode(encoded); err != nil {
		t.Fatal(err)
	}
	checkFixtureStates(t, states)
	if again, err := states.Encode(); err != nil || !bytes.Equal(again, encoded) {
		t.Errorf("encodes to %s, %v; want %s", again, err, encoded)
	}
	if _, err := DecodeStates([]byte("{")); !errors.Is(err, ErrInvalidState) {
		t.Errorf("truncated states: %v", err)
	}
}

func TestEntriesOfFirstBuildGiveTheSameSnapshot(t *testing.T) {
	log, states := fixtureLog(t)
	states["ring"], states["roll"] = &fixedState{[]byte("ring state")}, &fixedState{[]byte{0, 1, 2, 255}}
	for n, line := range bytes.Split(bytes.TrimSpace(fixture(t, "commands.jsonl")), []byte("\n")) {
		if failed := (fsm{log}).Apply(&raft.Log{Index: uint64(3 + n), Data: line}); failed != nil {
			t.Fatalf("entry %d: %v", n, failed)
		}
	}
	if encoded, err := (fsm{log}).encode(); err != nil || !bytes.Equal(encoded, fixture(t, "snapshot.json")) {
		t.Errorf("snapshot %s, %v; want %s", encoded, err, fixture(t, "snapshot.json"))
	}
}
