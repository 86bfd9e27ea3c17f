package emulator

import (
	"errors"
	"fmt"
	"time"

	"thymechute/internal/decide/configuration"
)

// isolationThreshold is the time without the log's quorum after which a control node's lease has certainly expired.
const isolationThreshold = 4 * time.Second

// configurationChange is a change that an operator has requested and that is not committed yet.
type configurationChange struct {
	requestedAt time.Duration
	edits       []configuration.Edit
}

func tenantName(n int) string { return fmt.Sprintf("tenant-%05d", n) }

func routeName(n int) string { return fmt.Sprintf("route-%05d", n) }

func tenantBody(n int) string {
	return fmt.Sprintf(`{"rate":%d,"burst":%d,"class":"c%d"}`, 10+n%990, 5+n%95, n%8)
}

func routeBody(n int) string {
	return fmt.Sprintf(`{"prefix":"/v1/service-%d","backends":"pool-%d","timeout_ms":%d,"tenant":"tenant-%05d"}`, n%810, n%97, 100+n%900, n)
}

// initialConfiguration is the state at the start of a scenario.
func initialConfiguration(scenario ConfigurationScenario) *configuration.State {
	var changes []configuration.Change
	v := configuration.Version{Counter: 1}
	add := func(t configuration.ResourceType, name, body string) {
		if r, err := configuration.NewResource(t, name, body, v); err == nil {
			changes = append(changes, configuration.Change{Resource: r})
		}
	}
	for n := range scenario.Tenants {
		add(configuration.Tenant, tenantName(n), tenantBody(n))
	}
	for n := range scenario.Routes {
		add(configuration.Route, routeName(n), routeBody(n))
	}
	state, err := configuration.Empty().With(v, changes)
	if err != nil {
		panic(err) // scenarios come from NewConfigurationScenario and stay within the limits of a state
	}
	return state
}

// requestChange simulates the request of a change by an operator.
func (s *configurationSimulation) requestChange() {
	s.pendingChanges = append(s.pendingChanges, configurationChange{s.now, s.randomEdits()})
}

// randomEdits returns the edits of one change: 300 in one change out of 200, 20 to 49 in nine out of 200, otherwise one. An
// edit of a resource that the change already contains is dropped.
func (s *configurationSimulation) randomEdits() (edits []configuration.Edit) {
	count := 1
	switch n := s.random.IntN(200); {
	case n == 0:
		count = 300
	case n < 10:
		count = 20 + s.random.IntN(30)
	}
	seen := map[string]bool{}
	for range count {
		edit := s.randomEdit()
		if !seen[edit.Name] {
			seen[edit.Name] = true
			edits = append(edits, edit)
		}
	}
	return edits
}

// randomEdit returns an edit: of ten, six replace a tenant on average, one adds a tenant, one removes a tenant, and two
// replace a route.
func (s *configurationSimulation) randomEdit() configuration.Edit {
	n := s.random.IntN(s.scenario.Tenants)
	edit := configuration.Edit{Type: configuration.Tenant, Name: tenantName(n), Body: tenantBody(s.random.IntN(1 << 20))}
	switch s.random.IntN(10) {
	case 0:
		s.lastTenant++
		edit.Name = tenantName(s.lastTenant)
	case 1:
		if s.checker.state.Get(edit.Type, edit.Name) != nil {
			edit.Removed, edit.Body = true, ""
		}
	case 2, 3:
		n = s.random.IntN(s.scenario.Routes)
		edit.Type, edit.Name, edit.Body = configuration.Route, routeName(n), routeBody(s.random.IntN(1<<20))
	}
	return edit
}

// submitPendingChange submits the oldest pending change to each running control node, even in an isolated region.
func (s *configurationSimulation) submitPendingChange() {
	for _, p := range s.controlProcesses() {
		if len(s.pendingChanges) > 0 && p.isUp && !p.isPaused {
			s.submitTo(p.control, s.pendingChanges[0])
		}
	}
}

func (s *configurationSimulation) submitTo(c *configurationControlNode, change configurationChange) {
	token, isValid := c.elector.Token(c.clock(), configurationDuty)
	command, err := c.ControlNode.Propose(s.now, configuration.Lease{Token: token, Valid: isValid}, change.edits)
	hasNoQuorum := c.isolatedSince > 0 && s.now-c.isolatedSince > isolationThreshold
	if err != nil {
		if hasNoQuorum {
			s.checker.result.RejectedWithoutQuorum++
		}
		if errors.Is(err, configuration.ReasonNoEffect) {
			s.pendingChanges = s.pendingChanges[1:] // an earlier change has already removed the resource
		}
		return
	}
	if hasNoQuorum {
		s.checker.result.AcceptedWithoutQuorum++
	}
	c.elector.Decide(c.clock(), configurationDuty, string(command.Encode()))
}
