package instance

import (
	"encoding/json"
	"fmt"
	"os"

	"thymechute/internal/lab/scale"
)

const (
	unlimited    = 1e9    // quota of a tenant, requests a second
	minimalQuota = 0.001  // quota of the tenant whose limit reloads lift and restore, requests a second
	classSeconds = 30     // latency objective and deadline of every class, long enough that no request expires
	cores        = 16     // of the runtime, enough that no request waits for one
	loadClass    = "load" // class of the first route
	maxMemoryMB  = 192    // the platform's limit
	maxSockets   = 1024   // the platform's limit
)

// deployment is the configuration of a program under measurement.
type deployment struct {
	tenants, classes  int
	listen, runtime   string
	catalog           string
	sockets           int
	lastTenantLimited bool    // the last tenant has minimalQuota; requests beyond a quota have no priority weight and are rejected
	shorterObjective  float64 // subtracted from the last class's latency objective, seconds
}

// class, tenant, domain and settings are the settings that the program reads, as far as they are set here.
type class struct {
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"`
	PriorityWeight   float64 `json:"worth"`
	LatencyObjective float64 `json:"aim_s"`
	Deadline         float64 `json:"deadline_s"`
	KeyWindow        float64 `json:"window_s"`
	LateValue        float64 `json:"late_value"`
}

type tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

type domain struct {
	Cores             int       `json:"cores"`
	MemoryKB          float64   `json:"ram_kb"`
	RunMemoryFactor   float64   `json:"blowup"`
	KeyEntryKB        float64   `json:"entry_kb"`
	StopMode          string    `json:"halt"`
	AdvertiseMode     string    `json:"say"`
	Dependency        string    `json:"depends_on"`
	CallQuota         float64   `json:"dep_share"`
	CallQuotaWindow   float64   `json:"dep_window_s"`
	CallLinger        float64   `json:"linger_s"`
	CallsByClass      []bool    `json:"calls_by_class"`
	DegradedWeights   []float64 `json:"degraded_worth"`
	CallerIdleTimeout float64   `json:"caller_idle_s"`
	CallerCount       int       `json:"clients_total"`
	Gauges            []string  `json:"gauges"`
}

type settings struct {
	Classes         []class        `json:"classes"`
	Tenants         []tenant       `json:"tenants"`
	FleetSize       int            `json:"fleet_size"`
	OverQuotaWeight float64        `json:"over_share_worth"`
	Rules           map[string]any `json:"rules"`
	PolicyLimits    map[string]any `json:"policy_limits"`
	Domain          domain         `json:"domain"`
}

// configuration is the file that the program reads.
type configuration struct {
	Name       string             `json:"name"`
	Listen     string             `json:"listen"`
	Runtime    string             `json:"runtime"`
	Index      string             `json:"index"`
	Directory  string             `json:"directory"`
	Seed       string             `json:"seed"`
	StopMillis float64            `json:"stop_ms"`
	Limits     map[string]float64 `json:"limits"`
	Settings   settings           `json:"settings"`
}

// methodsPerService shapes the classes' names.
const methodsPerService = 12

func tenantName(n int) string { return fmt.Sprintf("tenant-%05d", n) }

// className is the class of the n-th route, from 0.
func className(n int) string {
	if n == 0 {
		return loadClass
	}
	return fmt.Sprintf("service-%03d/method-%02d", n/methodsPerService, n%methodsPerService)
}

// settings are the settings of the deployment's tenants and classes.
func (d deployment) settings() settings {
	s := settings{
		FleetSize:    scale.TargetMembers,
		Rules:        map[string]any{"drain_grace_s": 1, "fall_multiple": 8},
		PolicyLimits: map[string]any{"max_retry_after_s": 1, "retry_after": true},
		Domain: domain{
			Cores:             cores,
			MemoryKB:          1e7,
			RunMemoryFactor:   2,
			KeyEntryKB:        0.1,
			StopMode:          "abort",
			AdvertiseMode:     "threshold",
			Dependency:        "shared",
			CallQuota:         50,
			CallQuotaWindow:   5,
			CallLinger:        0.2,
			CallerIdleTimeout: 3600,
			CallerCount:       scale.TargetCallers,
			Gauges:            []string{"cpu_busy", "runnable"},
		},
	}
	for n := range d.classes {
		s.Classes = append(s.Classes, class{Name: className(n), Idempotency: "repeatable", PriorityWeight: 1,
			LatencyObjective: classSeconds, Deadline: classSeconds, KeyWindow: classSeconds})
		s.Domain.CallsByClass = append(s.Domain.CallsByClass, false)
		s.Domain.DegradedWeights = append(s.Domain.DegradedWeights, 0)
	}
	s.Classes[d.classes-1].LatencyObjective -= d.shorterObjective
	for n := range d.tenants {
		s.Tenants = append(s.Tenants, tenant{tenantName(n), unlimited})
	}
	if d.lastTenantLimited {
		s.Tenants[d.tenants-1].Quota = minimalQuota
	}
	return s
}

// encode encodes the configuration file.
func (d deployment) encode() ([]byte, error) {
	return json.Marshal(configuration{
		Name:       "n1",
		Listen:     d.listen,
		Runtime:    d.runtime,
		Index:      unreachableAddress,
		Directory:  d.catalog,
		Seed:       "1",
		StopMillis: 3000,
		Limits:     map[string]float64{"cores": 1, "memory_mb": maxMemoryMB, "sockets": float64(d.sockets)},
		Settings:   d.settings(),
	})
}

// write writes the configuration file.
func (d deployment) write(path string) error {
	text, err := d.encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
