package node

import (
	"testing"
	"time"

	"thymechute/internal/testutil"
	"thymechute/policy"
	"thymechute/policy/settings"
)

func TestKeysStayWithinTableBytes(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.keys.bytes = n.maxTableBytes - keyEntryBytes - 4
	n.admitRequest(rec, "a", "keyed", "one", 0)
	n.admitRequest(rec, "b", "keyed", "one", 0) // coalesces
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("five!")})
	n.Tick()
	rec.expect(t, 1, "answer b 0 five!") // although the result is not cached
	n.admitRequest(rec, "c", "keyed", "one", 0)
	rec.expect(t, 1, "answer c 2")
	n.keys.bytes -= keyEntryBytes
	otherBytes := n.keys.bytes - keyEntryBytes
	n.admitRequest(rec, "d", "keyed", "two", 0)
	n.RunEnded("d", RunResult{Outcome: policy.OK, Body: []byte("four")})
	n.Tick()
	n.admitRequest(rec, "e", "keyed", "two", 0)
	rec.expect(t, 1, "answer e 0 four")
	n.admitRequest(rec, "f", "keyed", "three", 0)
	rec.expect(t, 1, "answer f 1")
	for _, entry := range n.keys.entries {
		entry.expiresAt = n.now - time.Minute
	}
	n.sweep()
	if n.keys.bytes != otherBytes || len(n.keys.entries) != 0 {
		t.Errorf("%d bytes and %d keys left after all keys expired, want none", n.keys.bytes-otherBytes, len(n.keys.entries))
	}
	n.maxTableBytes = requestBytes
	n.keys.bytes = 0
	n.admitRequest(rec, "g", "safe", "", 0)
	n.admitRequest(rec, "h", "safe", "", 0)
	rec.expect(t, 1, "answer h 1")
}

func TestKeyIsCheckedAtTheArrivalTimeOfTheRetry(t *testing.T) {
	n, rec := newReadyInstance(func(s *settings.Settings) { s.Classes[1].KeyWindow = settings.NumberOf(0.05) })
	n.admitRequest(rec, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("one")})
	n.Tick()
	entry := n.keys.entries["keyed key"]
	entry.expiresAt = n.now - 50*time.Millisecond // expired when the retry is read, not when it arrived
	n.admitRequest(rec, "b", "keyed", "key", 100*time.Millisecond)
	rec.expect(t, 1, "answer b 0 one")
	n.admitRequest(rec, "c", "keyed", "key", 0)
	rec.expect(t, 1, "start c")
}

// A run may take longer than its key window. Its key remains in force until the run ends: a retry gets its result, and a request
// with another body does not replace the key. Otherwise requests coalesced on the first run would get the result of the second.
func TestKeyDoesNotExpireDuringTheRun(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "keyed", "key", 0)
	n.admitRequest(rec, "b", "keyed", "key", 0)
	n.keys.entries["keyed key"].expiresAt = n.now - 10*expiredKeyRetention
	n.nextSweep = 0
	n.Tick()
	n.admitRequest(rec, "c", "keyed", "key", 0)
	if err := n.Admit(rec, "d", Request{
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
	rec.expect(t, 1, "answer d 2")
	rec.expect(t, 1, "start")
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("one")})
	n.Tick()
	for _, id := range []string{"a", "b", "c"} {
		rec.expect(t, 1, "answer "+id+" 0 one")
	}
	n.admitRequest(rec, "e", "keyed", "key", 0) // the window has expired and the run has ended
	rec.expect(t, 1, "start e")
}

// A key whose window changes expires after the longer of its two windows, whichever is in force when the retry arrives.
func TestKeyExpiresAfterTheLongerWindow(t *testing.T) {
	for _, window := range []float64{90, 1} {
		n, rec := newReadyInstance(nil) // with windows of 10 s
		n.admitRequest(rec, "a", "keyed", "k", 0)
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
				t.Errorf("the key expires at %v, want %v as after the first delta", entry.expiresAt, expiresAt)
			}
			if n.advertisedLoad >= 0 {
				t.Errorf("load value %v of the former settings is still advertised", n.advertisedLoad)
			}
			n.applySettings(t, after, before)
			n.Tick()
		}
		n.applySettings(t, before, after)
		n.Tick()
		n.start = n.start.Add(-max(time.Duration(window)*time.Second, 10*time.Second) + time.Second)
		n.admitRequest(rec, "b", "keyed", "k", 0)
		rec.expect(t, 1, "start a")
		rec.expect(t, 0, "start b")
		rec.expect(t, 1, "answer b 0 r")
	}
}

func TestExpiredResultIsNotSharedWithTheNextWindow(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("old")})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt = n.now - time.Second
	n.admitRequest(rec, "b", "keyed", "key", 0)
	n.admitRequest(rec, "c", "keyed", "key", 0)
	rec.expect(t, 1, "start b")
	rec.expect(t, 0, "answer c")
	n.RunEnded("b", RunResult{Outcome: policy.OK, Body: []byte("new")})
	n.Tick()
	rec.expect(t, 1, "answer c 0 new")
}

func TestExpiredKeysAreDropped(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt, n.nextSweep = n.now-2*expiredKeyRetention, 0
	n.Tick()
	if len(n.keys.entries) != 0 {
		t.Error("the expired key is still in the table")
	}
}

func TestRetryGetsTheLateResultOfAFailedRequest(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "b", "keyed", "other", 0)
	n.controller.Tick(n.now+3*time.Second, policy.Gauges{Busy: -1, Runnable: -1}) // b runs past its deadline
	rec.expect(t, 1, "answer b 2")
	n.RunEnded("b", RunResult{Outcome: policy.OK, Body: []byte("late")})
	n.admitRequest(rec, "c", "keyed", "other", 0)
	rec.expect(t, 1, "answer c 0 late")
	rec.expect(t, 1, "answer b")
	rec.expect(t, 1, "start")
}

// A message that a broker redelivers may have run at another instance, or at an earlier incarnation of this one.
func TestRedeliveredRequestRunsOnlyIfSafe(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRedelivered(rec, "a", "keyed", "key", "x")
	n.admitRedelivered(rec, "b", "unsafe", "", "x")
	rec.expect(t, 1, "answer a 2")
	rec.expect(t, 1, "answer b 2")
	rec.expect(t, 0, "start")
	n.admitRedelivered(rec, "c", "safe", "", "x")
	rec.expect(t, 1, "start c")
	n.admitRequest(rec, "d", "keyed", "key", 0)
	n.RunEnded("d", RunResult{Outcome: policy.OK, Body: []byte("cached")})
	n.Tick()
	n.admitRedelivered(rec, "e", "keyed", "key", "x")
	rec.expect(t, 1, "answer e 0 cached")
}

// An expired key remains in the table for expiredKeyRetention. A message that is redelivered then gets its own result, never that of
// another, and does not run.
func TestRedeliveredRequestGetsOnlyItsOwnResultAfterTheKeyWindow(t *testing.T) {
	n, rec := newReadyInstance(nil)
	n.admitRequest(rec, "a", "keyed", "key", 0)
	n.RunEnded("a", RunResult{Outcome: policy.OK, Body: []byte("cached")})
	n.Tick()
	n.keys.entries["keyed key"].expiresAt = n.now - time.Millisecond
	n.admitRedelivered(rec, "b", "keyed", "key", "x")
	rec.expect(t, 1, "answer b 0 cached")
	n.admitRedelivered(rec, "c", "keyed", "key", "another")
	rec.expect(t, 1, "answer c 2")
	n.dropKey("keyed key")
	n.admitRedelivered(rec, "d", "keyed", "key", "x")
	rec.expect(t, 1, "answer d 2")
	rec.expect(t, 1, "start")
}
