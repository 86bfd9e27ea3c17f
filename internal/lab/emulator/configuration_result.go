package emulator

import (
	"fmt"
	"time"
)

// ConfigurationResult holds the measurements of a simulation. Bytes per second are the maximum over all processes and over all
// windows of ConfigurationTrafficWindow that begin after the process has caught up.
type ConfigurationResult struct {
	Versions, Members, Resources int
	StateBytes                   int // of the initial state

	// Propagation is the time from the request of a change to its activation by a reachable member.
	PropagationP99, PropagationMax time.Duration
	LateFraction                   float64       // of the activations, those that took maxPropagation or longer
	RecoveryMax                    time.Duration // from the end of a partition to the activation of the version that was the newest then

	// Starts of members, by configurationRecovery: their number, and the longest time and most bytes until caught up.
	Starts        [recoveryCount]int
	StartMax      [recoveryCount]time.Duration
	StartBytesMax [recoveryCount]int

	// Violations of the safety rules.
	PartiallyApplied      int // activations of a state that was never committed
	RolledBack            int // activations of an older version
	Diverged              int // processes that are up without the newest state at the end
	AcceptedWithoutQuorum int // changes accepted by a control node that has no quorum
	StaleAccepted         int // commands with an outdated fencing token that were applied
	AgeUnderstated        int // isolated members that reported an age below the duration of the partition

	// Faults that occurred, and how the processes reacted to them.
	RejectedWithoutQuorum int // changes rejected by a control node that has no quorum
	StaleProposed         int // commands committed with an outdated fencing token
	ProposalsLost         int
	LeaseChanges          int
	RelaysKilled          int
	MessagesCorrupted     int

	MemberBytesPerSecond, RelayBytesPerSecond, LeafBytesPerSecond, ControlBytesPerSecond float64

	ControlPeers                 int // maximum number of children of a control node
	Messages, MessagesRejected   int
	Repairs, Referred, Throttled int
	AgeMax                       time.Duration // of a state at the end, when all members are reachable
}

// Limits that Violations checks.
const (
	maxPropagation          = 9 * time.Second
	maxMemberBytesPerSecond = 6000 // in both directions
	maxControlNodePeers     = 99
)

// Names of the metrics that Violations checks. They appear in reported results and must not change.
const (
	metricPartiallyApplied      = "half_applied"
	metricRolledBack            = "went_back"
	metricDiverged              = "diverged"
	metricAcceptedWithoutQuorum = "accepted_in_minority"
	metricStaleAccepted         = "stale_accepted"
	metricAgeUnderstated        = "age_understated"
	metricStaleProposed         = "stale_tried"
	metricRejectedWithoutQuorum = "refused_in_minority"
	metricMessagesCorrupted     = "lies"
	metricRelaysKilled          = "relays_killed"
	metricPropagationP99        = "in_force_ms_p99"
	metricRecoveryMax           = "heal_ms_max"
	metricMemberBytes           = "bytes_s_member_max"
	metricControlPeers          = "control_machine_peers_max"
)

// Violations returns one error for each limit or safety rule that the result violates, and for each fault that never occurred.
func (r ConfigurationResult) Violations() []error {
	v := &violations{}
	v.expectZero(metricPartiallyApplied, r.PartiallyApplied)
	v.expectZero(metricRolledBack, r.RolledBack)
	v.expectZero(metricDiverged, r.Diverged)
	v.expectZero(metricAcceptedWithoutQuorum, r.AcceptedWithoutQuorum)
	v.expectZero(metricStaleAccepted, r.StaleAccepted)
	v.expectZero(metricAgeUnderstated, r.AgeUnderstated)
	v.expectSome(metricStaleProposed, r.StaleProposed)
	v.expectSome(metricRejectedWithoutQuorum, r.RejectedWithoutQuorum)
	v.expectSome(metricMessagesCorrupted, r.MessagesCorrupted)
	v.expectSome(metricRelaysKilled, r.RelaysKilled)
	v.expectAtMost(metricPropagationP99, milliseconds(r.PropagationP99), milliseconds(maxPropagation))
	v.expectAtMost(metricRecoveryMax, milliseconds(r.RecoveryMax), milliseconds(maxPropagation))
	v.expectAtMost(metricMemberBytes, r.MemberBytesPerSecond, maxMemberBytesPerSecond)
	v.expectAtMost(metricControlPeers, float64(r.ControlPeers), maxControlNodePeers)
	return v.errors
}

// violations collects an error for each metric that is not as expected.
type violations struct{ errors []error }

func (v *violations) expectZero(name string, n int) {
	if n != 0 {
		v.errors = append(v.errors, fmt.Errorf("%s is %d, expected 0", name, n))
	}
}

func (v *violations) expectSome(name string, n int) {
	if n == 0 {
		v.errors = append(v.errors, fmt.Errorf("%s is 0, expected at least 1", name))
	}
}

func (v *violations) expectAtMost(name string, n, limit float64) {
	if n > limit {
		v.errors = append(v.errors, fmt.Errorf("%s is %.0f, expected at most %.0f", name, n, limit))
	}
}

// milliseconds returns a duration in whole milliseconds, rounded down.
func milliseconds(d time.Duration) float64 { return float64(d.Milliseconds()) }

// Metrics returns the measurements by their reported names, which contain the units.
func (r ConfigurationResult) Metrics() map[string]float64 {
	return map[string]float64{
		"members":                      float64(r.Members),
		"resources":                    float64(r.Resources),
		"versions":                     float64(r.Versions),
		metricPropagationP99:           milliseconds(r.PropagationP99),
		"in_force_ms_max":              milliseconds(r.PropagationMax),
		metricRecoveryMax:              milliseconds(r.RecoveryMax),
		"in_force_over_9_s_part":       r.LateFraction,
		metricPartiallyApplied:         float64(r.PartiallyApplied),
		metricRolledBack:               float64(r.RolledBack),
		metricDiverged:                 float64(r.Diverged),
		metricAcceptedWithoutQuorum:    float64(r.AcceptedWithoutQuorum),
		metricRejectedWithoutQuorum:    float64(r.RejectedWithoutQuorum),
		metricStaleProposed:            float64(r.StaleProposed),
		metricStaleAccepted:            float64(r.StaleAccepted),
		"owner_changes":                float64(r.LeaseChanges),
		"proposals_lost":               float64(r.ProposalsLost),
		metricMemberBytes:              r.MemberBytesPerSecond,
		"bytes_s_relay_max":            r.RelayBytesPerSecond,
		"bytes_s_leaf_max":             r.LeafBytesPerSecond,
		"bytes_window_s":               ConfigurationTrafficWindow.Seconds(),
		"control_machine_bytes_s_max":  r.ControlBytesPerSecond,
		metricControlPeers:             float64(r.ControlPeers),
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
		metricMessagesCorrupted:        float64(r.MessagesCorrupted),
		metricRelaysKilled:             float64(r.RelaysKilled),
		"repairs":                      float64(r.Repairs),
		"referred":                     float64(r.Referred),
		"held_by_pace":                 float64(r.Throttled),
		metricAgeUnderstated:           float64(r.AgeUnderstated),
		"age_ms_max_at_end":            milliseconds(r.AgeMax),
		"state_bytes_names_and_bodies": float64(r.StateBytes),
	}
}
