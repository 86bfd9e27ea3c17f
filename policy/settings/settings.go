// Package settings holds the settings of one instance as typed values: those of the server, of the request
// classes and of the tenants, and the difference between two versions (Compare).
//
// The values are not changed after they were created, so goroutines may share them. A missing setting is
// represented as such; the code that uses it chooses the default. The package does no I/O and reads no clock.
package settings

// Bounds of the lists. Settings beyond them are rejected with an error, at the start and at a reload.
const (
	// MaxClasses is the largest number of classes in force at one time; the planned load has 9,800
	// (docs/CAPACITY.md).
	MaxClasses = 20_000
	// MaxTenants is the largest number of tenants in force at one time; the planned load has 60,000.
	MaxTenants = 100_000
	// MaxNameBytes is the largest length of a class's or a tenant's name, in bytes.
	MaxNameBytes = 200
)

// Idempotency says whether a request may run a second time.
type Idempotency string

// The kinds of idempotency, as in the settings file. Any other value, and a missing one, counts as
// NonIdempotent.
const (
	Safe          Idempotency = "repeatable" // a second run does no harm
	Idempotent    Idempotency = "by_key"     // an idempotency key keeps a retry from a second run
	NonIdempotent Idempotency = "once"       // a second run has its effect again
)

// StopMode is what stopping a run on the cores does to it.
type StopMode string

// The ways to stop a run; a missing one counts as StopOff.
const (
	StopOff     StopMode = "off"     // a run can't be stopped
	StopAbort   StopMode = "abort"   // the run ends
	StopSuspend StopMode = "suspend" // the run leaves the cores
)

// Dependency is the kind of service that running requests call.
type Dependency string

// The kinds of dependency; a missing one counts as DependencyOff.
const (
	DependencyOff    Dependency = "off"
	DependencyShared Dependency = "shared" // a service that sustains a quota of calls from each instance
	DependencyTier   Dependency = "tier"   // servers with overload control of their own
)

// AdvertiseMode is the form of the load that is advertised with all answers.
type AdvertiseMode string

// The forms of the advertised load; a missing one counts as AdvertiseOff.
const (
	AdvertiseOff       AdvertiseMode = "off"
	AdvertiseThreshold AdvertiseMode = "threshold" // the priority below which callers should not send requests
	AdvertiseWindow    AdvertiseMode = "window"    // the requests that one caller may have open
	AdvertiseShare     AdvertiseMode = "share_of"  // the share of requests that callers should send
)

// Server holds the settings that belong to neither a class nor a tenant. It is comparable with ==.
type Server struct {
	Cores           Number
	MemoryKB        Number
	RunMemoryFactor Number // ratio of a request's memory while it runs to that in the queue
	KeyEntryKB      Number // memory of an entry for an idempotency key
	StopMode        StopMode

	Dependency      Dependency
	CallQuota       Number // mean number of calls that the instance may have in flight; may be below 1
	CallLinger      Number // seconds for which an abandoned call still counts as in flight
	CallQuotaWindow Number // seconds over which the mean of CallQuota is taken

	AdvertiseMode         AdvertiseMode
	CallerCount           Number // number of callers of the whole deployment
	CallerIdleTimeout     Number // seconds after which callers close an idle connection
	EndpointsFollowHealth Flag   // the endpoint list leaves out unhealthy servers

	FleetSize       Number // number of instances
	OverQuotaWeight Number // factor on the weight of a request beyond its tenant's quota
	WeightPerWork   Flag   // a class's weight is per unit of work, not per request
	RetryAfter      Flag   // rejections carry a Retry-After
	MaxRetryAfter   Number // seconds

	SlowStart             Flag
	SlowStartFraction     Number // part of the concurrency beyond one per core that is allowed at the start
	WarmUpTime            Number // seconds from the start until all of it is allowed
	DrainGrace            Number // seconds from the drain notice for which requests are accepted
	MaxConcurrencyPerCore Number // running requests per core that the server sustains

	BusyGauge     int // position from 1 of the busy part of the cores among the gauges; 0: not available
	RunnableGauge int // position from 1 of the number of runnable threads; 0: not available
}

// Gauges returns the readings out of the runtime's list of gauges: the busy part of the cores, 0 to 1, and the
// number of runnable threads. One that is not available is negative.
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
	Weight           Number // value of a request answered in time
	DegradedWeight   Number // value of an answer without its call, in parts of Weight
	MakesCalls       Flag   // its requests call the dependency
	LatencyObjective Number // seconds; a later answer is of no value
	CallerTimeout    Number // seconds after which the caller gives up
	KeyWindow        Number // seconds for which an idempotency key is known
}

// ResourceName returns the name by which versions of the class are compared.
func (c Class) ResourceName() string { return c.Name }

// Tenant holds the settings of a tenant, on whose behalf requests come.
type Tenant struct {
	Name  string
	Quota Number // requests per second, of the whole fleet; 0 or missing: no limit
}

// ResourceName returns the name by which versions of the tenant are compared.
func (t Tenant) ResourceName() string { return t.Name }

// Settings holds all settings of an instance. Classes and tenants are identified by their index; requests can
// refer only to those with a name.
type Settings struct {
	Server  Server
	Classes []Class
	Tenants []Tenant
}
