package members

import "time"

const (
	defaultProbeInterval = time.Second // both are the defaults of the operator's file
	defaultSyncInterval  = 5 * time.Second
)

// Plan describes one trial. The parent sends it to the child process as JSON.
type Plan struct {
	Size              int
	Seed              uint64
	ProbeInterval     time.Duration `json:"Probe"`
	SyncInterval      time.Duration `json:"Sync"`
	SettleTimeout     time.Duration `json:"Settle"`  // timeout for gossip to become quiet after all members agree
	QuietWindow       time.Duration `json:"Quiet"`   // measured without events
	TraceWindow       time.Duration `json:"Trace"`   // measured with bytes counted by message kind
	RecordUpdates     int           `json:"Changes"` // one per second
	Kills             int           // members killed at the same time
	Restarts          int           // members restarted gracefully, one per RestartInterval
	RestartInterval   time.Duration `json:"RestartEach"`
	PartitionDuration time.Duration `json:"Cut"` // of one region from the others; 0 for no partition
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

// Outcome holds the measurements of one trial. The child process sends it to its parent as JSON. Times are in milliseconds; bytes and
// memory are per member.
type Outcome struct {
	Size                    int
	StartAgreeMillis        float64
	Start                   Window // from the first start until all agree and gossip is quiet
	Quiet, Trace            Window
	PushPullBytes           float64 `json:"ExchangeBytes"` // per push/pull, both directions, counted at both ends
	ResidentBytes           float64
	UpdateBytes             float64 `json:"ChangeBytes"`  // above the quiet traffic, per record update of any member
	UpdateCPUMillis         float64 `json:"ChangeMillis"` // CPU time above that of the quiet window, per record update
	DetectFirstMillis       float64 // from the kills until a member first declares one of the killed dead
	DetectAllMillis         float64 // from the kills until all members have declared all of the killed dead
	RestartBytes            float64 // above the quiet traffic, per restart of any member
	RestartAgreeMillis      float64
	PartitionBytesPerSecond float64 `json:"CutBytes"`       // while the region is partitioned
	PartitionAgreeMillis    float64 `json:"CutAgreeMillis"` // until the views of each side contain that side only; 0 if not before the heal
	HealAgreeMillis         float64
	Heal                    Window // from the heal until HealWindow has passed and all agree
	SettleTimeouts          int    `json:"Unsettled"` // how often gossip did not become quiet within SettleTimeout
	FailedUpdates           int64  `json:"LateChanges"`
	FalseDeaths             int64  // live members declared dead, until the heal
	FalseDeathsAfterHeal    int64  `json:"FalseDeathsHeal"` // live members declared dead, after the heal
	Faults                  []string
}
