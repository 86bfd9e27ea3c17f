package loop

import (
	"testing"
	"time"
)

func TestTickDeferredAfterStallUntilInputIsRead(t *testing.T) {
	at := time.Now()
	l := &Loop{nextTick: at, hasReceived: true}
	if l.deferTick(at.Add(stallThreshold / 2)) {
		t.Error("a round in time was put off")
	}
	for n := range maxDeferrals {
		if l.hasReceived = true; !l.deferTick(at.Add(time.Second)) {
			t.Fatalf("put off only %d times while more came", n)
		}
	}
	if l.hasReceived = true; l.deferTick(at.Add(time.Second)) {
		t.Error("put off without end")
	}
	if l.deferTick(at.Add(time.Second)) {
		t.Error("put off though nothing came")
	}
}
