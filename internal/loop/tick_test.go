package loop

import (
	"testing"
	"time"
)

func TestTickDeferredAfterStallUntilInputIsRead(t *testing.T) {
	at := time.Now()
	l := &Loop{nextTick: at, hasReceived: true}
	if l.deferTick(at.Add(stallThreshold / 2)) {
		t.Error("a tick on time was deferred")
	}
	for n := range maxDeferrals {
		l.hasReceived = true
		if !l.deferTick(at.Add(time.Second)) {
			t.Fatalf("deferred only %d times while input arrived", n)
		}
	}
	l.hasReceived = true
	if l.deferTick(at.Add(time.Second)) {
		t.Error("deferred more than maxDeferrals times")
	}
	if l.deferTick(at.Add(time.Second)) {
		t.Error("deferred although no input had arrived")
	}
}
