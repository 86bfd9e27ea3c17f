package loop

import (
	"testing"
	"time"
)

func TestAfterAStandstillAllIsReadFirst(t *testing.T) {
	at := time.Now()
	l := &Loop{wake: at, read: true}
	if l.putOff(at.Add(lateWake / 2)) {
		t.Error("a round in time was put off")
	}
	for n := range mostGathers {
		if l.read = true; !l.putOff(at.Add(time.Second)) {
			t.Fatalf("put off only %d times while more came", n)
		}
	}
	if l.read = true; l.putOff(at.Add(time.Second)) {
		t.Error("put off without end")
	}
	if l.putOff(at.Add(time.Second)) {
		t.Error("put off though nothing came")
	}
}
