// Package deployment defines types that encode to the JSON of the program's configuration file, with those keys that the experiments
// set. The platform defines the keys, some of which differ from the names that the source uses. The types validate nothing: the
// program validates the file when it reads it.
package deployment

// The values of Class.Idempotency.
const (
	Safe          = "repeatable"
	Idempotent    = "by_key" // with an idempotency key
	NonIdempotent = "once"
)

// Configuration is the content of the configuration file.
type Configuration struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`  // address to listen on
	Runtime    string   `json:"runtime"` // addresses of the runtime and the index
	Index      string   `json:"index"`
	Directory  string   `json:"directory"` // address of the catalog
	Seed       string   `json:"seed"`      // hexadecimal
	StopMillis float64  `json:"stop_ms"`   // that the platform grants from SIGTERM to SIGKILL
	Limits     Limits   `json:"limits"`
	Settings   Settings `json:"settings"`
}

// Limits are the resources that the platform grants the program.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Settings are the settings of the classes of requests, the tenants and the server.
type Settings struct {
	Classes         []Class      `json:"classes"`
	Tenants         []Tenant     `json:"tenants"`
	FleetSize       int          `json:"fleet_size"`
	OverQuotaWeight *float64     `json:"over_share_worth,omitempty"` // weight of requests beyond their tenant's quota; nil for the default
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
	KeyWindow        float64 `json:"window_s"`   // for which an idempotency key is stored
	LateValue        float64 `json:"late_value"` // value of an answer after the latency objective
}

// Tenant is a tenant. Its quota is in requests per second.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

// Rules are the limits that the operator sets for one server.
type Rules struct {
	DrainGraceSeconds     float64 `json:"drain_grace_s"`
	MaxConcurrencyPerCore float64 `json:"fall_multiple"` // running requests per core that the server can sustain
}

// PolicyLimits limits the Retry-After of rejected requests.
type PolicyLimits struct {
	MaxRetryAfterSeconds float64 `json:"max_retry_after_s"`
	RetryAfter           bool    `json:"retry_after"` // whether rejections have a Retry-After
}

// Domain describes the server's resources, its dependency and its callers. Times are in seconds.
type Domain struct {
	Cores             int       `json:"cores"`
	MemoryKB          float64   `json:"ram_kb"`
	RunMemoryFactor   float64   `json:"blowup"`         // ratio of a request's memory while running to that while queued
	KeyEntryKB        float64   `json:"entry_kb"`       // memory of a key entry
	StopMode          string    `json:"halt"`           // effect of stopping a run on the cores
	AdvertiseMode     string    `json:"say"`            // form of the load that is advertised to callers
	Dependency        string    `json:"depends_on"`     // kind of dependency
	CallQuota         float64   `json:"dep_share"`      // maximum mean number of calls in flight
	CallQuotaWindow   float64   `json:"dep_window_s"`   // over which the mean of CallQuota is taken
	CallLinger        float64   `json:"linger_s"`       // for which an abandoned call still counts as in flight
	CallsByClass      []bool    `json:"calls_by_class"` // whether a class makes calls, in the order of the classes
	DegradedWeights   []float64 `json:"degraded_worth"` // value of an answer without its call, as a fraction of the weight, by class
	CallerIdleTimeout float64   `json:"caller_idle_s"`  // after which callers close an idle connection
	CallerCount       int       `json:"clients_total"`  // number of callers of the whole fleet
	Gauges            []string  `json:"gauges"`         // names of the values in the runtime's readings, in their order
}

// NewDomain returns the server of all experiments. It has 16 cores and 10 GB, so that the program itself is the bottleneck, and a
// shared dependency that no class calls.
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

// NewSettings returns settings for the server of NewDomain, without classes and tenants: a grace period of 1 s, a Retry-After of at
// most 1 s, and at most eight running requests per core.
func NewSettings(fleetSize int) Settings {
	return Settings{
		FleetSize:    fleetSize,
		Rules:        Rules{DrainGraceSeconds: 1, MaxConcurrencyPerCore: 8},
		PolicyLimits: PolicyLimits{MaxRetryAfterSeconds: 1, RetryAfter: true},
		Domain:       NewDomain(),
	}
}

// AddClass adds a class that makes no calls. Its degraded weight is 0.
func (s *Settings) AddClass(c Class) {
	s.Classes = append(s.Classes, c)
	s.Domain.CallsByClass = append(s.Domain.CallsByClass, false)
	s.Domain.DegradedWeights = append(s.Domain.DegradedWeights, 0)
}
