package scale

// The size that the fleet is designed for, after docs/CAPACITY.md.
const (
	TargetMembers            = 1200
	TargetCallers            = 17_000
	TargetCallerGroups       = 810
	TargetRoutes             = 9800
	TargetTenants            = 60_000
	TargetRegions            = 4
	TargetZones              = 40  // ten in each region, the harder reading of the plan
	TargetControlMachines    = 6   // machines set aside for control
	TargetAddedLatencyMillis = 6.4 // latency added to a request, 99th percentile
)

// The most that control may use on a member at that size.
const (
	MaxCPUPercent            = 1.1 // of a core
	MaxMemoryBytes           = 128 << 20
	MaxControlBytesPerSecond = 6000 // both directions
)
