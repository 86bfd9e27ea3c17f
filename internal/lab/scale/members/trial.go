// This file owns what is measured at one size, phase by phase. It must never take longer than its plan's times and the
// waits' bounds add up to.

package members

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"time"

	"thymechute/internal/lab/scale"
)

const startCollect = 400 // per cent of growth between two collections, while all start

// Plan is what one trial does.
type Plan struct {
	Size        int
	Seed        uint64
	Probe, Sync time.Duration
	Settle      time.Duration // the longest, after all agree, until what the start set off has been passed on
	Quiet       time.Duration // window with nothing happening
	Trace       time.Duration // window in which bytes are told apart by kind
	Changes     int           // records changed, one a second
	Kills       int           // members killed at once
	Restarts    int           // members restarted with notice, one a RestartEvery
	RestartEach time.Duration
	Cut         time.Duration // how long one region is cut from the others
	AfterHeal   time.Duration // window after the heal
	Wait        time.Duration // the longest wait for all to agree
}

// DefaultPlan is that of the measurements.
func DefaultPlan(size int, seed uint64) Plan {
	return Plan{Size: size, Seed: seed, Probe: probeDefault, Sync: syncDefault, Settle: 80 * time.Second, Quiet: 12 * time.Second,
		Trace: 4 * time.Second, Changes: 5, Kills: 3, Restarts: 5, RestartEach: 1500 * time.Millisecond, Cut: 15 * time.Second,
		AfterHeal: 15 * time.Second, Wait: 45 * time.Second}
}

// Window is what a member sent and received and spent, on the mean, within a time.
type Window struct {
	Seconds         float64
	Bytes           float64 // both directions
	DatagramBytes   float64
	StreamBytes     float64
	Datagrams       float64 // both directions
	Streams         float64 // dialed
	ProcessorMillis float64
	Kinds           map[string]float64 `json:",omitempty"` // bytes sent, by kind; of the trace's window only
}

func (w Window) perSecond() float64 { return w.Bytes / w.Seconds }

// Outcome is what one trial has measured. Times are in milliseconds, bytes and memory a member.
type Outcome struct {
	Size               int
	StartAgreeMillis   float64
	Start              Window // from the first start until all agree and have passed on what they heard
	Quiet, Trace       Window
	ExchangeBytes      float64 // of one full exchange, both directions, at both its ends
	ResidentBytes      float64
	ChangeBytes        float64 // above the quiet, for one record changed somewhere
	ChangeMillis       float64 // processor time above the quiet, for one record changed
	DetectFirstMillis  float64 // from the kills to the first that declares one of them gone
	DetectAllMillis    float64 // until all have declared all of them gone
	RestartBytes       float64 // above the quiet, for one restart somewhere
	RestartAgreeMillis float64
	CutBytes           float64 // a second, while the region is cut off
	CutAgreeMillis     float64 // until each side holds itself alone; 0: not within the cut
	HealAgreeMillis    float64
	Heal               Window // the window after the heal
	Unsettled          int    // waits for quiet that came to their bound
	LateChanges        int64  // of records, not begun to be passed on within a second
	FalseDeaths        int64  // in all phases but after the heal
	FalseDeathsHeal    int64  // after the heal
	Faults             []string
}

// trial is one run of a plan.
type trial struct {
	plan   Plan
	fleet  *fleet
	random *rand.Rand
	out    Outcome
}

// Try runs a plan in this process. Its figures are this process's, so nothing else may run in it.
func Try(ctx context.Context, plan Plan, progress func(string)) (Outcome, error) {
	t := &trial{plan: plan, fleet: newFleet(plan.Probe, plan.Sync), random: rand.New(rand.NewPCG(plan.Seed, uint64(plan.Size)))}
	t.out.Size = plan.Size
	defer t.fleet.end()
	for _, phase := range []struct {
		name string
		run  func(context.Context) error
	}{{"start", t.start}, {"quiet", t.quiet}, {"changes", t.changes}, {"kills", t.kills}, {"restarts", t.restarts}, {"cut", t.cut}} {
		began := time.Now()
		if err := phase.run(ctx); err != nil {
			return t.out, fmt.Errorf("%s: %w", phase.name, err)
		}
		progress(fmt.Sprintf("%d members: %s, %.1f s", plan.Size, phase.name, time.Since(began).Seconds()))
	}
	return t.out, nil
}

func (t *trial) start(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	began := time.Now()
	// The whole fleet's joins come together in one process; collecting less often keeps its processors from being what
	// is measured. The windows after it are run as the program is.
	usual := debug.SetGCPercent(startCollect)
	defer debug.SetGCPercent(usual)
	if err := t.fleet.grow(ctx, t.plan.Size); err != nil {
		return err
	}
	if err := t.agree(ctx, "after the start"); err != nil {
		return err
	}
	t.out.StartAgreeMillis = millis(time.Since(began))
	if err := t.settle(ctx); err != nil {
		return err
	}
	t.out.Start, err = t.since(before)
	return err
}

// agree records as a fault, and not as an error, that members did not agree in time.
func (t *trial) agree(ctx context.Context, when string) error {
	if _, err := t.fleet.agree(ctx, t.plan.Wait); ctx.Err() != nil {
		return ctx.Err()
	} else if err != nil {
		t.out.Faults = append(t.out.Faults, when+": "+err.Error())
	}
	return nil
}

func (t *trial) quiet(ctx context.Context) error {
	var err error
	if t.out.Quiet, err = t.window(ctx, t.plan.Quiet); err != nil {
		return err
	}
	runtime.GC()
	debug.FreeOSMemory()
	usage, err := scale.OwnUsage()
	if err != nil {
		return err
	}
	t.out.ResidentBytes = float64(usage.ResidentBytes) / float64(t.plan.Size)
	if err := t.exchanges(); err != nil {
		return err
	}
	t.fleet.meter.tracing.Store(true)
	t.out.Trace, err = t.window(ctx, t.plan.Trace)
	t.fleet.meter.tracing.Store(false)
	return err
}

// exchanges has some members begin a full exchange. In a large fleet each begins one minutes apart, and members that started
// together are in step at first, so that a window of some seconds may see none.
func (t *trial) exchanges() error {
	const count = 8
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	for _, h := range t.choose(count) {
		h.member.Exchange()
	}
	window, err := t.since(before)
	if err == nil && window.Streams > 0 {
		t.out.ExchangeBytes = window.StreamBytes / window.Streams
	}
	return err
}

// settle waits until hardly anything but probes is sent: what has happened is passed on.
func (t *trial) settle(ctx context.Context) error {
	const second, probesMost = time.Second, 300 // bytes of datagrams a member, in one period of probes
	period := min(second, t.plan.Probe)
	for began := time.Now(); time.Since(began) < t.plan.Settle; {
		window, err := t.window(ctx, period)
		if err != nil {
			return err
		}
		if window.DatagramBytes < probesMost {
			return nil
		}
	}
	t.out.Unsettled++
	return nil
}

// changes lets one record change a second, of members in turn by chance.
func (t *trial) changes(ctx context.Context) error {
	before, err := t.snapshot()
	if err != nil {
		return err
	}
	live := t.fleet.live()
	for n := range t.plan.Changes {
		h := live[t.random.IntN(len(live))]
		record := h.record()
		record.LagMS = n + 1
		t.set(h, record)
		if err := wait(ctx, time.Second); err != nil {
			return err
		}
	}
	if err := wait(ctx, 2*time.Second); err != nil { // the last are still passed on
		return err
	}
	window, err := t.since(before)
	if err != nil || t.plan.Changes == 0 {
		return err
	}
	quietBytes := t.out.Quiet.DatagramBytes / t.out.Quiet.Seconds * window.Seconds
	t.out.ChangeBytes = (window.DatagramBytes - quietBytes) / float64(t.plan.Changes) // it goes by datagrams alone
	quietMillis := t.out.Quiet.ProcessorMillis / t.out.Quiet.Seconds * window.Seconds
	t.out.ChangeMillis = (window.ProcessorMillis - quietMillis) / float64(t.plan.Changes)
	return nil
}

// snapshot is the meter and this process's usage at one moment.
type snapshot struct {
	at      time.Time
	reading reading
	usage   scale.Usage
}

func (t *trial) snapshot() (snapshot, error) {
	usage, err := scale.OwnUsage()
	return snapshot{time.Now(), t.fleet.meter.read(), usage}, err
}

func (t *trial) window(ctx context.Context, length time.Duration) (Window, error) {
	before, err := t.snapshot()
	if err != nil {
		return Window{}, err
	}
	if err := wait(ctx, length); err != nil {
		return Window{}, err
	}
	return t.since(before)
}

func (t *trial) since(before snapshot) (Window, error) {
	now, err := t.snapshot()
	if err != nil {
		return Window{}, err
	}
	used := now.reading.since(before.reading)
	size := float64(t.plan.Size)
	window := Window{
		Seconds:         now.at.Sub(before.at).Seconds(),
		Bytes:           float64(used.bytes()) / size,
		DatagramBytes:   float64(used.DatagramBytes) / size,
		StreamBytes:     float64(used.StreamBytes) / size,
		Datagrams:       float64(used.Datagrams) / size,
		Streams:         float64(used.Streams) / size,
		ProcessorMillis: millis(now.usage.CPU-before.usage.CPU) / size,
	}
	for kind, bytes := range used.Kinds {
		if bytes == 0 {
			continue
		}
		if window.Kinds == nil {
			window.Kinds = map[string]float64{}
		}
		window.Kinds[kindNames[kind]] = float64(bytes) / size
	}
	return window, nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
