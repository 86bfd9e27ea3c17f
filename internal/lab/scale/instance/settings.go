// This file owns the configuration that the measured program is given: its tenants and classes, and the one that changes.

package instance

import (
	"encoding/json"
	"fmt"
	"os"

	"thymechute/internal/lab/scale"
)

const (
	unlimited    = 1e9   // requests a second of a tenant
	nearlyNone   = 0.001 // the same, of the one tenant whose limit is taken away and given back
	classSeconds = 30    // aim and deadline of every class: nothing is rejected for time
	cores        = 16    // of the runtime: nothing waits for one
	loadClass    = "load"
	memoryMB     = 192  // the most that the platform gives
	sockets      = 1024 // the same
)

// deployment is what one measured program is configured with.
type deployment struct {
	tenants, classes int
	listen, runtime  string
	catalog          string
	sockets          int
	limited          bool    // the last tenant's limit is nearly nothing; what goes beyond it is worth nothing, so rejected
	shorter          float64 // taken from the last class's aim, seconds: the change of a class
}

type class struct {
	Name      string  `json:"name"`
	Repeat    string  `json:"repeat"`
	Worth     float64 `json:"worth"`
	Aim       float64 `json:"aim_s"`
	Deadline  float64 `json:"deadline_s"`
	Window    float64 `json:"window_s"`
	LateValue float64 `json:"late_value"`
}

type tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

type domain struct {
	Cores         int       `json:"cores"`
	RAM           float64   `json:"ram_kb"`
	Blowup        float64   `json:"blowup"`
	Entry         float64   `json:"entry_kb"`
	Halt          string    `json:"halt"`
	Say           string    `json:"say"`
	DependsOn     string    `json:"depends_on"`
	DepShare      float64   `json:"dep_share"`
	DepWindow     float64   `json:"dep_window_s"`
	Linger        float64   `json:"linger_s"`
	CallsByClass  []bool    `json:"calls_by_class"`
	DegradedWorth []float64 `json:"degraded_worth"`
	CallerIdle    float64   `json:"caller_idle_s"`
	Clients       int       `json:"clients_total"`
	Gauges        []string  `json:"gauges"`
}

type settings struct {
	Classes        []class        `json:"classes"`
	Tenants        []tenant       `json:"tenants"`
	FleetSize      int            `json:"fleet_size"`
	OverShareWorth float64        `json:"over_share_worth"`
	Rules          map[string]any `json:"rules"`
	PolicyLimits   map[string]any `json:"policy_limits"`
	Domain         domain         `json:"domain"`
}

type configuration struct {
	Name      string             `json:"name"`
	Listen    string             `json:"listen"`
	Runtime   string             `json:"runtime"`
	Index     string             `json:"index"`
	Directory string             `json:"directory"`
	Seed      string             `json:"seed"`
	Stop      float64            `json:"stop_ms"`
	Limits    map[string]float64 `json:"limits"`
	Settings  settings           `json:"settings"`
}

func tenantName(n int) string { return fmt.Sprintf("tenant-%05d", n) }

// className is that of the n-th route; the first is the load's own.
func className(n int) string {
	if n == 0 {
		return loadClass
	}
	return fmt.Sprintf("service-%03d/method-%02d", n/12, n%12)
}

func (d deployment) settings() settings {
	s := settings{FleetSize: scale.TargetMembers, Rules: map[string]any{"drain_grace_s": 1, "fall_multiple": 8},
		PolicyLimits: map[string]any{"max_retry_after_s": 1, "retry_after": true}}
	s.Domain = domain{Cores: cores, RAM: 1e7, Blowup: 2, Entry: 0.1, Halt: "abort", Say: "threshold", DependsOn: "shared",
		DepShare: 50, DepWindow: 5, Linger: 0.2, CallerIdle: 3600, Clients: scale.TargetCallers, Gauges: []string{"cpu_busy", "runnable"}}
	for n := range d.classes {
		s.Classes = append(s.Classes, class{Name: className(n), Repeat: "repeatable", Worth: 1, Aim: classSeconds, Deadline: classSeconds,
			Window: classSeconds})
		s.Domain.CallsByClass = append(s.Domain.CallsByClass, false)
		s.Domain.DegradedWorth = append(s.Domain.DegradedWorth, 0)
	}
	s.Classes[d.classes-1].Aim -= d.shorter
	for n := range d.tenants {
		s.Tenants = append(s.Tenants, tenant{tenantName(n), unlimited})
	}
	if d.limited {
		s.Tenants[d.tenants-1].Quota = nearlyNone
	}
	return s
}

// text is the whole file.
func (d deployment) text() ([]byte, error) {
	return json.Marshal(configuration{Name: "n1", Listen: d.listen, Runtime: d.runtime, Index: nobody, Directory: d.catalog,
		Seed: "1", Stop: 3000, Limits: map[string]float64{"cores": 1, "memory_mb": memoryMB, "sockets": float64(d.sockets)},
		Settings: d.settings()})
}

func (d deployment) write(path string) (bytes int, err error) {
	text, err := d.text()
	if err != nil {
		return 0, err
	}
	return len(text), os.WriteFile(path, text, 0o600)
}
