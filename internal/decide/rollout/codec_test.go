package rollout

import (
	"bytes"
	"testing"
	"time"

	"thymechute/internal/testutil"
)

// A snapshot written by an older build (commit d489d24) must be readable, and the same rollout must encode to the same
// bytes.
func TestSnapshotOfOlderBuildRoundTrips(t *testing.T) {
	stored := testutil.ReadFixture(t, "rollout.json")
	const incarnation = 0x18f3a2b4c5000000
	built := New("2026.12.01-1")
	built.RecordDrain(3*time.Second, "m1", incarnation+1)
	built.RecordDrain(2*time.Second, "m0", incarnation+2)
	built.RecordDrain(5*time.Second, "m0", incarnation+3)
	encoded, err := built.Encode()
	if err != nil || !bytes.Equal(encoded, stored) {
		t.Errorf("encode: %v\nfound    %s\nexpected %s", err, encoded, stored)
	}
	decoded := New("")
	if err := decoded.Decode(time.Minute, stored); err != nil {
		t.Fatal(err)
	}
	if decoded.Release != "2026.12.01-1" || len(decoded.drained) != 3 || decoded.attempts["m0"] != 2 || decoded.attempts["m1"] != 1 {
		t.Errorf("decoded %+v, expected 3 drained processes: 2 of m0 and 1 of m1", decoded)
	}
	if at, isDrained := decoded.drained[process{"m0", incarnation + 3}]; !isDrained || at != time.Minute {
		t.Errorf("m0's second incarnation was drained at %v, %v; expected the time of decoding, 1m0s", at, isDrained)
	}
}
