package slots

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"thymechute/internal/decide/lease"
	"thymechute/internal/decide/ring"
	"thymechute/internal/testutil"
)

// storedCommands returns the commands that testdata/commands.jsonl contains.
func storedCommands(t *testing.T) []command {
	t.Helper()
	backends := []ring.Backend{{Name: "b0", Zone: "z0", Weight: 1}, {Name: "b1", Zone: "z1", Weight: 0.25, WarmingUp: true}}
	empty, _ := ring.New(8)
	next, _, _, err := empty.Plan(backends, ring.BalanceBound{Slack: 0.05}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return []command{
		{Freeze: &freeze{Version: next.Version, Backends: next.Backends(), Slack: 0.05, Digest: next.Digest()}},
		{Activate: 1},
		{Ack: 1},
		{Left: true},
		{Grant: &ring.Grant{Sequence: 1, Quotas: []ring.BackendQuota{{Backend: "b1", Calls: 7}}}},
		{Grant: &ring.Grant{Sequence: 2, Quotas: []ring.BackendQuota{{Backend: "b1", Calls: 8}}, Departed: []string{"m2#18f4"}}},
	}
}

// Commands written by an older build (commit d489d24) must be decoded, and the same commands must be encoded to the same bytes.
func TestCommandsOfOlderBuildRoundTrip(t *testing.T) {
	stored := testutil.ReadFixture(t, "commands.jsonl")
	lines := strings.Split(strings.TrimSpace(string(stored)), "\n")
	commands := storedCommands(t)
	if len(lines) != len(commands) {
		t.Fatalf("%d stored commands, expected %d", len(lines), len(commands))
	}
	for n, line := range lines {
		decoded, ok := decodeCommand(lease.Command{Duty: Duty, Body: line}, lease.Outcome{Accepted: true})
		if !ok || decoded.encode() != line {
			t.Errorf("found    %s, %v\nexpected %s", decoded.encode(), ok, line)
		}
		if built := commands[n].encode(); built != line {
			t.Errorf("found    %s\nexpected %s", built, line)
		}
	}
}

// The stored commands must lead to the same snapshot as in the build that wrote them.
func TestStoredCommandsProduceTheSameSnapshot(t *testing.T) {
	s, err := NewSnapshotState(Config{Slots: 8})
	if err != nil {
		t.Fatal(err)
	}
	commands := storedCommands(t)
	apply := func(kind lease.Kind, member string, c command) {
		s.Apply(0, lease.Command{Kind: kind, Duty: Duty, Member: member, Body: c.encode()}, lease.Outcome{Accepted: true})
	}
	apply(lease.Decide, "m0#18f2", commands[0])
	apply(lease.Decide, "m0#18f2", commands[1])
	apply(lease.Announce, "m1#18f3", commands[2])
	apply(lease.Announce, "m2#18f4", commands[2])
	apply(lease.Decide, "m0#18f2", commands[4])
	apply(lease.Decide, "m0#18f2", commands[5])
	encoded, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored := testutil.ReadFixture(t, "applied.json")
	if !bytes.Equal(encoded, stored) {
		t.Errorf("found    %s\nexpected %s", encoded, stored)
	}
}

// A digest that differs from the leader's must give a *DigestMismatchError, which is reported once, with the text by which the
// tests of processes recognize it. The member then makes no more calls.
func TestPlanThatDiffersIsReported(t *testing.T) {
	var reports []memberEvent
	c, err := New(Config{Slots: 8, Notify: func(message string) {
		reports = append(reports, memberEvent{Kind: eventNotified, Text: message})
	}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	differing := storedCommands(t)[0]
	differing.Freeze.Digest++
	var mismatch *DigestMismatchError
	if _, _, err := applyFreeze(&c.state, *differing.Freeze); !errors.As(err, &mismatch) || mismatch.Expected != differing.Freeze.Digest {
		t.Errorf("error %v, expected a *DigestMismatchError", err)
	}
	for range 2 {
		c.Apply(0, lease.Command{Kind: lease.Decide, Duty: Duty, Body: differing.encode()}, lease.Outcome{Accepted: true})
	}
	if len(reports) != 1 || !isDigestMismatch(reports[0]) {
		t.Errorf("reports %+v, expected one of a digest mismatch", reports)
	}
	if call := c.BeginCall("key", ring.Idempotent); call.IsAllowed() {
		t.Errorf("a call of a diverged member was allowed: %+v", call)
	}
}
