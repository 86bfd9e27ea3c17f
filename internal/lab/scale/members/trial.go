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
	startGCPercent = 400 // while all members start

	measuredPushPulls = 8
	quietDatagrams    = 300 // bytes of datagrams per member and probe interval, below which gossip is quiet

	updateInterval = time.Second
	updateDelay    = 2 * time.Second // until the last update has been passed on
)

// trial is one run of a plan.
type trial struct {
	plan    Plan
	fleet   *fleet
	random  *rand.Rand
	outcome Outcome
}

// RunTrial runs a plan in this process, which must run nothing else: the figures are those of the process.
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

// start starts all members. All joins happen in one process, so garbage is collected less often, or the collector would be
// what is measured; the windows after it run with the usual setting.
func (t *trial) start(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	usual := debug.SetGCPercent(startGCPercent)
	defer debug.SetGCPercent(usual)
	if err := t.fleet.grow(ctx, t.plan.Size); err != nil {
		return err
	}
	if err := t.agree(ctx, "after the start"); err != nil {
		return err
	}
	t.outcome.StartAgreeMillis = scale.Milliseconds(time.Since(began))
	if err := t.settle(ctx); err != nil {
		return err
	}
	t.outcome.Start, err = t.windowSince(before)
	return err
}

// agree waits until all members agree. That they do not in time is recorded as a fault and is no error.
func (t *trial) agree(ctx context.Context, when string) error {
	err := t.fleet.agree(ctx, t.plan.AgreementTimeout)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		t.outcome.Faults = append(t.outcome.Faults, when+": "+err.Error())
	}
	return nil
}

// settle waits until hardly anything but health checks is sent.
func (t *trial) settle(ctx context.Context) error {
	interval := min(time.Second, t.plan.ProbeInterval)
	for began := time.Now(); time.Since(began) < t.plan.SettleTimeout; {
		window, err := t.window(ctx, interval)
		if err != nil {
			return err
		}
		if window.DatagramBytes < quietDatagrams {
			return nil
		}
	}
	t.outcome.Unsettled++
	return nil
}

// measureQuiet measures while nothing happens: traffic, memory, push/pulls, and bytes by kind of message.
func (t *trial) measureQuiet(ctx context.Context) error {
	var err error
	if t.outcome.Quiet, err = t.window(ctx, t.plan.QuietWindow); err != nil {
		return err
	}
	runtime.GC()
	debug.FreeOSMemory()
	usage, err := scale.OwnUsage()
	if err != nil {
		return err
	}
	t.outcome.ResidentBytes = float64(usage.ResidentBytes) / float64(t.plan.Size)
	if err := t.pushPulls(); err != nil {
		return err
	}
	t.fleet.meter.tracing.Store(true)
	t.outcome.Trace, err = t.window(ctx, t.plan.TraceWindow)
	t.fleet.meter.tracing.Store(false)
	return err
}

// pushPulls has some members begin a push/pull. In a large fleet each begins one minutes apart, and members that started
// together are in step at first, so that a window of some seconds may contain none.
func (t *trial) pushPulls() error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	for _, h := range t.randomMembers(measuredPushPulls) {
		h.member.PushPull()
	}
	window, err := t.windowSince(before)
	if err == nil && window.Streams > 0 {
		t.outcome.ExchangeBytes = window.StreamBytes / window.Streams
	}
	return err
}

// updateRecords updates the record of a random member each second.
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
	if err := scale.Wait(ctx, updateDelay); err != nil {
		return err
	}
	window, err := t.windowSince(before)
	if err != nil || t.plan.RecordUpdates == 0 {
		return err
	}
	quiet, updates := t.outcome.Quiet, float64(t.plan.RecordUpdates)
	quietBytes := quiet.DatagramBytes / quiet.Seconds * window.Seconds
	t.outcome.ChangeBytes = (window.DatagramBytes - quietBytes) / updates // gossip is sent in datagrams alone
	quietMillis := quiet.ProcessorMillis / quiet.Seconds * window.Seconds
	t.outcome.ChangeMillis = (window.ProcessorMillis - quietMillis) / updates
	return nil
}

// setRecord updates a member's record; failures are counted.
func (t *trial) setRecord(h *hollowMember, record membership.Record) {
	if err := h.member.SetRecord(record); err != nil {
		t.outcome.LateChanges++
	}
}

// randomMembers returns an even number of random live members, count at most and never the seeds.
func (t *trial) randomMembers(count int) []*hollowMember {
	live := t.fleet.liveMembers()[seedCount+1:]
	t.random.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	return live[:min(count, len(live)/2*2)]
}
