package decisions

import "thymechute/internal/lab/scale"

// Events per day, from the capacity plan.
const (
	machineFailuresPerDay = 54
	restartsPerDay        = 5400
	drainsPerRelease      = scale.TargetMembers / 2 // for one release per day
	releaseSeconds        = 3600
	secondsPerDay         = 86400
)

const (
	// entriesPerAppliedRecord is the number of log entries after which a member publishes its applied index in its record
	// (cmd/thymechute).
	entriesPerAppliedRecord = 16
	// plansPerBackendFailure is the number of ring plans for a backend that fails and is then ramped up (docs/ring.md).
	plansPerBackendFailure = 7
)

// addDailyTraffic adds the entries and bytes of the replicated log per day. They follow from the plan's event rates and from the
// entry sizes measured in the largest fleet. The bytes are those of the entries' bodies, which each member that follows the log
// receives once; raft's framing, heartbeats and acknowledgements are measured by package raftlog.
func addDailyTraffic(c *collector, largest int) {
	share := float64(largest) / scale.TargetMembers // of the target size
	membershipBytes := c.lastValue("log_membership_entry_bytes")

	renewals := c.lastValue("owner_entries_day")
	c.addDaily("renewals", renewals, c.lastValue("owner_entry_bytes"))

	incarnationChanges := float64(2*(restartsPerDay+machineFailuresPerDay)) * share // a leave and a join for each
	c.addDaily("membership", incarnationChanges, membershipBytes)
	c.addDaily("release_membership", 2*drainsPerRelease*share, membershipBytes)
	c.addDaily("release_drains", drainsPerRelease*share+1, c.lastValue("roll_entry_bytes"))

	backendFailures := float64(machineFailuresPerDay*backendsPerGroup) / membersPerGroup * share
	c.addDaily("ring_freezes", backendFailures*plansPerBackendFailure, c.lastValue("ring_freeze_entry_bytes"))
	c.addDaily("ring_openings", backendFailures*plansPerBackendFailure, c.lastValue("ring_open_entry_bytes"))

	acknowledgementsPerSecond := c.lastValue("ring_acknowledgements_s")
	acknowledgementBytes := c.lastValue("ring_acknowledgement_bytes_s_member") / acknowledgementsPerSecond
	c.addDaily("ring_acknowledgements", acknowledgementsPerSecond*secondsPerDay, acknowledgementBytes)

	c.result.SetFigure("release_hour_membership_bytes_s_member", 2*drainsPerRelease*share*membershipBytes/releaseSeconds)
	c.result.SetFigure("log_membership_entry_bytes_control_alone", float64(membershipEntryBytes(scale.TargetControlMachines)))
	c.result.SetFigure("applied_record_changes_s_fleet", renewals/secondsPerDay/entriesPerAppliedRecord*float64(largest))
}

// addDaily adds the number of entries of one kind per day, and the bytes per second that each member receives of them.
func (c *collector) addDaily(name string, entries, bytesEach float64) {
	c.result.SetFigure("day_"+name+"_entries", entries)
	c.result.SetFigure("day_"+name+"_bytes_s_member", entries*bytesEach/secondsPerDay)
}
