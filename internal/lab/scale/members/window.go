package members

import (
	"context"
	"time"

	"thymechute/internal/lab/scale"
)

// Window is the traffic and CPU time of the average member during a period.
type Window struct {
	Seconds       float64
	Bytes         float64 // both directions
	DatagramBytes float64
	StreamBytes   float64
	Datagrams     float64            // both directions
	Streams       float64            // dialled
	CPUMillis     float64            `json:"ProcessorMillis"`
	Kinds         map[string]float64 `json:",omitempty"` // bytes sent by message kind; only in Outcome.Trace
}

func (w Window) bytesPerSecond() float64 { return w.Bytes / w.Seconds }

// snapshot is the state of the meter and the usage of this process at one time.
type snapshot struct {
	at      time.Time
	reading meterReading
	usage   scale.Usage
}

func (t *trial) snapshot() (snapshot, error) {
	usage, err := scale.OwnUsage()
	return snapshot{at: time.Now(), reading: t.fleet.meter.read(), usage: usage}, err
}

// measureWindow measures for that duration.
func (t *trial) measureWindow(ctx context.Context, length time.Duration) (Window, error) {
	before, err := t.snapshot()
	if err != nil {
		return Window{}, err
	}
	if err := scale.Wait(ctx, length); err != nil {
		return Window{}, err
	}
	return t.windowSince(before)
}

// windowSince returns what was measured since a snapshot.
func (t *trial) windowSince(before snapshot) (Window, error) {
	now, err := t.snapshot()
	if err != nil {
		return Window{}, err
	}
	used := now.reading.since(before.reading)
	size := float64(t.plan.Size)
	window := Window{
		Seconds:       now.at.Sub(before.at).Seconds(),
		Bytes:         float64(used.bytes()) / size,
		DatagramBytes: float64(used.DatagramBytes) / size,
		StreamBytes:   float64(used.StreamBytes) / size,
		Datagrams:     float64(used.Datagrams) / size,
		Streams:       float64(used.Streams) / size,
		CPUMillis:     scale.Milliseconds(now.usage.CPU-before.usage.CPU) / size,
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
