// Package policy decides, inside one server, which work items run, wait or are turned back.
//
// The adapter makes one Instance with New and calls one method for each thing that happens (Arrived, Ended,
// AtCall, Returned, CallerGone, Retold, Leave, Tick), then Settle once all that came in together was told. It
// acts through the Host it was given: host.go. Times are spans since the start. Design: docs/design.md.
//
// This file owns the tables of one server, their bounds and the settings. It must never decide.
package policy

import (
	"fmt"
	"math"
	"thymechute/policy/share"
	"time"
)

const (
	ms                   = time.Millisecond
	sweepGap             = 20 * ms  // between two Ticks
	period               = 500 * ms // between two samples of lag
	duePart              = 0.4      // of the bands' due times, in base latencies: lag over it is a crossing
	baseDrift            = 0.003    // a base latency's way back to the recent one, a period
	dampening            = 2        // crossings in a row before the flag goes up
	shedGain             = 0.3      // part of the share turned back that the free value takes over a period
	margin               = 40 * ms  // answers leave so long before they are due
	stall                = 100 * ms // a Tick so late tells of a standstill
	leastIdle            = 0.1      // part of the callers' own time after which idle connections close, at first
	intakePart, doorGain = 0.5, 0.1 // connections and reads in hand a core, aimed at; change a period
	everywhere           = 0.05     // share turned back over which other servers are taken to be no better off
	repeatsElse          = 0.1      // the same told by the share of marked repeats read, for the list

	shedDown, shedEase, shedMost    = 0.1, 0.03, 0.95 // free value: down a calm period, a light one; most
	busyRoom, busyFull              = 0.9, 0.97       // cores so busy let one more run, one fewer
	leastPause, leastLimit, idleTry = 0.05, 0.5, 0.01 // advice, seconds; threshold; chance on an idle server
	jamFrom, jamFull, jamTold       = 0.15, 0.5, 0.5  // unread waits in due times: begins, full; logged from
	jamCut, jamFade                 = 0.5, 0.9        // of those that run, in a full jam; wait left a Tick
	again, crowdPart                = 0.25, 0.75      // payoff of a marked repeat; part used of the crowd
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
	Work
	state                 state
	arrived, due, use     time.Duration // use: an answer after this is late
	began, wait, callTime time.Duration
	since, receiptEnds    time.Duration // since: at a call since
	answered, ran, beyond bool
}

type band struct {
	kind                                string
	payoff, poorer                      float64 // poorer: the part of it paid for an answer without its call
	due, patience, window               time.Duration
	calls                               bool
	base, latency, span, perHint, ended float64 // seconds: least seen, recent run less calls, recent run
}

// Instance is the decisions of one server.
type Instance struct {
	host      Host
	told      map[string]any
	bands     []band
	customers []share.Bucket
	items     []item          // by index; as long as the most live at one time
	held      []int           // emptied by a start, a turn-back or the caller's leaving
	standing  []int           // at a call not out; emptied by the call or an answer
	receipts  []time.Duration // ends of those in the key table; emptied by time and by Forget
	lingering []time.Duration // ends of calls given up; emptied by time
	from      map[int]bool    // callers read in this period; emptied each period
	chance    uint64

	cores, onCores, calls, crossings, fails, jams int

	memory, ram, size, width      float64    // size: kilobytes of a held work item, lately; width: how many run
	callShare, callUse, callTook  float64    // calls out in the mean, the part in use, their recent time
	overCalled, sends             float64    // call-seconds used beyond the share; reads a period, lately
	sum, count                    [2]float64 // latency ratios of ended starts: this period's, the last's
	unread, turnedShare, repeats  float64    // lately: seconds unread, share of the read, of marked repeats
	read, marked, turned, missed  int        // in this period, as done (runs) and
	done, waited                  int        // waited (Ticks that found work waiting for a start)
	lag, limit, shed, said        float64    // limit: the threshold of lag
	open, intake, ticks           float64    // idle time, as a part; a period's sum of intake in hand
	idleCores, full               float64    // a period's sum of idle cores, as parts; Ticks that found no room
	flag, jammed, unfit, stops    bool       // stops: a run can be taken off the cores
	nextTrial, nextSample, wanted time.Duration
	metered, grace, stopAt, idle  time.Duration
}

// New makes the instance of a server that has just started.
func New(h Host, seed uint64, told map[string]any) *Instance {
	i := &Instance{host: h, chance: seed&0xffffffff | 1<<32, stopAt: math.MaxInt64, grace: math.MaxInt64,
		callUse: 1, open: leastIdle, nextSample: period, wanted: sweepGap, from: map[int]bool{}}
	i.take(told)
	i.width = float64(i.cores)
	h.Health(true, true)
	h.Wake(i.wanted)
	return i
}

// Retold: later settings are in force. Bands and customers keep their indices, new ones come behind; what is
// in hand goes on, its due times and receipts as they were. The memory is counted anew by the later figures.
func (i *Instance) Retold(told map[string]any) {
	i.take(told)
	i.memory = float64(len(i.receipts)) * i.num("receipt_kb", 0)
	for w := range i.items {
		if it := &i.items[w]; it.state != absent {
			i.memory += it.KB
			if it.state != held && it.state != joined {
				i.memory += it.KB * (i.num("run_memory", 1) - 1)
			}
		}
	}
	i.said, i.idle = math.Inf(1), 0 // said anew, in the form that now holds
}

// take reads the settings, into what stands where something does.
func (i *Instance) take(told map[string]any) {
	i.told, i.stops = told, told["stop_mode"] == "abort" || told["stop_mode"] == "suspend"
	i.cores = int(min(max(i.num("cores", 1), 1), 4096))
	i.ram = max(i.num("memory_kb", 1e6), 1)
	switch i.callShare = 1e6; told["below"] {
	case "shared":
		i.callShare = max(i.num("calls_share", 1), leastShare)
	case "tier":
		i.callShare = max(math.Floor(i.num("crowd", 2)*float64(i.cores)*crowdPart), 1)
	}
	for n := range int(min(max(i.num("band.count", 1), 1), 1000)) {
		if n == len(i.bands) {
			first := max(i.span(fmt.Sprintf("band.%d.due_s", n), 1).Seconds()/4, 1e-3) // until some have ended
			i.bands = append(i.bands, band{latency: first, base: first, span: first})
		}
		at, b := fmt.Sprintf("band.%d.", n), &i.bands[n]
		b.kind, _ = told[at+"kind"].(string) // what is no kind told here is as good as effectful
		b.payoff, b.calls = i.num(at+"payoff", 1), told[at+"calls"] == true
		b.poorer = i.num(at+"poorer", 0)
		b.due, b.patience, b.window = i.span(at+"due_s", 1), i.span(at+"patience_s", 2), i.span(at+"window_s", 10)
	}
	for n := range int(min(i.num("customer.count", 0), 10000)) {
		if n == len(i.customers) {
			i.customers = append(i.customers, share.New())
		}
		i.customers[n].Rate = i.num(fmt.Sprintf("customer.%d.share_per_s", n), 0) / max(i.num("fleet", 1), 1)
	}
}

func (i *Instance) num(name string, otherwise float64) float64 {
	if x, ok := i.told[name].(float64); ok && x >= 0 && !math.IsInf(x, 0) {
		return x
	}
	return otherwise
}

func (i *Instance) span(name string, otherwise float64) time.Duration {
	return time.Duration(min(i.num(name, otherwise), 1e9) * 1e9)
}

func (i *Instance) random() float64 { // by multiply with carry, 0 to under 1
	i.chance = (i.chance&0xffffffff)*4294957665 + i.chance>>32
	return float64(i.chance&0xffffffff) / (1 << 32)
}
