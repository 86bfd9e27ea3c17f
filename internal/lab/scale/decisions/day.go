// This file owns the day's sum: entries and bytes in the agreed log at the plan's rate of events, from what each event was
// measured to put there.

package decisions

import "thymechute/internal/lab/scale"

// The plan's rates of events, a day.
const (
	machineFailures  = 54
	restarts         = 5400
	drainedInRelease = scale.TargetMembers / 2 // one release a day
	secondsPerDay    = 86400
	// A member's record says anew how far it has applied the log after so many entries (cmd/thymechute, tellLag).
	entriesPerRecord = 16
	// A failed machine's backend goes, and comes back by its pace in six plans (docs/ring.md).
	plansPerBackendFailure = 7
)

// day sums up at the largest size measured. Bytes are those of the entries' bodies, as each member that follows the log
// receives each once; raft's own framing, heartbeats and acknowledgements are counted by the part of the log.
func day(c *collector, largest int) {
	share := float64(largest) / scale.TargetMembers
	renewals := c.last("owner_entries_day")
	c.dayOf("renewals", renewals, c.last("owner_entry_bytes"))
	changes := float64(2*(restarts+machineFailures)) * share // a process that ends and the next life that follows
	c.dayOf("membership", changes, c.last("log_membership_entry_bytes"))
	c.dayOf("release_membership", 2*drainedInRelease*share, c.last("log_membership_entry_bytes"))
	c.dayOf("release_drains", drainedInRelease*share+1, c.last("roll_entry_bytes"))
	failures := machineFailures * 5.0 / backendsPart * share
	c.dayOf("ring_freezes", failures*plansPerBackendFailure, c.last("ring_freeze_entry_bytes"))
	c.dayOf("ring_openings", failures*plansPerBackendFailure, c.last("ring_open_entry_bytes"))
	acknowledged := c.last("ring_acknowledgements_s")
	bytes := c.last("ring_acknowledgement_bytes_s_member") / acknowledged
	c.dayOf("ring_acknowledgements", acknowledged*secondsPerDay, bytes)
	hour := 2 * drainedInRelease * share * c.last("log_membership_entry_bytes") / 3600
	c.result.Put("release_hour_membership_bytes_s_member", hour)
	c.result.Put("log_membership_entry_bytes_control_alone", float64(membershipEntryBytes(scale.TargetControl)))
	c.result.Put("applied_record_changes_s_fleet", renewals/secondsPerDay/entriesPerRecord*float64(largest))
}

func (c *collector) dayOf(name string, entries, bytesEach float64) {
	c.result.Put("day_"+name+"_entries", entries)
	c.result.Put("day_"+name+"_bytes_s_member", entries*bytesEach/secondsPerDay)
}
