package redelivery

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

var first, second = Identity{1}, Identity{2}

func newTestTable() *Table[string] { return NewTable[string](8, 100) }

func expectRedelivered(t *testing.T, table *Table[string], identity Identity, want Action, wantAnswer string) {
	t.Helper()
	if got, answer := table.Redelivered(identity); got != want || answer != wantAnswer {
		t.Errorf("redelivered: got action %d with answer %q, want %d with %q", got, answer, want, wantAnswer)
	}
}

func expectCopy(t *testing.T, table *Table[string], id string, want Action) {
	t.Helper()
	if got := table.CopyArrived(id); got != want {
		t.Errorf("copy %s: got action %d, want %d", id, got, want)
	}
}

func TestUnknownMessageIsProcessed(t *testing.T) {
	table := newTestTable()
	expectRedelivered(t, table, first, Process, "")
	expectCopy(t, table, "c1", Process)
}

func TestEndedMessageIsSettledOrAnsweredAgain(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Confirmed: true, Answer: "a", Size: 1})
	table.Record(second, Ending[string]{Answer: "b", Size: 1})
	expectRedelivered(t, table, first, Settle, "")
	expectRedelivered(t, table, second, Republish, "b")
	expectRedelivered(t, table, second, Republish, "b") // its settlement may be lost again
}

func TestConfirmedCopyStandsForItsOriginal(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Copy: "c1", Confirmed: true})
	expectRedelivered(t, table, first, Settle, "")
	expectCopy(t, table, "c1", Process)
}

func TestOriginalSupersedesUnconfirmedCopy(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Copy: "c1"})
	expectRedelivered(t, table, first, Process, "")
	table.Record(first, Ending[string]{Copy: "c2", Confirmed: true}) // the original was rejected again
	expectCopy(t, table, "c1", Settle)
	expectCopy(t, table, "c1", Settle) // redelivered, as its settlement was lost
	expectCopy(t, table, "c2", Process)
	expectRedelivered(t, table, first, Settle, "")
}

func TestArrivedCopySupersedesItsOriginal(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Copy: "c1"})
	expectCopy(t, table, "c1", Process)
	expectRedelivered(t, table, first, Settle, "")
	expectCopy(t, table, "c1", Process)
}

func TestCopyThatArrivedRemainsConfirmed(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Copy: "c1"})
	expectCopy(t, table, "c1", Process)
	table.Record(first, Ending[string]{Copy: "c1"}) // the connection is lost before the broker confirms the copy
	expectRedelivered(t, table, first, Settle, "")
	table.Record(first, Ending[string]{Copy: "c2"})
	expectRedelivered(t, table, first, Process, "")
}

func TestNewMessageWithSameIdentityIsProcessed(t *testing.T) {
	table := newTestTable()
	table.Record(first, Ending[string]{Confirmed: true})
	table.Forget(first)
	expectRedelivered(t, table, first, Process, "")
}

func TestOldestEndingsAreForgotten(t *testing.T) {
	table := newTestTable()
	for n := range 9 {
		table.Record(Identity{byte(n)}, Ending[string]{Copy: strconv.Itoa(n), Confirmed: true})
	}
	expectRedelivered(t, table, Identity{0}, Process, "")
	expectRedelivered(t, table, Identity{1}, Settle, "")
	table.Record(first, Ending[string]{Answer: "x", Size: 60})
	table.Record(second, Ending[string]{Answer: "y", Size: 60})
	expectRedelivered(t, table, first, Process, "")
	expectRedelivered(t, table, second, Republish, "y")
	table.Record(first, Ending[string]{Answer: "z", Size: 200})
	if table.Len() != 0 || table.bytes != 0 || len(table.originals)+len(table.copies) != 0 {
		t.Errorf("an answer over the limit: %d entries with %d bytes are left", table.Len(), table.bytes)
	}
}

// In any order of endings, redeliveries and arrivals, a message and its copy are never both processed after the copy was
// returned, as long as nothing was forgotten, and the table stays within its bounds.
func TestOriginalAndCopyAreNeverBothProcessed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable()
		originals, copies := map[int]bool{}, map[int]bool{}
		for n := range 4 {
			table.Record(Identity{byte(n)}, Ending[string]{Copy: strconv.Itoa(n), Confirmed: rapid.Bool().Draw(t, "confirmed")})
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			n := rapid.IntRange(0, 3).Draw(t, "message")
			if rapid.Bool().Draw(t, "is copy") {
				copies[n] = copies[n] || table.CopyArrived(strconv.Itoa(n)) == Process
			} else {
				action, _ := table.Redelivered(Identity{byte(n)})
				originals[n] = originals[n] || action == Process
			}
			if originals[n] && copies[n] {
				t.Fatalf("message %d and its copy are both processed", n)
			}
			if table.Len() > 8 || table.bytes > 100 {
				t.Fatalf("%d entries with %d bytes", table.Len(), table.bytes)
			}
		}
	})
}
