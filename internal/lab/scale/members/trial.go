package members

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"time"

	"thymechute/internal/fleet/membership"
	"thymechute/internal/lab/scale"
)

const (
	startGCPercent = 400 // while all members are started

	pushPullCount         = 8
	maxQuietDatagramBytes = 300 // datagram bytes per member and probe interval; below it gossip is quiet

	updateInterval   = time.Second
	propagationDelay = 2 * time.Second // for the last update to reach all members
)

// trial is one run of a plan.
type trial struct {
	plan    Plan
	fleet   *fleet
	random  *rand.Rand
	outcome Outcome
}

// RunTrial runs a plan in this process, which must do nothing else because the figures are those of the process.
func RunTrial(ctx context.Context, plan Plan, progress func(string)) (Outcome, error) {
	t := &trial{plan: plan, fleet: newFleet(plan.ProbeInterval, plan.SyncInterval), random: rand.New(rand.NewPCG(plan.Seed, uint64(plan.Size)))}
	t.outcome.Size = plan.Size
	defer t.fleet.shutdown()
	for _, phase := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"start", t.start},
		{"quiet", t.measureQuiet},
		{"changes", t.updateRecords},
		{"kills", t.killAndRestart},
		{"restarts", t.restartGracefully},
		{"cut", t.partitionRegion},
	} {
		began := time.Now()
		if err := phase.run(ctx); err != nil {
			return t.outcome, fmt.Errorf("%s: %w", phase.name, err)
		}
		progress(fmt.Sprintf("%d members: %s, %.1f s", plan.Size, phase.name, time.Since(began).Seconds()))
	}
	return t.outcome, nil
}

// start starts all members. All joins happen in one process, so the garbage collector runs less often meanwhile; otherwise mainly the
// collector would be measured. Later windows run with the previous setting.
func (t *trial) start(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	previous := debug.SetGCPercent(startGCPercent)
	defer debug.SetGCPercent(previous)
	if err := t.fleet.grow(ctx, t.plan.Size); err != nil {
		return err
	}
	if err := t.waitForAgreement(ctx, "after the start"); err != nil {
		return err
	}
	t.outcome.StartAgreeMillis = scale.Milliseconds(time.Since(began))
	if err := t.settle(ctx); err != nil {
		return err
	}
	t.outcome.Start, err = t.windowSince(before)
	return err
}

// waitForAgreement waits until all members agree. A timeout is recorded as a fault and is not an error.
func (t *trial) waitForAgreement(ctx context.Context, when string) error {
	err := t.fleet.waitForAgreement(ctx, t.plan.AgreementTimeout)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		t.outcome.Faults = append(t.outcome.Faults, when+": "+err.Error())
	}
	return nil
}

// settle waits until little more than health checks is sent. A timeout is counted.
func (t *trial) settle(ctx context.Context) error {
	interval := min(time.Second, t.plan.ProbeInterval)
	for began := time.Now(); time.Since(began) < t.plan.SettleTimeout; {
		window, err := t.measureWindow(ctx, interval)
		if err != nil {
			return err
		}
		if window.DatagramBytes < maxQuietDatagramBytes {
			return nil
		}
	}
	t.outcome.SettleTimeouts++
	return nil
}

// measureQuiet measures traffic, memory, push/pulls, and bytes by message kind, without events.
func (t *trial) measureQuiet(ctx context.Context) error {
	var err error
	if t.outcome.Quiet, err = t.measureWindow(ctx, t.plan.QuietWindow); err != nil {
		return err
	}
	runtime.GC()
	debug.FreeOSMemory()
	usage, err := scale.OwnUsage()
	if err != nil {
		return err
	}
	t.outcome.ResidentBytes = float64(usage.ResidentBytes) / float64(t.plan.Size)
	if err := t.measurePushPulls(); err != nil {
		return err
	}
	t.fleet.meter.tracing.Store(true)
	t.outcome.Trace, err = t.measureWindow(ctx, t.plan.TraceWindow)
	t.fleet.meter.tracing.Store(false)
	return err
}

// measurePushPulls triggers push/pulls at some members and measures their size. In a large fleet a member starts one every few
// minutes, and members that started together are synchronized at first, so a window of some seconds may contain none.
func (t *trial) measurePushPulls() error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	for _, h := range t.randomMembers(pushPullCount) {
		h.member.PushPull()
	}
	window, err := t.windowSince(before)
	if err == nil && window.Streams > 0 {
		t.outcome.PushPullBytes = window.StreamBytes / window.Streams
	}
	return err
}

// updateRecords updates the record of a random member every second, and measures the cost of an update.
func (t *trial) updateRecords(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	live := t.fleet.liveMembers()
	for n := range t.plan.RecordUpdates {
		h := live[t.random.IntN(len(live))]
		record := h.record()
		record.LagMS = n + 1
		t.setRecord(h, record)
		if err := scale.Wait(ctx, updateInterval); err != nil {
			return err
		}
	}
	if err := scale.Wait(ctx, propagationDelay); err != nil {
		return err
	}
	window, err := t.windowSince(before)
	if err != nil || t.plan.RecordUpdates == 0 {
		return err
	}
	quiet, updates := t.outcome.Quiet, float64(t.plan.RecordUpdates)
	quietBytes := quiet.DatagramBytes / quiet.Seconds * window.Seconds
	t.outcome.UpdateBytes = (window.DatagramBytes - quietBytes) / updates // gossip is sent in datagrams only
	quietMillis := quiet.CPUMillis / quiet.Seconds * window.Seconds
	t.outcome.UpdateCPUMillis = (window.CPUMillis - quietMillis) / updates
	return nil
}

// setRecord updates a member's record. Failures are counted.
func (t *trial) setRecord(h *hollowMember, record membership.Record) {
	if err := h.member.SetRecord(record); err != nil {
		t.outcome.FailedUpdates++
	}
}

// randomMembers returns up to count random live members, but not the seeds. If there are fewer than count, their number is even.
func (t *trial) randomMembers(count int) []*hollowMember {
	live := t.fleet.liveMembers()[seedCount+1:]
	t.random.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(count, len(live)/2*2)]
}
