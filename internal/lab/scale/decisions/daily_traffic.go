package decisions

import "thymechute/internal/lab/scale"

// The plan's rates of events, a day.
const (
	machineFailures    = 54
	restarts           = 5400
	drainedInRelease   = scale.TargetMembers / 2 // of the one release a day
	releaseHourSeconds = 3600
	secondsPerDay      = 86400
)

const (
	// entriesPerAppliedRecord is how many log entries a member applies before it updates its record (cmd/thymechute).
	entriesPerAppliedRecord = 16
	// plansPerBackendFailure is how often the ring is planned when a machine's backend fails and is then ramped up (docs/ring.md).
	plansPerBackendFailure = 7
)

// addDailyTraffic adds the entries and bytes of the replicated log a day, at the plan's rates of events, from the sizes of entries
// that were measured in the largest fleet. The bytes are those of entries' bodies, which each member that follows the log receives
// once; the framing, heartbeats and acknowledgements of raft are measured by the part of the log.
func addDailyTraffic(c *collector, largest int) {
	share := float64(largest) / scale.TargetMembers // of the target
	membershipBytes := c.lastValue("log_membership_entry_bytes")

	renewals := c.lastValue("owner_entries_day")
	c.addDaily("renewals", renewals, c.lastValue("owner_entry_bytes"))

	incarnationChanges := float64(2*(restarts+machineFailures)) * share // an end and a start
	c.addDaily("membership", incarnationChanges, membershipBytes)
	c.addDaily("release_membership", 2*drainedInRelease*share, membershipBytes)
	c.addDaily("release_drains", drainedInRelease*share+1, c.lastValue("roll_entry_bytes"))

	backendFailures := float64(machineFailures*backendsPerGroup) / membersPerGroup * share
	c.addDaily("ring_freezes", backendFailures*plansPerBackendFailure, c.lastValue("ring_freeze_entry_bytes"))
	c.addDaily("ring_openings", backendFailures*plansPerBackendFailure, c.lastValue("ring_open_entry_bytes"))

	acknowledgementsPerSecond := c.lastValue("ring_acknowledgements_s")
	acknowledgementBytes := c.lastValue("ring_acknowledgement_bytes_s_member") / acknowledgementsPerSecond
	c.addDaily("ring_acknowledgements", acknowledgementsPerSecond*secondsPerDay, acknowledgementBytes)

	c.result.SetFigure("release_hour_membership_bytes_s_member", 2*drainedInRelease*share*membershipBytes/releaseHourSeconds)
	c.result.SetFigure("log_membership_entry_bytes_control_alone", float64(membershipEntryBytes(scale.TargetControlMachines)))
	c.result.SetFigure("applied_record_changes_s_fleet", renewals/secondsPerDay/entriesPerAppliedRecord*float64(largest))
}

// addDaily adds the entries of one kind, and their bytes for each member.
func (c *collector) addDaily(name string, entries, bytesEach float64) {
	c.result.SetFigure("day_"+name+"_entries", entries)
	c.result.SetFigure("day_"+name+"_bytes_s_member", entries*bytesEach/secondsPerDay)
}
