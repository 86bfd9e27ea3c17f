package quota

import (
	"testing"
	"time"
)

func TestRequestsAtLowRateAreAllowed(t *testing.T) {
	b := NewTokenBucket()
	const fleetSize = 100
	b.FleetRate = 10 // of the fleet: 0.1 of this server
	for n := range 30 {
		if !b.Allow(time.Duration(n)*10*time.Second, fleetSize) {
			t.Fatalf("request %d at the rate counts as beyond it", n)
		}
	}
	b.tokens = 0
	if b.Allow(291*time.Second, fleetSize) {
		t.Error("a request at ten times the rate counts as within it")
	}
}

func TestZeroRateIsUnlimited(t *testing.T) {
	b := NewTokenBucket()
	for range 100 {
		if !b.Allow(0, 1) {
			t.Fatal("a request without a rate counts as beyond it")
		}
	}
}
