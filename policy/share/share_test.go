package share

import (
	"testing"
	"time"
)

func TestShareUnderOneItemInTwoSecondsCanBeMet(t *testing.T) {
	b := New()
	const fleet = 100
	b.Quota = 10 // of the fleet's: 0.1 of this server's
	for n := range 30 {
		if b.Beyond(time.Duration(n)*10*time.Second, fleet) {
			t.Fatalf("item %d at the share counts as beyond it", n)
		}
	}
	b.tokens = 0
	if !b.Beyond(291*time.Second, fleet) {
		t.Error("an item at ten times the share counts as within it")
	}
}

func TestNoRateIsNoBound(t *testing.T) {
	b := New()
	for range 100 {
		if b.Beyond(0, 1) {
			t.Fatal("an item without a told share counts as beyond it")
		}
	}
}
