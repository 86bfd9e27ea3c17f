package share

import (
	"testing"
	"time"
)

func TestShareUnderOneItemInTwoSecondsCanBeMet(t *testing.T) {
	b := New()
	b.Rate = 0.1
	for n := range 30 {
		if b.Beyond(time.Duration(n) * 10 * time.Second) {
			t.Fatalf("item %d at the share counts as beyond it", n)
		}
	}
	b.tokens = 0
	if !b.Beyond(291 * time.Second) {
		t.Error("an item at ten times the share counts as within it")
	}
}

func TestNoRateIsNoBound(t *testing.T) {
	b := New()
	for range 100 {
		if b.Beyond(0) {
			t.Fatal("an item without a told share counts as beyond it")
		}
	}
}
