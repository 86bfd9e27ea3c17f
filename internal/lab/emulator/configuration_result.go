package emulator

import (
	"fmt"
	"time"
)

// ConfigurationResult is what a simulation has measured. Bytes per second are the maximum over all windows of
// ConfigurationTrafficWindow after a process has caught up.
type ConfigurationResult struct {
	Versions, Members, Resources int
	StateBytes                   int // of the initial state

	// Propagation is the time from the request of a change to its activation, at all members that are reachable.
	PropagationP99, PropagationMax time.Duration
	LateFraction                   float64       // of the propagations that took maxPropagation or more
	RecoveryMax                    time.Duration // from the end of a partition to the activation of the newest version

	// Starts by what the process recovered from: their number, and the longest time and most bytes until caught up.
	Starts        [recoveryCount]int
	StartMax      [recoveryCount]time.Duration
	StartBytesMax [recoveryCount]int

	// Violations of the safety rules.
	PartiallyApplied      int // activations of a state that was never committed
	RolledBack            int // activations of an older version
	Diverged              int // processes without the newest state at the end
	AcceptedWithoutQuorum int
	StaleAccepted         int // commands under an older token
	AgeUnderstated        int // isolated members that reported a lower age than the partition lasted

	// Faults that took place.
	RejectedWithoutQuorum int
	StaleProposed         int
	ProposalsLost         int
	LeaseChanges          int
	RelaysKilled          int
	MessagesCorrupted     int

	MemberBytesPerSecond, RelayBytesPerSecond, LeafBytesPerSecond, ControlBytesPerSecond float64

	ControlPeers                 int // most children of a control node
	Messages, MessagesRejected   int
	Repairs, Referred, Throttled int
	AgeMax                       time.Duration // at the end, when all are reachable
}

// Limits that a result must keep.
const (
	maxPropagation          = 9 * time.Second
	maxMemberBytesPerSecond = 6000 // in both directions
	maxControlNodePeers     = 99
)

// Violations are the limits and rules that the result breaks.
func (r ConfigurationResult) Violations() (violations []error) {
	expectZero := func(name string, n int) {
		if n != 0 {
			violations = append(violations, fmt.Errorf("%s is %d, expected 0", name, n))
		}
	}
	expectZero("half_applied", r.PartiallyApplied)
	expectZero("went_back", r.RolledBack)
	expectZero("diverged", r.Diverged)
	expectZero("accepted_in_minority", r.AcceptedWithoutQuorum)
	expectZero("stale_accepted", r.StaleAccepted)
	expectZero("age_understated", r.AgeUnderstated)
	expectSome := func(name string, n int) {
		if n == 0 {
			violations = append(violations, fmt.Errorf("%s is 0, expected some", name))
		}
	}
	expectSome("stale_tried", r.StaleProposed)
	expectSome("refused_in_minority", r.RejectedWithoutQuorum)
	expectSome("lies", r.MessagesCorrupted)
	expectSome("relays_killed", r.RelaysKilled)
	expectAtMost := func(name string, n, limit float64) {
		if n > limit {
			violations = append(violations, fmt.Errorf("%s is %.0f, expected %.0f at most", name, n, limit))
		}
	}
	expectAtMost("in_force_ms_p99", milliseconds(r.PropagationP99), milliseconds(maxPropagation))
	expectAtMost("heal_ms_max", milliseconds(r.RecoveryMax), milliseconds(maxPropagation))
	expectAtMost("bytes_s_member_max", r.MemberBytesPerSecond, maxMemberBytesPerSecond)
	expectAtMost("control_machine_peers_max", float64(r.ControlPeers), maxControlNodePeers)
	return violations
}

func milliseconds(d time.Duration) float64 { return float64(d.Milliseconds()) }

// Metrics are the measurements by their reported names, which contain the units.
func (r ConfigurationResult) Metrics() map[string]float64 {
	return map[string]float64{
		"members":                      float64(r.Members),
		"resources":                    float64(r.Resources),
		"versions":                     float64(r.Versions),
		"in_force_ms_p99":              milliseconds(r.PropagationP99),
		"in_force_ms_max":              milliseconds(r.PropagationMax),
		"heal_ms_max":                  milliseconds(r.RecoveryMax),
		"in_force_over_9_s_part":       r.LateFraction,
		"half_applied":                 float64(r.PartiallyApplied),
		"went_back":                    float64(r.RolledBack),
		"diverged":                     float64(r.Diverged),
		"accepted_in_minority":         float64(r.AcceptedWithoutQuorum),
		"refused_in_minority":          float64(r.RejectedWithoutQuorum),
		"stale_tried":                  float64(r.StaleProposed),
		"stale_accepted":               float64(r.StaleAccepted),
		"owner_changes":                float64(r.LeaseChanges),
		"proposals_lost":               float64(r.ProposalsLost),
		"bytes_s_member_max":           r.MemberBytesPerSecond,
		"bytes_s_relay_max":            r.RelayBytesPerSecond,
		"bytes_s_leaf_max":             r.LeafBytesPerSecond,
		"bytes_window_s":               ConfigurationTrafficWindow.Seconds(),
		"control_machine_bytes_s_max":  r.ControlBytesPerSecond,
		"control_machine_peers_max":    float64(r.ControlPeers),
		"start_bytes_member":           float64(r.StartBytesMax[recoveryFromNothing]),
		"start_bytes_member_image":     float64(r.StartBytesMax[recoveryFromImage]),
		"start_bytes_member_kept":      float64(r.StartBytesMax[recoveryFromSnapshot]),
		"start_ms_max":                 milliseconds(r.StartMax[recoveryFromNothing]),
		"start_ms_max_image":           milliseconds(r.StartMax[recoveryFromImage]),
		"start_ms_max_kept":            milliseconds(r.StartMax[recoveryFromSnapshot]),
		"starts":                       float64(r.Starts[recoveryFromNothing]),
		"starts_image":                 float64(r.Starts[recoveryFromImage]),
		"starts_kept":                  float64(r.Starts[recoveryFromSnapshot]),
		"messages":                     float64(r.Messages),
		"messages_refused":             float64(r.MessagesRejected),
		"lies":                         float64(r.MessagesCorrupted),
		"relays_killed":                float64(r.RelaysKilled),
		"repairs":                      float64(r.Repairs),
		"referred":                     float64(r.Referred),
		"held_by_pace":                 float64(r.Throttled),
		"age_understated":              float64(r.AgeUnderstated),
		"age_ms_max_at_end":            milliseconds(r.AgeMax),
		"state_bytes_names_and_bodies": float64(r.StateBytes),
	}
}
