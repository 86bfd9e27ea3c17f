package consensus

import (
	"testing"
	"time"
)

// A member of a large fleet tells how far it has applied the log minutes apart, and the log moves on meanwhile.
func TestWhoHadCaughtUpStaysSoUntilItTellsOtherwiseOrNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := &seen{}
	if s.caughtUp(1000, now) {
		t.Error("caught up with nothing applied")
	}
	s.Applied = 500
	if s.caughtUp(1000, now) {
		t.Error("caught up 500 entries behind")
	}
	s.Applied = 990
	if !s.caughtUp(1000, now) {
		t.Error("not caught up 10 entries behind")
	}
	if !s.caughtUp(2000, now.Add(caughtFor/2)) {
		t.Error("no longer caught up, though it has told nothing else")
	}
	if s.caughtUp(2000, now.Add(caughtFor)) {
		t.Error("caught up for ever by one word")
	}
	s.Applied = 1500
	if s.caughtUp(2000, now.Add(caughtFor/2)) {
		t.Error("caught up though it has told that it is behind")
	}
}
