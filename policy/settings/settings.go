// Package settings holds the settings of one instance as typed values: the server's own, its classes of
// requests and its tenants, and the difference between two versions of them.
//
// The values are immutable once made, so that goroutines may share them. A setting that is missing stays
// missing: its reader chooses the default. The package does no I/O and reads no clock.
package settings

// Bounds of the lists. Settings beyond one are rejected with an error that names it, at the start and at a
// reload.
const (
	// MaxClasses is the number of classes in force at one time; 9,800 routes are planned for
	// (docs/CAPACITY.md).
	MaxClasses = 20_000
	// MaxTenants is the number of tenants in force at one time; 60,000 are planned for.
	MaxTenants = 100_000
	// MaxNameBytes is the length of a class's or a tenant's name, in bytes.
	MaxNameBytes = 200
)

// Idempotency says whether a request may run a second time.
type Idempotency string

// The kinds of idempotency, by their words in the settings. A reader takes any other word, and a missing
// one, for NonIdempotent.
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
	AdvertiseThreshold AdvertiseMode = "threshold" // the rank under which callers should not send requests
	AdvertiseWindow    AdvertiseMode = "window"    // the requests that one caller may have open
	AdvertiseShare     AdvertiseMode = "share_of"  // the share of requests that callers should send
)

// Server holds the settings that belong to neither a class nor a tenant. Two of them are compared by ==.
type Server struct {
	Cores           Number
	MemoryKB        Number
	RunMemoryFactor Number // memory of a running request, over what it takes in the queue
	KeyEntryKB      Number // memory of an entry for an idempotency key
	StopMode        StopMode

	Dependency      Dependency
	CallQuota       Number // calls that the instance may have in flight, in the mean; may be under 1
	CallLinger      Number // seconds for which a call given up still counts as in flight
	CallQuotaWindow Number // seconds over which the mean is meant

	AdvertiseMode         AdvertiseMode
	CallerCount           Number // of the whole deployment
	CallerIdleTimeout     Number // seconds after which callers close an idle connection
	EndpointsFollowHealth Flag   // the endpoint list leaves out unhealthy servers

	FleetSize       Number // number of instances
	OverQuotaWeight Number // part of the weight of a request beyond its tenant's quota
	WeightPerWork   Flag   // a class's weight is for each unit of work, not for each request
	RetryAfter      Flag   // rejections carry a Retry-After
	MaxRetryAfter   Number // seconds

	SlowStart             Flag
	SlowStartFraction     Number // part of MaxConcurrencyPerCore that is sustained at the start
	WarmUpTime            Number // seconds until all of it is
	DrainGrace            Number // seconds from the drain notice in which requests still come
	MaxConcurrencyPerCore Number // running requests per core that the server sustains

	// Positions of the readings in a row of gauges, from 1; 0: not available.
	BusyGauge, RunnableGauge int
}

// Gauges returns the readings of a row of gauges; negative where one is not available.
func (s Server) Gauges(row []float64) (busy, runnable float64) {
	reading := func(position int) float64 {
		if position == 0 || position > len(row) {
			return -1
		}
		return row[position-1]
	}
	return reading(s.BusyGauge), reading(s.RunnableGauge)
}

// Class holds the settings of a class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Weight           Number // value of a request answered in time
	DegradedWeight   Number // part of it for an answer without its call
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

// Settings holds all settings of an instance. Classes and tenants are numbered by their index; one without
// a name can't be referred to by name.
type Settings struct {
	Server  Server
	Classes []Class
	Tenants []Tenant
}
