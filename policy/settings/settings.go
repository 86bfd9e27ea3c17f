// Package settings is what a deployment says of one instance: its figures, its classes and its tenants, as typed values
// that nobody changes once they are made, and the difference between two of them. It owns what the words mean and the
// bounds of the lists. It must never hold a value of its own, nor bend one: what is missing stays missing, and who reads
// it chooses the default. Nothing here does I/O or reads a clock.
package settings

import (
	"math"
	"time"
)

// Bounds of a deployment. A file beyond one is refused by name, at the start and while running.
const (
	MaxClasses  = 20_000  // classes in force at one time; 9,800 routes are planned for (docs/CAPACITY.md)
	MaxTenants  = 100_000 // tenants in force at one time; 60,000 are planned for
	MaxName     = 200     // bytes of a class's or a tenant's name
	maxDuration = 1e9     // seconds; longer ones are cut to it, so that they fit a time.Duration
)

// Number is a figure of 0 and more, or missing.
type Number struct {
	value float64
	set   bool
}

// NumberOf makes a Number; what can't be meant (negative, infinite, not a number) counts as missing.
func NumberOf(x float64) Number {
	if x >= 0 && !math.IsInf(x, 0) {
		return Number{x, true}
	}
	return Number{}
}

// Or is the figure, or the default where it is missing.
func (n Number) Or(otherwise float64) float64 {
	if n.set {
		return n.value
	}
	return otherwise
}

// Seconds is the figure as a time, or that many seconds where it is missing.
func (n Number) Seconds(otherwise float64) time.Duration {
	return time.Duration(min(n.Or(otherwise), maxDuration) * float64(time.Second))
}

// Flag is true, false or missing.
type Flag uint8

// The flags; missing is the zero value.
const (
	Missing Flag = iota
	False
	True
)

// On tells whether it is true, Off whether it is false; a missing one is neither.
func (f Flag) On() bool { return f == True }

// Off is described at On.
func (f Flag) Off() bool { return f == False }

// FlagOf makes a Flag that is not missing.
func FlagOf(on bool) Flag {
	if on {
		return True
	}
	return False
}

// Idempotency is what a second run of a request would do.
type Idempotency string

// The kinds, by the deployment's words. Whoever reads one takes what is none of them, and a missing one, for NonIdempotent.
const (
	Safe          Idempotency = "repeatable" // nothing more
	Idempotent    Idempotency = "by_key"     // nothing more, by its idempotency key
	NonIdempotent Idempotency = "once"       // its effect a second time
)

// StopMode is what taking a run off the cores does to it.
type StopMode string

// The ways to stop a run; a missing one is as good as StopOff.
const (
	StopOff     StopMode = "off"
	StopAbort   StopMode = "abort"
	StopSuspend StopMode = "suspend"
)

// Dependency is what stands behind the calls.
type Dependency string

// What stands below; a missing one is as good as DependencyOff.
const (
	DependencyOff    Dependency = "off"
	DependencyShared Dependency = "shared" // something that survives a share of calls for each instance
	DependencyTier   Dependency = "tier"   // servers that guard themselves
)

// AdvertiseMode is the form of the value that rides on all answers.
type AdvertiseMode string

// The forms; a missing one is as good as AdvertiseOff.
const (
	AdvertiseOff       AdvertiseMode = "off"
	AdvertiseThreshold AdvertiseMode = "threshold" // the rank under which requests are better kept at home
	AdvertiseWindow    AdvertiseMode = "window"    // requests that one caller may have open
	AdvertiseShare     AdvertiseMode = "share_of"  // the share of requests that is welcome
)

// Server is all that is neither a class's nor a tenant's. Two of them are compared by ==.
type Server struct {
	Cores, MemoryKB          Number
	RunMemoryFactor          Number // of a running request, in what it takes while held
	KeyEntryKB               Number // of an entry for an idempotency key
	StopMode                 StopMode
	Dependency               Dependency
	CallQuota                Number // share of calls below that the instance may have out
	CallLinger               Number // seconds for which a call given up still counts
	CallQuotaWindow          Number // seconds over which the share is meant
	AdvertiseMode            AdvertiseMode
	CallerCount              Number // of the whole deployment
	CallerIdleTimeout        Number // seconds after which callers close an idle connection
	EndpointsFollowHealth    Flag   // the list of servers follows health
	FleetSize                Number // instances
	OverQuotaWeight          Number // what is left of the value beyond a tenant's quota, as a part
	WeightPerWork            Flag   // a class's value is paid for each unit of work, not for each request
	RetryAfter               Flag   // rejections say when to come back
	MaxRetryAfter            Number // seconds
	SlowStart                Flag
	SlowStartFraction        Number // what a cold server survives of its crowd, as a part
	WarmUpTime               Number // seconds
	DrainGrace               Number // seconds from the notice to drain in which requests still come
	MaxConcurrencyPerCore    Number // runs a core that are survived
	BusyGauge, RunnableGauge int    // place of the reading in a row of gauges, from 1; 0: not offered
}

// Gauges are those of a row of gauges; negative where one is not offered.
func (s Server) Gauges(row []float64) (busy, runnable float64) {
	reading := func(place int) float64 {
		if place == 0 || place > len(row) {
			return -1
		}
		return row[place-1]
	}
	return reading(s.BusyGauge), reading(s.RunnableGauge)
}

// Class is what is alike for many requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	Weight           Number // of a request answered in time
	DegradedWeight   Number // the part of it paid for an answer without its call
	MakesCalls       Flag   // its requests make calls below
	LatencyObjective Number // seconds; an answer after it is worthless
	CallerTimeout    Number // seconds; the caller gives up then
	KeyWindow        Number // seconds for which a key is known
}

// ResourceName is its name.
func (c Class) ResourceName() string { return c.Name }

// Tenant is on whose behalf requests come.
type Tenant struct {
	Name  string
	Quota Number // requests a second, of the whole fleet; 0 and missing set no bound
}

// ResourceName is its name.
func (t Tenant) ResourceName() string { return t.Name }

// Settings is all that a deployment says. Classes and tenants are numbered by their place; one without a name can't be
// asked for by name.
type Settings struct {
	Server  Server
	Classes []Class
	Tenants []Tenant
}
