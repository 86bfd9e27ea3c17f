// Package deployment has the configuration file of the program as far as the experiments set it, as types that encode to the
// file's JSON. The keys are the platform's. The types are values without methods or bounds of their own: the program validates
// what it reads.
package deployment

// Idempotencies of a class.
const (
	Safe          = "repeatable"
	Idempotent    = "by_key" // with an idempotency key
	NonIdempotent = "once"
)

// Configuration is the file that the program reads.
type Configuration struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`
	Runtime    string   `json:"runtime"` // addresses of the peers
	Index      string   `json:"index"`
	Directory  string   `json:"directory"` // of the catalog
	Seed       string   `json:"seed"`      // hexadecimal
	StopMillis float64  `json:"stop_ms"`   // from SIGTERM to SIGKILL
	Limits     Limits   `json:"limits"`
	Settings   Settings `json:"settings"`
}

// Limits are the resources that the platform grants the program.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings are those of the tenants, of the classes of requests and of the server.
type Settings struct {
	Classes         []Class      `json:"classes"`
	Tenants         []Tenant     `json:"tenants"`
	FleetSize       int          `json:"fleet_size"`
	OverQuotaWeight *float64     `json:"over_share_worth,omitempty"` // of requests beyond their tenant's quota; nil for the default
	Rules           Rules        `json:"rules"`
	PolicyLimits    PolicyLimits `json:"policy_limits"`
	Domain          Domain       `json:"domain"`
}

// Class is a class of requests. Times are in seconds.
type Class struct {
	Name             string  `json:"name"`
	Idempotency      string  `json:"repeat"`
	PriorityWeight   float64 `json:"worth"`
	LatencyObjective float64 `json:"aim_s"`
	Deadline         float64 `json:"deadline_s"`
	KeyWindow        float64 `json:"window_s"`   // for which an idempotency key is remembered
	LateValue        float64 `json:"late_value"` // of an answer after the latency objective
}

// Tenant is a tenant with its quota in requests per second.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

// Rules are the operator's rules.
type Rules struct {
	DrainGraceSeconds     float64 `json:"drain_grace_s"`
	MaxConcurrencyPerCore float64 `json:"fall_multiple"`
}

// PolicyLimits limit what the program may answer to a rejected request.
type PolicyLimits struct {
	MaxRetryAfterSeconds float64 `json:"max_retry_after_s"`
	RetryAfter           bool    `json:"retry_after"`
}

// Domain is the server's resources, its dependency and its callers. Times are in seconds.
type Domain struct {
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

// NewDomain returns the server of all experiments: it has 16 cores and 10 GB, so that the program itself is the bottleneck, and
// a shared dependency that no class calls.
func NewDomain() Domain {
	return Domain{
		Cores:           16,
		MemoryKB:        1e7,
		RunMemoryFactor: 2,
		KeyEntryKB:      0.1,
		StopMode:        "abort",
		AdvertiseMode:   "threshold",
		Dependency:      "shared",
		CallQuota:       50,
		CallQuotaWindow: 5,
		CallLinger:      0.2,
		Gauges:          []string{"cpu_busy", "runnable"},
	}
}

// NewSettings returns settings without classes and tenants, on the server of NewDomain: a drain grace and a Retry-After of a
// second each, and up to eight requests in flight per core.
func NewSettings(fleetSize int) Settings {
	return Settings{
		FleetSize:    fleetSize,
		Rules:        Rules{DrainGraceSeconds: 1, MaxConcurrencyPerCore: 8},
		PolicyLimits: PolicyLimits{MaxRetryAfterSeconds: 1, RetryAfter: true},
		Domain:       NewDomain(),
	}
}

// AddClass adds a class, which makes no calls and has no weight while the dependency is degraded.
func (s *Settings) AddClass(c Class) {
	s.Classes = append(s.Classes, c)
	s.Domain.CallsByClass = append(s.Domain.CallsByClass, false)
	s.Domain.DegradedWeights = append(s.Domain.DegradedWeights, 0)
}
