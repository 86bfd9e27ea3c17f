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

// brokerExperiment is a run of an experiment with a broker, whose size is in messages.
type brokerExperiment struct{ Options }

// launch starts an instance with the fake runtime at that address; settings is the path of the operator's file, or empty.
func (e brokerExperiment) launch(name, runtime, settings string, seed uint64) (*rig.Instance, error) {
	return rig.Launch(rig.LaunchOptions{Program: e.Program, Folder: e.Folder, Name: name, RuntimeAddress: runtime, SettingsPath: settings, Seed: seed})
}

func megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMB }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
