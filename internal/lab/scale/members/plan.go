package members

import "time"

const (
	defaultProbeInterval = time.Second // the defaults of the operator's file
	defaultSyncInterval  = 5 * time.Second
)

// Plan is what one trial does. It is passed to the child process as JSON.
type Plan struct {
	Size              int
	Seed              uint64
	ProbeInterval     time.Duration `json:"Probe"`
	SyncInterval      time.Duration `json:"Sync"`
	SettleTimeout     time.Duration `json:"Settle"`  // for gossip to become quiet after all members agree
	QuietWindow       time.Duration `json:"Quiet"`   // measured with nothing happening
	TraceWindow       time.Duration `json:"Trace"`   // measured with bytes counted by kind of message
	RecordUpdates     int           `json:"Changes"` // one per second
	Kills             int           // members killed at once
	Restarts          int           // members restarted gracefully, one per RestartInterval
	RestartInterval   time.Duration `json:"RestartEach"`
	PartitionDuration time.Duration `json:"Cut"` // of one region from the others; 0: no partition
	HealWindow        time.Duration `json:"AfterHeal"`
	AgreementTimeout  time.Duration `json:"Wait"`
}

// DefaultPlan returns the plan of the measurements.
func DefaultPlan(size int, seed uint64) Plan {
	return Plan{
		Size:              size,
		Seed:              seed,
		ProbeInterval:     defaultProbeInterval,
		SyncInterval:      defaultSyncInterval,
		SettleTimeout:     80 * time.Second,
		QuietWindow:       12 * time.Second,
		TraceWindow:       4 * time.Second,
		RecordUpdates:     5,
		Kills:             3,
		Restarts:          5,
		RestartInterval:   1500 * time.Millisecond,
		PartitionDuration: 15 * time.Second,
		HealWindow:        15 * time.Second,
		AgreementTimeout:  45 * time.Second,
	}
}

// Outcome is what one trial has measured, as the child process reports it in JSON. Times are in milliseconds; bytes and
// memory are per member.
type Outcome struct {
	Size               int
	StartAgreeMillis   float64
	Start              Window // from the first start until all agree and gossip is quiet
	Quiet, Trace       Window
	ExchangeBytes      float64 // of one push/pull, both directions, at both its ends
	ResidentBytes      float64
	ChangeBytes        float64 // above the quiet, for one record updated somewhere
	ChangeMillis       float64 // processor time above the quiet, for one record updated
	DetectFirstMillis  float64 // from the kills until the first member declares one of them dead
	DetectAllMillis    float64 // until all members have declared all of them dead
	RestartBytes       float64 // above the quiet, for one restart somewhere
	RestartAgreeMillis float64
	CutBytes           float64 // per second, while the region is partitioned
	CutAgreeMillis     float64 // until each side has only itself in its view; 0: not within the partition
	HealAgreeMillis    float64
	Heal               Window // the window after the heal
	Unsettled          int    // waits for quiet that timed out
	LateChanges        int64  // record updates that failed
	FalseDeaths        int64  // live members declared dead, in all phases but after the heal
	FalseDeathsHeal    int64  // the same after the heal
	Faults             []string
}
