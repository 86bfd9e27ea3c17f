package quota

import (
	"testing"
	"time"
)

func TestRequestsAtLowRateAreAllowed(t *testing.T) {
	b := NewTokenBucket()
	const fleetSize = 100
	b.FleetRate = 10 // requests per second for the fleet: 0.1 for this server
	for n := range 30 {
		if !b.Allow(time.Duration(n)*10*time.Second, fleetSize) {
			t.Fatalf("request %d at the configured rate is over the quota", n)
		}
	}
	b.tokens = 0
	if b.Allow(291*time.Second, fleetSize) {
		t.Error("a request at ten times the configured rate is within the quota")
	}
}

func TestZeroRateIsUnlimited(t *testing.T) {
	b := NewTokenBucket()
	for range 100 {
		if !b.Allow(0, 1) {
			t.Fatal("a request of a tenant without a configured rate is over the quota")
		}
	}
}
