package consensus

import (
	"testing"
	"time"
)

// In a large fleet a member publishes its applied index only every few minutes while the log grows. The last published index
// must therefore count for caughtUpTTL, unless it shows that the member is behind.
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
		t.Error("not caught up, though it has published no other index since")
	}
	if p.isCaughtUp(2000, now.Add(caughtUpTTL)) {
		t.Error("caught up, though the published index is older than caughtUpTTL")
	}
	p.Applied = 1500
	if p.isCaughtUp(2000, now.Add(caughtUpTTL/2)) {
		t.Error("caught up, though the last published index is 500 entries behind")
	}
}
