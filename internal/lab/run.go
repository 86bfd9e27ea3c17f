package lab

import (
	"time"

	"thymechute/internal/lab/rig"
)

const (
	maxRunTime   = 5 * time.Minute // of an experiment with a broker
	pollInterval = 20 * time.Millisecond
	bytesPerMB   = 1 << 20
)

// run is what an experiment is given.
type run struct {
	program, folder string
	seed            uint64
	size            int // messages
	progress        func(string)
}

// launch starts an instance with the fake runtime at that address; settings is the path of the operator's file, or empty.
func (r run) launch(name, runtime, settings string, seed uint64) (*rig.Instance, error) {
	return rig.Launch(r.program, r.folder, name, runtime, settings, rig.MemoryMB, seed)
}

func megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMB }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
