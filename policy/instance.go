// Package policy decides, inside one server, which requests run, wait or are rejected.
//
// The adapter makes one Instance with New and calls a method for each thing that happens (Arrived and so on;
// SetServer and so on for later settings), then Settle once all that came in together was handed on. It acts
// through the Host it was given: host.go. Times are spans since the start. Design: docs/design.md.
//
// This file owns the tables of one server and their bounds. It must never decide.
package policy

import (
	"math"
	"time"

	"thymechute/policy/settings"
	"thymechute/policy/share"
)

const (
	ms                   = time.Millisecond
	sweepGap             = 20 * ms  // between two Ticks
	period               = 500 * ms // between two samples of lag
	duePart              = 0.4      // of the classes' due times, in base latencies: lag over it is a crossing
	baseDrift            = 0.003    // a base latency's way back to the recent one, a period
	dampening            = 2        // crossings in a row before the flag goes up
	shedGain             = 0.3      // part of the share rejected that the free value takes over a period
	margin               = 40 * ms  // answers leave so long before they are due
	stall                = 100 * ms // a Tick so late tells of a standstill
	leastIdle            = 0.1      // part of the callers' own time after which idle connections close, at first
	intakePart, doorGain = 0.5, 0.1 // connections and reads in hand a core, aimed at; change a period
	everywhere           = 0.05     // share rejected over which other servers are taken to be no better off
	repeatsElse          = 0.1      // the same told by the share of marked repeats read, for the list

	shedDown, shedEase, shedMost    = 0.1, 0.03, 0.95 // free value: down a calm period, a light one; most
	busyRoom, busyFull              = 0.9, 0.97       // cores so busy let one more run, one fewer
	leastPause, leastLimit, idleTry = 0.05, 0.5, 0.01 // advice, seconds; threshold; chance on an idle server
	jamFrom, jamFull, jamTold       = 0.15, 0.5, 0.5  // unread waits in due times: begins, full; logged from
	jamCut, jamFade                 = 0.5, 0.9        // of those that run, in a full jam; wait left a Tick
	again, crowdPart                = 0.25, 0.75      // value of a marked repeat; part used of the crowd
	leastFit, fill                  = 0.8, 0.95       // of its run that must fit; of memory that is used
	failures, trialGap              = 5, 500 * ms     // calls failed in a row before they stop; between trials
	leastSaid, leastWindow          = 0.01, 0.1       // change of the free value worth saying; a caller's window
	callSlow, standPart             = 0.1, 0.15       // of a due time: slow calls; longest optional stand
	leastCalls                      = 0.05            // of the share of calls: least used
	partUse, savedCalls, partCall   = 0.5, 0.1, 0.4   // of a part of a call: steady use; saved up; by one call
	meanCalls                       = 0.9             // of the share in use, in the mean
	callsUp, callsDown, leastShare  = 0.1, 0.8, 0.001 // share of calls: grows by a period, is cut to; least told
)

type state uint8

const (
	absent  state = iota
	held          // waits for a start
	running       // on the cores, or at its disk
	atCall        // stands at a call that is not out
	calling       // its call is out
	joined        // waits for its forerunner's result
)

type item struct {
	Request
	state                 state
	arrived, due, use     time.Duration // use: an answer after this is late
	began, wait, callTime time.Duration
	since, entryEnds      time.Duration // since: at a call since
	answered, ran, beyond bool
}

type class struct {
	value, poorer                       float64 // poorer: the part of it paid for an answer without its call
	due, patience, window               time.Duration
	calls, safe, keyed, free            bool    // free: of no class, to be used again
	base, latency, span, perHint, ended float64 // seconds: least seen, recent run less calls, recent run
}

// Instance is the decisions of one server.
type Instance struct {
	host      Host
	server    settings.Server
	classes   []class
	tenants   []share.Bucket
	items     []item          // by index; as long as the most live at one time
	held      []RequestID     // emptied by a start, a rejection or the caller's leaving
	standing  []RequestID     // at a call not out; emptied by the call or an answer
	entries   []time.Duration // ends of those in the key table; emptied by time and by Forget
	lingering []time.Duration // ends of calls given up; emptied by time
	from      map[int]bool    // callers read in this period; emptied each period
	chance    uint64

	cores, onCores, calls, crossings, fails, jams int
	inUse, lowest                                 int // classes that are not free, and the first of them

	memory, ram, size, width       float64    // size: kilobytes of a held request, lately; width: how many run
	callShare, callUse, callTook   float64    // calls out in the mean, the part in use, their recent time
	overCalled, sends              float64    // call-seconds used beyond the share; reads a period, lately
	sum, count                     [2]float64 // latency ratios of ended starts: this period's, the last's
	unread, rejectedShare, repeats float64    // lately: seconds unread, share of the read, of marked repeats
	read, marked, rejected, missed int        // in this period, as done (runs) and
	done, waited                   int        // waited (Ticks that found work waiting for a start)
	lag, limit, shed, said         float64    // limit: the threshold of lag
	open, intake, ticks            float64    // idle time, as a part; a period's sum of intake in hand
	idleCores, full                float64    // a period's sum of idle cores, as parts; Ticks that found no room
	flag, jammed, unfit, stops     bool       // stops: a run can be taken off the cores
	nextTrial, nextSample, wanted  time.Duration
	metered, grace, stopAt, idle   time.Duration
}

// New makes the instance of a server that has just started. Classes and tenants are numbered by their place;
// without a class there is one, all of it by default.
func New(h Host, seed uint64, s settings.Settings) *Instance {
	i := &Instance{host: h, chance: seed&0xffffffff | 1<<32, stopAt: math.MaxInt64, grace: math.MaxInt64,
		callUse: 1, open: leastIdle, nextSample: period, wanted: sweepGap, from: map[int]bool{}}
	i.takeServer(s.Server)
	for n, class := range s.Classes {
		i.SetClass(n, class)
	}
	if len(i.classes) == 0 {
		i.SetClass(0, settings.Class{})
	}
	i.tenants = make([]share.Bucket, 0, len(s.Tenants))
	for n, tenant := range s.Tenants {
		i.SetTenant(n, tenant)
	}
	i.width = float64(i.cores)
	h.SetHealth(Health{Healthy: true, Cached: true})
	h.Wake(i.wanted)
	return i
}

func (i *Instance) random() float64 { // by multiply with carry, 0 to under 1
	i.chance = (i.chance&0xffffffff)*4294957665 + i.chance>>32
	return float64(i.chance&0xffffffff) / (1 << 32)
}
