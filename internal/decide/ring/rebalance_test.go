package ring

import (
	"testing"
	"time"
)

var rebalancePolicy = RebalancePolicy{StartRatio: 1.2, StopRatio: 1.05, MaxMigrations: 20,
	FreezeTime: 500 * time.Millisecond, ReliefHorizon: time.Minute}

func TestRebalanceLowersPeakLoadWithFewMigrations(t *testing.T) {
	for seed := range uint64(10) {
		empty, _ := New(1024)
		table, _, _ := mustPlan(t, empty, testBackends(9), BalanceBound{})
		estimate := NewLoadEstimate(1024)
		counter := NewLoadCounter(1024)
		for range 6 {
			recordZipfCalls(seed, table, 20_000, counter.Record)
			top, all := counter.Report(256)
			estimate.AddPeriod([][]SlotLoad{top}, all)
		}
		before := table.PeakLoadRatio(estimate.PerSlot())
		next, migrations := table.Rebalance(estimate.PerSlot(), BalanceBound{Slack: 0.2}, rebalancePolicy)
		after := next.PeakLoadRatio(estimate.PerSlot())
		hasNoRelief := before > rebalancePolicy.StartRatio && (after >= before || len(migrations) == 0)
		if hasNoRelief || len(migrations) > rebalancePolicy.MaxMigrations {
			t.Errorf("seed %d: peak load ratio changed from %.3f to %.3f by %d migrations", seed, before, after, len(migrations))
		}
		t.Logf("seed %d: peak load ratio from %.3f to %.3f by %d migrations", seed, before, after, len(migrations))
		again, more := next.Rebalance(estimate.PerSlot(), BalanceBound{Slack: 0.2}, rebalancePolicy)
		if len(more) > 0 && again.PeakLoadRatio(estimate.PerSlot()) >= after {
			t.Errorf("seed %d: the second call made %d migrations that do not lower the peak load", seed, len(more))
		}
	}
}

func TestRebalanceSkipsMigrationsWithoutSufficientRelief(t *testing.T) {
	empty, _ := New(8)
	table, _, _ := mustPlan(t, empty, testBackends(2), BalanceBound{})
	load := make([]float64, 8)
	top := 0
	for s := range load {
		if b, _ := table.Owner(s); b.Name == "b000" {
			top = s
		}
	}
	load[top] = 100 // all of the load, so its migration would only move the overload
	if _, migrations := table.Rebalance(load, BalanceBound{Slack: 0.5}, rebalancePolicy); len(migrations) != 0 {
		t.Errorf("migrations that only move the overload: %v", migrations)
	}
	for s := range load {
		if b, _ := table.Owner(s); b.Name == "b000" && s != top {
			load[s] = 10
		}
	}
	next, migrations := table.Rebalance(load, BalanceBound{Slack: 0.5}, rebalancePolicy)
	if b, _ := next.Owner(top); b.Name != "b000" || len(migrations) == 0 {
		t.Errorf("want migrations of the other slots, not of the most loaded one: %v", migrations)
	}
	expensive := rebalancePolicy
	expensive.FreezeTime = 2 * time.Minute // a migration costs more than it relieves
	if _, migrations := table.Rebalance(load, BalanceBound{Slack: 0.5}, expensive); len(migrations) != 0 {
		t.Errorf("migrations that cost more than they relieve: %v", migrations)
	}
	if _, migrations := table.Rebalance(make([]float64, 8), BalanceBound{}, rebalancePolicy); len(migrations) != 0 {
		t.Errorf("migrations without any load: %v", migrations)
	}
}
