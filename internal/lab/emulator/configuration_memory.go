package emulator

import (
	"runtime"
	"time"

	"thymechute/internal/decide/configuration"
)

// MeasureConfigurationMemory measures the heap bytes of a member's initial state and of a full history of deltas.
func MeasureConfigurationMemory(scenario ConfigurationScenario) (stateBytes, historyBytes int) {
	before := heapBytes()
	state := initialConfiguration(scenario)
	stateBytes = heapBytes() - before
	m := configuration.NewMember(0, discardHost{}, state, 0, 1)
	m.SetSources(0, configuration.Sources{Primary: []string{"relay"}})
	before = heapBytes()
	for n := range configuration.MaxHistoryDeltas + 1 {
		_ = m.Receive(0, "relay", nextTenantDelta(m.State(), scenario, n))
	}
	historyBytes = heapBytes() - before
	runtime.KeepAlive(state)
	runtime.KeepAlive(m)
	return stateBytes, historyBytes
}

// nextTenantDelta returns a delta that replaces one tenant of a state.
func nextTenantDelta(state *configuration.State, scenario ConfigurationScenario, n int) configuration.Delta {
	v := configuration.Version{Token: 1, Counter: uint64(n + 2)}
	r, err := configuration.NewResource(configuration.Tenant, tenantName(n%scenario.Tenants), tenantBody(n), v)
	if err != nil {
		panic(err) // the names and bodies of this package are valid
	}
	changes := []configuration.Change{{Resource: r}}
	next, err := state.With(v, changes)
	if err != nil {
		panic(err)
	}
	return configuration.Delta{
		Position: configuration.Position{Version: v, Root: next.Root()},
		From:     state.Version(),
		Changes:  changes,
	}
}

// discardHost is a configuration.Host that ignores all calls.
type discardHost struct{}

func (discardHost) Send(string, configuration.Message)            {}
func (discardHost) Activated(time.Duration, *configuration.State) {}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
