package consensus

import (
	"bytes"
	"io"
	"testing"

	"thymechute/internal/decide/lease"
)

// blob is a Machine of a given state.
type blob struct{ state []byte }

func (b *blob) Apply(uint64, lease.Command, lease.Outcome) {}
func (b *blob) Encode() ([]byte, error)                    { return b.state, nil }
func (b *blob) Decode(state []byte) error                  { b.state = bytes.Clone(state); return nil }

// sink takes a snapshot as raft's do.
type sink struct{ bytes.Buffer }

func (*sink) ID() string    { return "" }
func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }

// A follower that joins late is handed a snapshot; at the size that is planned for it is some megabytes. Cut off at one, it
// did not read, and nobody could join any more.
func TestASnapshotOfThePlannedSizeIsRestored(t *testing.T) {
	table := func() *lease.Table {
		made, err := lease.NewTable("ring")
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	const planned = 4 << 20
	from, to := &blob{bytes.Repeat([]byte("tenant"), planned/6)}, &blob{}
	made, err := machine{&Log{table: table(), more: from}}.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var kept sink
	if err := made.Persist(&kept); err != nil {
		t.Fatal(err)
	}
	if err := (machine{&Log{table: table(), more: to, reader: still{}}}).Restore(io.NopCloser(&kept)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(from.state, to.state) {
		t.Errorf("restored %d bytes, want the %d that were kept", len(to.state), len(from.state))
	}
}

func TestASnapshotPastItsBoundIsRefused(t *testing.T) {
	made, err := lease.NewTable("ring")
	if err != nil {
		t.Fatal(err)
	}
	past := &blob{make([]byte, mostSnapshot)} // as text it is longer
	if _, err := (machine{&Log{table: made, more: past}}).Snapshot(); err == nil {
		t.Error("a snapshot past its bound was made: nobody could restore it")
	}
	long := io.LimitReader(zeros{}, mostSnapshot+2)
	if err := (machine{&Log{table: made, reader: still{}}}).Restore(io.NopCloser(long)); err == nil {
		t.Error("a snapshot past its bound was restored")
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }
