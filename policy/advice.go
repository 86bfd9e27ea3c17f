// This file owns what callers hear: value, health and idle time. It must never decide on a request.

package policy

import (
	"math"
	"time"

	"go.uber.org/zap"

	"thymechute/policy/settings"
)

// adjust moves the share of work, by rank, that callers should keep at home.
func (i *Instance) adjust() {
	switch {
	case i.missed > 0 && (i.flag || i.jam() > 0):
		i.shed += shedGain * (1 - i.shed) * float64(i.missed) / float64(max(i.read, i.rejected))
	case i.waited == 0:
		i.shed -= shedDown // nothing had to wait: callers keep too much at home
	case i.lag <= i.limit:
		i.shed -= shedEase
	}
	i.shed = min(max(i.shed, 0), shedMost)
}

// doors moves the time after which idle connections close. A full table shuts callers out whatever they
// bring, new connections take the cores from the runs: what wants a core beside the runs tells whether more
// may come. The change is slow: a connection keeps the time under which it fell idle, and a table let go at
// once fills at once.
func (i *Instance) doors() {
	whole := i.server.CallerIdleTimeout.Seconds(0)
	if i.ticks == 0 || whole <= 0 {
		return
	}
	spare := min(max(1-i.intake/i.ticks/(intakePart*float64(i.cores)), -1), 1)
	i.open = min(max(i.open*(1-doorGain*spare), leastIdle), 1)
	part := i.open
	if learn(&i.sends, float64(i.read), 15); i.sends*whole.Seconds() > i.server.CallerCount.Or(0)*period.Seconds() {
		part = 1 // a caller mostly comes again before its connection would close: closing it gains nothing
	}
	i.intake, i.ticks = 0, 0
	if after := time.Duration(part * float64(whole)).Round(100 * ms); after != i.idle {
		i.idle = after
		i.host.SetIdleTimeout(after)
	}
}

// health takes a jammed server off the list that every caller reads, where it follows health: who meets
// this server too seldom to remember what it said still stays away. Dampened like the flag, both ways.
func (i *Instance) health() {
	jam := i.jam()
	bad := i.server.EndpointsFollowHealth.On() && (jam == 1 || jam > 0 && (i.unfit || i.repeats < repeatsElse))
	if i.jams++; bad == i.unfit {
		i.jams = 0
	}
	if i.jams >= dampening && i.grace == math.MaxInt64 {
		i.jams, i.unfit = 0, !i.unfit
		i.host.SetHealth(Health{Healthy: !i.unfit, Cached: true})
		i.host.Log("health changed", zap.Bool("healthy", !i.unfit), zap.Float64("read_delay_s", i.unread), zap.Float64("retry_share", i.repeats))
	}
}

// jam is 0 to 1: how near the wait before reading is to making all answers late and so unheard.
func (i *Instance) jam() float64 {
	return min(max((i.unread/i.firstClass().due.Seconds()-jamFrom)/(jamFull-jamFrom), 0), 1)
}

// say sets the value that rides on all answers, so that callers keep at home what would be refused.
func (i *Instance) say(now time.Duration) {
	if full := i.jam() > jamTold; full != i.jammed {
		i.jammed = full
		i.host.Log("read congestion changed", zap.Bool("congested", full), zap.Float64("read_delay_s", i.unread))
	}
	value := max(i.shed, i.jam())
	if now > i.grace-period {
		value = 1 // until then it serves what comes
	}
	if math.Abs(value-i.said) < leastSaid {
		return
	}
	switch i.said = value; i.server.AdvertiseMode {
	case settings.AdvertiseThreshold:
		i.host.Advertise(value)
	case settings.AdvertiseShare:
		i.host.Advertise(1 - value)
	case settings.AdvertiseWindow:
		window := 2 * i.width // a calm server leaves all of it to any caller
		if value >= leastSaid {
			window = max(window*(1-value)/float64(max(len(i.from), 1)), leastWindow)
		}
		i.host.Advertise(window)
	}
}
