package rolling

import (
	"strings"
	"testing"

	"thymechute/internal/decide/lease"
	"thymechute/internal/testutil"
)

// Commands written by an older build (commit d489d24) must be decoded, and the same commands must be encoded to the same bytes.
func TestCommandsOfOlderBuildRoundTrip(t *testing.T) {
	stored := testutil.ReadFixture(t, "commands.jsonl")
	release, none := "2026.12.01-1", ""
	commands := []command{{Release: &release}, {Release: &none}, {Drain: "m1", Incarnation: 0x18f3a2b4c5000001}}
	lines := strings.Split(strings.TrimSpace(string(stored)), "\n")
	if len(lines) != len(commands) {
		t.Fatalf("%d stored commands, expected %d", len(lines), len(commands))
	}
	for n, line := range lines {
		decoded, ok := decodeCommand(lease.Command{Kind: lease.Decide, Duty: Duty, Body: line}, lease.Outcome{Accepted: true})
		if !ok || decoded.encode() != line {
			t.Errorf("found    %s, %v\nexpected %s", decoded.encode(), ok, line)
		}
		if built := commands[n].encode(); built != line {
			t.Errorf("found    %s\nexpected %s", built, line)
		}
	}
}
