// Package settings defines the settings of one instance as typed values: those of the server, of the request
// classes and of the tenants. Compare returns the difference between two versions.
//
// Values are not modified after their creation, so goroutines may share them. A setting can be missing; the
// code that uses it chooses the default. The package does no I/O and reads no clock.
package settings

// Limits of the lists. Settings that exceed them are rejected with an error, at the start and at a reload.
const (
	// MaxClasses is the maximum number of classes at one time; the planned load has 9,800 (docs/CAPACITY.md).
	MaxClasses = 20_000
	// MaxTenants is the maximum number of tenants at one time; the planned load has 60,000.
	MaxTenants = 100_000
	// MaxNameBytes is the maximum length of the name of a class or a tenant, in bytes.
	MaxNameBytes = 200
)

// Idempotency determines whether a request may run a second time.
type Idempotency string

// The kinds of idempotency, as in the settings file. Any other value, and a missing one, counts as
// NonIdempotent.
const (
	Safe          Idempotency = "repeatable" // a second run is harmless
	Idempotent    Idempotency = "by_key"     // an idempotency key prevents a second run by a retry
	NonIdempotent Idempotency = "once"       // a second run repeats the effect
)

// StopMode is the effect of stopping a run on the cores.
type StopMode string

// The stop modes. A missing one counts as StopOff.
const (
	StopOff     StopMode = "off"     // a run can't be stopped
	StopAbort   StopMode = "abort"   // the run ends
	StopSuspend StopMode = "suspend" // the run is suspended and leaves the cores
)

// Dependency is the kind of service that running requests call.
type Dependency string

// The kinds of dependency. A missing one counts as DependencyOff.
const (
	DependencyOff    Dependency = "off"    // calls have no quota
	DependencyShared Dependency = "shared" // a service that can sustain a quota of calls from each instance
	DependencyTier   Dependency = "tier"   // a tier of servers with their own overload control
)

// AdvertiseMode is the form of the load that is advertised with all answers.
type AdvertiseMode string

// The forms of the advertised load. A missing one counts as AdvertiseOff.
const (
	AdvertiseOff       AdvertiseMode = "off"       // no load is advertised
	AdvertiseThreshold AdvertiseMode = "threshold" // the priority below which callers should not send requests
	AdvertiseWindow    AdvertiseMode = "window"    // the number of requests that one caller may have open
	AdvertiseShare     AdvertiseMode = "share_of"  // the share of requests that callers should send
)

// Server holds the settings that apply to neither a class nor a tenant. It is comparable with ==.
type Server struct {
	Cores           Number
	MemoryKB        Number
	RunMemoryFactor Number // ratio of a request's memory while running to that while queued
	KeyEntryKB      Number // memory of a key entry
	StopMode        StopMode

	Dependency      Dependency
	CallQuota       Number // maximum mean number of calls in flight of the instance; may be below 1
	CallLinger      Number // seconds for which an abandoned call still counts as in flight
	CallQuotaWindow Number // seconds over which the mean of CallQuota is taken

	AdvertiseMode         AdvertiseMode
	CallerCount           Number // number of callers of the whole fleet
	CallerIdleTimeout     Number // seconds after which callers close an idle connection
	EndpointsFollowHealth Flag   // the endpoint list leaves out unhealthy servers

	FleetSize       Number // number of instances in the fleet
	OverQuotaWeight Number // factor on the weight of a request over its tenant's quota
	WeightPerWork   Flag   // a class's weight is per unit of work, not per request
	RetryAfter      Flag   // rejections carry a Retry-After
	MaxRetryAfter   Number // maximum Retry-After, in seconds

	SlowStart             Flag   // the concurrency is reduced while the server is warming up
	SlowStartFraction     Number // fraction of the concurrency above one per core that is allowed at the start
	WarmUpTime            Number // seconds from the start until the full concurrency is allowed
	DrainGrace            Number // seconds for which requests are accepted after draining has begun
	MaxConcurrencyPerCore Number // running requests per core that the server can sustain

	BusyGauge     int // position, from 1, of the busy fraction of the cores in the gauges; 0: not available
	RunnableGauge int // position, from 1, of the number of runnable threads in the gauges; 0: not available
}

// Gauges returns two values of the runtime's list of gauges: the busy fraction of the cores, 0 to 1, and the
// number of runnable threads. A value that is not available is negative.
func (s Server) Gauges(values []float64) (busy, runnable float64) {
	reading := func(position int) float64 {
		if position == 0 || position > len(values) {
			return -1
		}
		return values[position-1]
	}
	return reading(s.BusyGauge), reading(s.RunnableGauge)
}

// Class holds the settings of a class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Weight           Number // value of a request that is answered in time
	DegradedWeight   Number // value of an answer without its call, as a fraction of Weight
	MakesCalls       Flag   // requests call the dependency
	LatencyObjective Number // seconds; a later answer has no value
	CallerTimeout    Number // seconds after which the caller gives up
	KeyWindow        Number // seconds for which an idempotency key is remembered
}

// ResourceName returns the name by which versions of the class are compared.
func (c Class) ResourceName() string { return c.Name }

// Tenant holds the settings of a tenant, on whose behalf callers send requests.
type Tenant struct {
	Name  string
	Quota Number // requests per second for the whole fleet; 0 or missing: no limit
}

// ResourceName returns the name by which versions of the tenant are compared.
func (t Tenant) ResourceName() string { return t.Name }

// Settings holds all settings of an instance. Classes and tenants are identified by their index; requests can
// refer only to those that have a name.
type Settings struct {
	Server  Server
	Classes []Class
	Tenants []Tenant
}
