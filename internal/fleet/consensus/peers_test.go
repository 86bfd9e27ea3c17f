package consensus

import (
	"testing"
	"time"
)

// In a large fleet a member publishes its applied index only every few minutes, and the log grows meanwhile.
func TestCaughtUpPeerStaysSoUntilItLagsOrExpires(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := &peerState{}
	if p.isCaughtUp(1000, now) {
		t.Error("caught up with nothing applied")
	}
	p.Applied = 500
	if p.isCaughtUp(1000, now) {
		t.Error("caught up 500 entries behind")
	}
	p.Applied = 990
	if !p.isCaughtUp(1000, now) {
		t.Error("not caught up 10 entries behind")
	}
	if !p.isCaughtUp(2000, now.Add(caughtUpTTL/2)) {
		t.Error("no longer caught up, though it has published nothing else")
	}
	if p.isCaughtUp(2000, now.Add(caughtUpTTL)) {
		t.Error("one record counts as caught up for longer than caughtUpTTL")
	}
	p.Applied = 1500
	if p.isCaughtUp(2000, now.Add(caughtUpTTL/2)) {
		t.Error("caught up though it has published that it is behind")
	}
}
