package members

import (
	"context"
	"time"

	"thymechute/internal/lab/scale"
)

// restartSettleTime is how long the effects of restarts are measured after all members agree.
const restartSettleTime = 3 * time.Second

// killAndRestart kills some members at once, measures how long the others take to declare them dead, and restarts them with the same
// names.
func (t *trial) killAndRestart(ctx context.Context) error {
	killed := t.randomMembers(t.plan.Kills)
	began := time.Now()
	for _, h := range killed {
		h.kill()
	}
	if err := t.waitForAgreement(ctx, "after the kills"); err != nil {
		return err
	}
	t.recordDetection(killed, began)
	for _, h := range killed {
		if err := h.start(); err != nil {
			return err
		}
	}
	return t.waitForAgreement(ctx, "after the killed members restarted")
}

// recordDetection records the times until the first and the last declaration of a killed member as dead.
func (t *trial) recordDetection(killed []*hollowMember, began time.Time) {
	first, last := time.Duration(0), time.Duration(0)
	for _, h := range killed {
		d := t.fleet.takeDeparture(h.name)
		if d == nil || d.reports == 0 {
			continue
		}
		if since := d.first.Sub(began); first == 0 || since < first {
			first = since
		}
		last = max(last, d.last.Sub(began))
	}
	t.outcome.DetectFirstMillis, t.outcome.DetectAllMillis = scale.Milliseconds(first), scale.Milliseconds(last)
}

// restartGracefully restarts members one after the other, as in a release, and measures the traffic per restart.
func (t *trial) restartGracefully(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	chosen := t.randomMembers(2 * t.plan.Restarts)
	restarted, rankSwaps := chosen[:len(chosen)/2], chosen[len(chosen)/2:]
	for n, h := range restarted {
		next := time.After(t.plan.RestartInterval)
		if err := t.restartMember(h, rankSwaps[n]); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next:
		}
	}
	began := time.Now()
	if err := t.waitForAgreement(ctx, "after the restarts"); err != nil {
		return err
	}
	t.outcome.RestartAgreeMillis = scale.Milliseconds(time.Since(began))
	if err := scale.Wait(ctx, restartSettleTime); err != nil {
		return err
	}
	window, err := t.windowSince(before)
	if err != nil || len(restarted) == 0 {
		return err
	}
	t.outcome.RestartBytes = (window.Bytes - t.outcome.Quiet.bytesPerSecond()*window.Seconds) / float64(len(restarted))
	return nil
}

// restartMember restarts a member after a graceful shutdown. It swaps the member's rank with that of rankSwap, because in a real fleet
// the member of the highest rank takes over the rank of a member that leaves.
func (t *trial) restartMember(h, rankSwap *hollowMember) error {
	h.leave()
	t.fleet.takeDeparture(h.name)
	if err := h.start(); err != nil {
		return err
	}
	h.rank, rankSwap.rank = rankSwap.rank, h.rank
	t.setRecord(h, h.record())
	t.setRecord(rankSwap, rankSwap.record())
	return nil
}

// partitionRegion partitions a random region from the others, and then heals the partition.
func (t *trial) partitionRegion(ctx context.Context) error {
	t.outcome.FalseDeaths = t.fleet.falseDeaths.Load()
	if t.plan.PartitionDuration == 0 {
		return nil
	}
	if err := t.measurePartition(ctx, t.random.IntN(regionCount)); err != nil {
		return err
	}
	t.outcome.FalseDeaths = t.fleet.falseDeaths.Load()
	return t.measureHeal(ctx)
}

func (t *trial) measurePartition(ctx context.Context, region int) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	t.fleet.network.isolate(region)
	for time.Since(began) < t.plan.PartitionDuration {
		if t.outcome.PartitionAgreeMillis == 0 && t.fleet.sidesAgree(region) {
			t.outcome.PartitionAgreeMillis = scale.Milliseconds(time.Since(began))
		}
		if err := scale.Wait(ctx, pollInterval); err != nil {
			return err
		}
	}
	window, err := t.windowSince(before)
	if err != nil {
		return err
	}
	t.outcome.PartitionBytesPerSecond = window.bytesPerSecond()
	return nil
}

func (t *trial) measureHeal(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	t.fleet.network.heal()
	if err := t.waitForAgreement(ctx, "after the heal"); err != nil {
		return err
	}
	t.outcome.HealAgreeMillis = scale.Milliseconds(time.Since(began))
	if left := t.plan.HealWindow - time.Since(began); left > 0 {
		if err := scale.Wait(ctx, left); err != nil {
			return err
		}
	}
	if err := t.waitForAgreement(ctx, "some time after the heal"); err != nil {
		return err
	}
	t.outcome.FalseDeathsAfterHeal = t.fleet.falseDeaths.Load() - t.outcome.FalseDeaths
	t.outcome.Heal, err = t.windowSince(before)
	return err
}
