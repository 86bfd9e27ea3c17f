// This file owns what a run has to hold, and what a state takes in memory.

package emulator

import (
	"fmt"
	"runtime"
	"time"

	"thymechute/internal/decide/configuration"
)

// The bounds that the plan gives.
const (
	mostInForce     = 9 * time.Second
	mostMemberBytes = 6000 // a second, both ways, mean over ConfigurationWindow
	mostPeers       = 99   // of a control machine: tens
)

// Faults are what doesn't hold of the figures, none where all does.
func (f ConfigurationFigures) Faults() (faults []error) {
	zero := func(name string, n int) {
		if n != 0 {
			faults = append(faults, fmt.Errorf("%s is %d, expected 0", name, n))
		}
	}
	zero("half_applied", f.HalfApplied)
	zero("went_back", f.WentBack)
	zero("diverged", f.Diverged)
	zero("accepted_in_minority", f.AcceptedInMinority)
	zero("stale_accepted", f.StaleAccepted)
	zero("age_understated", f.AgeWrong)
	some := func(name string, n int) {
		if n == 0 {
			faults = append(faults, fmt.Errorf("%s is 0, expected some", name))
		}
	}
	some("stale_tried", f.StaleTried)
	some("refused_in_minority", f.RefusedMinority)
	some("lies", f.Lies)
	some("relays_killed", f.RelaysKilled)
	most := func(name string, n, bound float64) {
		if n > bound {
			faults = append(faults, fmt.Errorf("%s is %.0f, expected %.0f at most", name, n, bound))
		}
	}
	most("in_force_ms_p99", float64(f.InForceP99.Milliseconds()), float64(mostInForce.Milliseconds()))
	most("heal_ms_max", float64(f.HealMax.Milliseconds()), float64(mostInForce.Milliseconds()))
	most("bytes_s_member_max", f.MemberBytes, mostMemberBytes)
	most("control_machine_peers_max", float64(f.ControlPeers), mostPeers)
	return faults
}

// ByName are the figures, units in their names.
func (f ConfigurationFigures) ByName() map[string]float64 {
	ms := func(d time.Duration) float64 { return float64(d.Milliseconds()) }
	return map[string]float64{
		"members": float64(f.Members), "resources": float64(f.Resources), "versions": float64(f.Versions),
		"in_force_ms_p99": ms(f.InForceP99), "in_force_ms_max": ms(f.InForceMax), "heal_ms_max": ms(f.HealMax),
		"in_force_over_9_s_part": f.InForceLate,
		"half_applied":           float64(f.HalfApplied), "went_back": float64(f.WentBack), "diverged": float64(f.Diverged),
		"accepted_in_minority": float64(f.AcceptedInMinority), "refused_in_minority": float64(f.RefusedMinority),
		"stale_tried": float64(f.StaleTried), "stale_accepted": float64(f.StaleAccepted),
		"owner_changes": float64(f.OwnerChanges), "proposals_lost": float64(f.LostProposals),
		"bytes_s_member_max": f.MemberBytes, "bytes_s_relay_max": f.RelayBytes, "bytes_s_leaf_max": f.LeafBytes,
		"bytes_window_s":               ConfigurationWindow.Seconds(),
		"control_machine_bytes_s_max":  f.ControlBytes,
		"control_machine_peers_max":    float64(f.ControlPeers),
		"start_bytes_member":           float64(f.StartBytesMax[causeEmpty]),
		"start_bytes_member_image":     float64(f.StartBytesMax[causeImage]),
		"start_bytes_member_kept":      float64(f.StartBytesMax[causeKept]),
		"start_ms_max":                 ms(f.StartMax[causeEmpty]),
		"start_ms_max_image":           ms(f.StartMax[causeImage]),
		"start_ms_max_kept":            ms(f.StartMax[causeKept]),
		"starts":                       float64(f.Starts[causeEmpty]),
		"starts_image":                 float64(f.Starts[causeImage]),
		"starts_kept":                  float64(f.Starts[causeKept]),
		"messages":                     float64(f.Messages),
		"messages_refused":             float64(f.Refused),
		"lies":                         float64(f.Lies),
		"relays_killed":                float64(f.RelaysKilled),
		"repairs":                      float64(f.Repairs),
		"referred":                     float64(f.Referred),
		"held_by_pace":                 float64(f.Held),
		"age_understated":              float64(f.AgeWrong),
		"age_ms_max_at_end":            ms(f.AgeMax),
		"state_bytes_names_and_bodies": float64(f.StateBytes),
	}
}

// ConfigurationMemory is what a member's state and its full history take in memory, measured on the heap.
func ConfigurationMemory(day ConfigurationDay) (state, history int) {
	s := &configurationSim{day: day}
	before := heap()
	first := s.firstState()
	state = heap() - before
	d := configuration.Delta{Position: configuration.Position{}}
	m := configuration.NewMember(0, nobody{}, first, 0, 1)
	m.SetSources(0, configuration.Sources{Primary: []string{"relay"}})
	before = heap()
	for n := range configuration.MaxHistoryDeltas + 1 {
		in := m.State()
		v := configuration.Version{Token: 1, Counter: uint64(n + 2)}
		r, err := configuration.NewResource(configuration.Tenant, fmt.Sprintf("tenant-%05d", n%day.Tenants), tenantBody(n), v)
		if err != nil {
			panic(err) // this file's own
		}
		d.From, d.Changes = in.Version(), []configuration.Change{{Resource: r}}
		next, err := in.With(v, d.Changes)
		if err != nil {
			panic(err)
		}
		d.Position = configuration.Position{Version: v, Root: next.Root()}
		_ = m.Receive(0, "relay", d)
	}
	history = heap() - before
	runtime.KeepAlive(first)
	runtime.KeepAlive(m)
	return state, history
}

// nobody is a Host to which nothing matters.
type nobody struct{}

func (nobody) Send(string, configuration.Message)            {}
func (nobody) Activated(time.Duration, *configuration.State) {}

func heap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
