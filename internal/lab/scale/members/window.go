package members

import (
	"context"
	"time"

	"thymechute/internal/lab/scale"
)

// Window is what a member sent, received and spent on average within a time.
type Window struct {
	Seconds         float64
	Bytes           float64 // both directions
	DatagramBytes   float64
	StreamBytes     float64
	Datagrams       float64 // both directions
	Streams         float64 // dialled
	ProcessorMillis float64
	Kinds           map[string]float64 `json:",omitempty"` // bytes sent, by kind of message; of the trace's window only
}

func (w Window) bytesPerSecond() float64 { return w.Bytes / w.Seconds }

// snapshot is the meter and the usage of this process at one moment.
type snapshot struct {
	at      time.Time
	reading meterReading
	usage   scale.Usage
}

func (t *trial) snapshot() (snapshot, error) {
	usage, err := scale.OwnUsage()
	return snapshot{at: time.Now(), reading: t.fleet.meter.read(), usage: usage}, err
}

// window measures for a time.
func (t *trial) window(ctx context.Context, length time.Duration) (Window, error) {
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
		Seconds:         now.at.Sub(before.at).Seconds(),
		Bytes:           float64(used.bytes()) / size,
		DatagramBytes:   float64(used.DatagramBytes) / size,
		StreamBytes:     float64(used.StreamBytes) / size,
		Datagrams:       float64(used.Datagrams) / size,
		Streams:         float64(used.Streams) / size,
		ProcessorMillis: scale.Milliseconds(now.usage.CPU-before.usage.CPU) / size,
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
