// This file owns the phases of a trial in which something fails: members killed, restarted, and a region cut and healed. It must
// never leave a member that it took away.

package members

import (
	"context"
	"time"

	"thymechute/internal/fleet/membership"
)

// kills ends some members with no word; the seeds stay.
func (t *trial) kills(ctx context.Context) error {
	killed := t.choose(t.plan.Kills)
	began := time.Now()
	for _, h := range killed {
		h.kill()
	}
	if err := t.agree(ctx, "after the kills"); err != nil {
		return err
	}
	first, last := time.Duration(0), time.Duration(0)
	for _, h := range killed {
		d := t.fleet.forgetDeath(h.name)
		if d == nil || d.heard == 0 {
			continue
		}
		if since := d.first.Sub(began); first == 0 || since < first {
			first = since
		}
		last = max(last, d.last.Sub(began))
	}
	t.out.DetectFirstMillis, t.out.DetectAllMillis = millis(first), millis(last)
	for _, h := range killed { // cold, under the same names
		if err := h.start(); err != nil {
			return err
		}
	}
	return t.agree(ctx, "after the killed came back")
}

// restarts ends members by notice and starts them cold, as a release does; each claims its rank, and one other moves to the
// rank that was free.
func (t *trial) restarts(ctx context.Context) error {
	if err := t.settle(ctx); err != nil {
		return err
	}
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	chosen := t.choose(2 * t.plan.Restarts)
	restarted, movers := chosen[:len(chosen)/2], chosen[len(chosen)/2:]
	for n, h := range restarted {
		next := time.After(t.plan.RestartEach)
		if err := t.restart(h, movers[n]); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next:
		}
	}
	began := time.Now()
	if err := t.agree(ctx, "after the restarts"); err != nil {
		return err
	}
	t.out.RestartAgreeMillis = millis(time.Since(began))
	if err := wait(ctx, 3*time.Second); err != nil {
		return err
	}
	window, err := t.since(before)
	if err != nil || len(restarted) == 0 {
		return err
	}
	t.out.RestartBytes = (window.Bytes - t.out.Quiet.perSecond()*window.Seconds) / float64(len(restarted))
	return nil
}

func (t *trial) restart(h, mover *hollow) error {
	h.leave()
	t.fleet.forgetDeath(h.name)
	if err := h.start(); err != nil {
		return err
	}
	h.rank, mover.rank = mover.rank, h.rank
	t.set(h, h.record())
	t.set(mover, mover.record())
	return nil
}

// set changes a record; one that waits long for its turn in memberlist's queue is on its way all the same, and counted.
func (t *trial) set(h *hollow, record membership.Record) {
	if err := h.member.SetRecord(record); err != nil {
		t.out.LateChanges++
	}
}

// choose draws live members other than the seeds.
func (t *trial) choose(count int) []*hollow {
	live := t.fleet.live()[seedCount+1:]
	t.random.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(count, len(live)/2*2)]
}

// cut holds back all between one region and the others, and heals it.
func (t *trial) cut(ctx context.Context) error {
	t.out.FalseDeaths = t.fleet.falseDeaths.Load()
	if t.plan.Cut == 0 {
		return nil
	}
	region := t.random.IntN(regions)
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	t.fleet.network.cutOff(region)
	for time.Since(began) < t.plan.Cut {
		if t.out.CutAgreeMillis == 0 && t.sidesAgree(region) {
			t.out.CutAgreeMillis = millis(time.Since(began))
		}
		if err := wait(ctx, pollEvery); err != nil {
			return err
		}
	}
	during, err := t.since(before)
	if err != nil {
		return err
	}
	t.out.CutBytes = during.perSecond()
	t.out.FalseDeaths = t.fleet.falseDeaths.Load()

	healed, err := t.snapshot()
	if err != nil {
		return err
	}
	began = time.Now()
	t.fleet.network.heal()
	if err := t.agree(ctx, "after the heal"); err != nil {
		return err
	}
	t.out.HealAgreeMillis = millis(time.Since(began))
	if left := t.plan.AfterHeal - time.Since(began); left > 0 {
		if err := wait(ctx, left); err != nil {
			return err
		}
	}
	if err := t.agree(ctx, "some time after the heal"); err != nil {
		return err
	}
	t.out.FalseDeathsHeal = t.fleet.falseDeaths.Load() - t.out.FalseDeaths
	t.out.Heal, err = t.since(healed)
	return err
}

func (t *trial) sidesAgree(region int) bool {
	count := map[bool]int64{}
	live := t.fleet.live()
	for _, h := range live {
		count[h.region == region]++
	}
	for _, h := range live {
		if h.known.Load() != count[h.region == region] {
			return false
		}
	}
	return true
}
