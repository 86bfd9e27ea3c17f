package lab

import (
	"time"

	"thymechute/internal/lab/rig"
)

const (
	maxRunTime   = 5 * time.Minute // timeout of each load
	pollInterval = 20 * time.Millisecond
	bytesPerMB   = 1 << 20
)

// brokerExperiment is a run of an experiment with a broker. Its Size is in messages.
type brokerExperiment struct{ Options }

// launch starts an instance. runtime is the address of its fake runtime, settings the path of the operator's file or empty.
func (e brokerExperiment) launch(name, runtime, settings string, seed uint64) (*rig.Instance, error) {
	return rig.Launch(rig.LaunchOptions{Program: e.Program, Folder: e.Folder, Name: name,
		RuntimeAddress: runtime, SettingsPath: settings, Seed: seed})
}

func megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMB }

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1e3 }
