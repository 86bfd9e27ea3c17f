package lease_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
)

// The files in testdata were written by commit d489d24. Logs and snapshots of that format must still be read, and written
// byte for byte.

// firstIndex is the log index of the first command in testdata/commands.jsonl.
const firstIndex = 3

func TestCommandsOfFirstBuildRoundTrip(t *testing.T) {
	process := func(c lease.Command, member string, incarnation uint64) lease.Command {
		c.Member, c.Incarnation = member, incarnation
		return c
	}
	const first, second, third = "m0#18f3a2b4c5000000", "m1#18f3a2b4c5000001", "m2#18f3a2b4c5000002"
	const incarnation = 1797900000000000001
	want := []lease.Command{
		process(lease.Command{Kind: lease.Acquire, Duty: "ring", Seq: 1}, first, incarnation),
		process(lease.Command{Kind: lease.Renew, Duty: "ring", Seq: 2, Token: 1}, first, incarnation),
		process(lease.Command{Kind: lease.Decide, Duty: "ring", Seq: 3, Token: 1, Body: `{"freeze":[1,2]}`}, first, incarnation),
		process(lease.Command{Kind: lease.Announce, Duty: "ring", Seq: 1, Body: `{"ack":7}`}, second, incarnation+1),
		process(lease.Command{Kind: lease.Acquire, Duty: "roll", Seq: 2}, second, incarnation+1),
		process(lease.Command{Kind: lease.Release, Duty: "roll", Seq: 3, Token: 1}, second, incarnation+1),
		process(lease.Command{Kind: lease.Acquire, Duty: "ring", Seq: 1, ObservedIndex: 2}, third, incarnation+2),
	}
	lines := bytes.Split(bytes.TrimSpace(testutil.ReadFixture(t, "commands.jsonl")), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%d commands, want %d", len(lines), len(want))
	}
	for n, line := range lines {
		var got lease.Command
		if err := json.Unmarshal(line, &got); err != nil || got != want[n] {
			t.Errorf("command %d: %+v, %v; want %+v", n, got, err, want[n])
		}
		if encoded, err := json.Marshal(got); err != nil || !bytes.Equal(encoded, line) {
			t.Errorf("command %d encodes to %s, %v; want %s", n, encoded, err, line)
		}
	}
}

func TestTableOfFirstBuildRoundTrips(t *testing.T) {
	encoded := testutil.ReadFixture(t, "table.json")
	decoded, err := lease.Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	ring, _ := decoded.Lookup("ring")
	want := lease.DutyState{Holder: "m0#18f3a2b4c5000000", Incarnation: 1797900000000000001, Token: 1, RenewedIndex: 4, DecidedIndex: 5}
	if ring != want {
		t.Errorf("ring %+v, want %+v", ring, want)
	}
	if roll, _ := decoded.Lookup("roll"); roll != (lease.DutyState{Token: 1, RenewedIndex: 8}) || decoded.Index() != 9 {
		t.Errorf("roll %+v at index %d", roll, decoded.Index())
	}
	if again, err := decoded.Encode(); err != nil || !bytes.Equal(again, encoded) {
		t.Errorf("encodes to %s, %v; want %s", again, err, encoded)
	}
}

func TestEntriesOfFirstBuildGiveTheSameTable(t *testing.T) {
	table, err := lease.NewTable("ring", "roll")
	if err != nil {
		t.Fatal(err)
	}
	for n, line := range bytes.Split(bytes.TrimSpace(testutil.ReadFixture(t, "commands.jsonl")), []byte("\n")) {
		var c lease.Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatal(err)
		}
		table.Apply(uint64(firstIndex+n), c)
	}
	if encoded, err := table.Encode(); err != nil || !bytes.Equal(encoded, testutil.ReadFixture(t, "table.json")) {
		t.Errorf("table %s, %v; want %s", encoded, err, testutil.ReadFixture(t, "table.json"))
	}
}
