package scale

// The size that the fleet is designed for, from docs/CAPACITY.md.
const (
	TargetMembers            = 1200
	TargetCallers            = 17_000
	TargetCallerGroups       = 810
	TargetRoutes             = 9800
	TargetTenants            = 60_000
	TargetRegions            = 4
	TargetZones              = 40  // ten in each region, the more demanding interpretation of "4 regions with 10 zones"
	TargetControlMachines    = 6   // machines reserved for the control plane
	TargetAddedLatencyMillis = 6.4 // latency that the instance may add to a request, 99th percentile
)

// Maximum resource use of the control plane on one member at that size.
const (
	MaxCPUPercent            = 1.1 // percent of one core
	MaxMemoryBytes           = 128 << 20
	MaxControlBytesPerSecond = 6000 // both directions
)
