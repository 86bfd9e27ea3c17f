package node

import (
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

func TestKeysStayWithinTableBytes(t *testing.T) {
	n, peers := newReady(nil)
	n.keys.bytes = n.maxTableBytes - keyEntryBytes - 4
	n.admitRequest(peers, "a", "keyed", "one", 0)
	n.admitRequest(peers, "b", "keyed", "one", 0) // coalesces
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("five!")})
	n.Tick()
	peers.expect(t, 1, "answer b 0 five!") // though it isn't cached
	n.admitRequest(peers, "c", "keyed", "one", 0)
	peers.expect(t, 1, "answer c 2")
	n.keys.bytes -= keyEntryBytes
	otherBytes := n.keys.bytes - keyEntryBytes
	n.admitRequest(peers, "d", "keyed", "two", 0)
	n.RunEnded("d", RunResult{Outcome: policy.OK, Body: []byte("four")})
	n.Tick()
	n.admitRequest(peers, "e", "keyed", "two", 0)
	peers.expect(t, 1, "answer e 0 four")
	n.admitRequest(peers, "f", "keyed", "three", 0)
	peers.expect(t, 1, "answer f 1")
	for _, entry := range n.keys.entries {
		entry.expiresAt = n.now - time.Minute
	}
	n.sweep()
	if n.keys.bytes != otherBytes || len(n.keys.entries) != 0 {
		t.Errorf("%d bytes, %d keys left", n.keys.bytes-otherBytes, len(n.keys.entries))
	}
	n.maxTableBytes = requestBytes
	n.keys.bytes = 0
	n.admitRequest(peers, "g", "safe", "", 0)
	n.admitRequest(peers, "h", "safe", "", 0)
	peers.expect(t, 1, "answer h 1")
}

func TestKeyIsInForceAtTheArrivalOfTheRetry(t *testing.T) {
	n, peers := newReady(func(s *settings.Settings) { s.Classes[1].KeyWindow = settings.NumberOf(0.05) })
	n.admitRequest(peers, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("one")})
	n.Tick()
	entry := n.keys.entries["keyed key"]
	entry.expiresAt = n.now - 50*time.Millisecond // expired when the retry is read, not when it arrived
	n.admitRequest(peers, "b", "keyed", "key", 100*time.Millisecond)
	peers.expect(t, 1, "answer b 0 one")
	n.admitRequest(peers, "c", "keyed", "key", 0)
	peers.expect(t, 1, "start c")
}

// A run may take longer than its key window. Its key remains in force until the run ends: a retry gets its result, and a request
// with another body does not replace it, as requests coalesced on the first one would get the result of the second.
func TestKeyDoesNotExpireDuringTheRun(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "a", "keyed", "key", 0)
	n.admitRequest(peers, "b", "keyed", "key", 0)
	n.keys.entries["keyed key"].expiresAt = n.now - 10*expiredKeyRetention
	n.nextSweep = 0
	n.Tick()
	n.admitRequest(peers, "c", "keyed", "key", 0)
	if err := n.Admit(peers, "d", Request{
		ID:         "d",
		Class:      "keyed",
		Key:        "key",
		MemoryKB:   1,
		ReceivedAt: time.Now(),
		Body:       []byte("another"),
	}); err != nil {
		t.Fatal(err)
	}
	n.Tick()
	peers.expect(t, 1, "answer d 2")
	peers.expect(t, 1, "start")
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("one")})
	n.Tick()
	for _, id := range []string{"a", "b", "c"} {
		peers.expect(t, 1, "answer "+id+" 0 one")
	}
	n.admitRequest(peers, "e", "keyed", "key", 0) // the window has expired and the run has ended
	peers.expect(t, 1, "start e")
}

// A key expires after the longer of its two windows, independent of the settings in force when the retry arrives.
func TestKeyExpiresAfterTheLongerWindow(t *testing.T) {
	for _, window := range []float64{90, 1} {
		n, peers := newReady(nil) // with windows of 10 s
		n.admitRequest(peers, "a", "keyed", "k", 0)
		n.RunEnded("a", RunResult{Outcome: policy.OK, Duration: time.Millisecond, Body: []byte("r")})
		n.Tick()
		before := testutil.TypedSettings(nil)
		expiresAt := time.Duration(0)
		after := testutil.TypedSettings(func(s *settings.Settings) {
			s.Classes[1].KeyWindow = settings.NumberOf(window)
			s.Server.FleetSize = settings.NumberOf(2)
		})
		n.advertisedLoad = 0.5
		for range 3 { // applied, reverted, and applied again
			n.applySettings(t, before, after)
			n.Tick()
			if entry := n.keys.entries["keyed k"]; expiresAt == 0 {
				expiresAt = entry.expiresAt
			} else if entry.expiresAt != expiresAt {
				t.Errorf("expires at %v, at %v after the first switch", entry.expiresAt, expiresAt)
			}
			if n.advertisedLoad >= 0 {
				t.Errorf("%v is still advertised, in the earlier form", n.advertisedLoad)
			}
			n.applySettings(t, after, before)
			n.Tick()
		}
		n.applySettings(t, before, after)
		n.Tick()
		n.start = n.start.Add(-max(time.Duration(window)*time.Second, 10*time.Second) + time.Second)
		n.admitRequest(peers, "b", "keyed", "k", 0)
		peers.expect(t, 1, "start a")
		peers.expect(t, 0, "start b")
		peers.expect(t, 1, "answer b 0 r")
	}
}

func TestExpiredResultIsNotSharedWithTheNextWindow(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("old")})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt = n.now - time.Second
	n.admitRequest(peers, "b", "keyed", "key", 0)
	n.admitRequest(peers, "c", "keyed", "key", 0)
	peers.expect(t, 1, "start b")
	peers.expect(t, 0, "answer c")
	n.RunEnded("b", RunResult{Outcome: policy.OK, Body: []byte("new")})
	n.Tick()
	peers.expect(t, 1, "answer c 0 new")
}

func TestExpiredKeysAreDropped(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt, n.nextSweep = n.now-2*expiredKeyRetention, 0
	n.Tick()
	if len(n.keys.entries) != 0 {
		t.Error("the expired key is still in the table")
	}
}

func TestRetryGetsTheLateResultOfAFailedRequest(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "b", "keyed", "other", 0)
	n.controller.Tick(n.now+3*time.Second, policy.Gauges{Busy: -1, Runnable: -1}) // b runs past its deadline
	peers.expect(t, 1, "answer b 2")
	n.RunEnded("b", RunResult{Outcome: policy.OK, Body: []byte("late")})
	n.admitRequest(peers, "c", "keyed", "other", 0)
	peers.expect(t, 1, "answer c 0 late")
	peers.expect(t, 1, "answer b")
	peers.expect(t, 1, "start")
}

// A message that a broker redelivers may have run at another instance, or at an earlier incarnation of this one.
func TestRedeliveredRequestRunsOnlyIfSafe(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRedelivered(peers, "a", "keyed", "key", "x")
	n.admitRedelivered(peers, "b", "unsafe", "", "x")
	peers.expect(t, 1, "answer a 2")
	peers.expect(t, 1, "answer b 2")
	peers.expect(t, 0, "start")
	n.admitRedelivered(peers, "c", "safe", "", "x")
	peers.expect(t, 1, "start c")
	n.admitRequest(peers, "d", "keyed", "key", 0)
	n.RunEnded("d", RunResult{Outcome: policy.OK, Body: []byte("cached")})
	n.Tick()
	n.admitRedelivered(peers, "e", "keyed", "key", "x")
	peers.expect(t, 1, "answer e 0 cached")
}

// An expired key remains in the table for expiredKeyRetention. A message that is redelivered then gets its own result, never that of
// another, and does not run.
func TestRedeliveredRequestGetsOnlyItsOwnResultAfterTheKeyWindow(t *testing.T) {
	n, peers := newReady(nil)
	n.admitRequest(peers, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("cached")})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt = n.now - time.Millisecond
	n.admitRedelivered(peers, "b", "keyed", "key", "x")
	peers.expect(t, 1, "answer b 0 cached")
	n.admitRedelivered(peers, "c", "keyed", "key", "another")
	peers.expect(t, 1, "answer c 2")
	n.dropKey("keyed key")
	n.admitRedelivered(peers, "d", "keyed", "key", "x")
	peers.expect(t, 1, "answer d 2")
	peers.expect(t, 1, "start")
}
